#include "src/dispatch/request_run.h"

#include <event2/event.h>

#include <algorithm>
#include <array>
#include <cstdio>
#include <utility>

#include "src/common/hash.h"

namespace stoat::dispatch {

namespace {

constexpr int kMisdirected = 421;
constexpr int kBadGateway = 502;
constexpr int kUnavailable = 503;
constexpr int kGatewayTimeout = 504;
constexpr int kFirstError = 300;
constexpr int kFirstServerError = 500;
/// Engines that may say that they did not run a request before it is refused.
constexpr uint32_t kMaxRefusals = 3;
/// How often a waiting request looks for a back end again.
constexpr Duration kWaitStep = 25ms;
/// So long after a version was named, older weights still do; the few engines that have it are not overrun.
constexpr Duration kOldWeightsFree = 1200ms;
/// What was sent to an engine this recently is there; an offer of a source would be for nothing.
constexpr Duration kSurelyHeld = 2s;
/// Answers up to this size are held until they are whole.
constexpr size_t kMaxWholeBody = 4U << 20U;
/// A request that could not be placed is told to come back after so long.
constexpr double kRetryAfterS = 0.5;
/// The same where no back end of the service is known: heartbeats come every second or so.
constexpr double kNoBackendRetryAfterS = 1.5;
constexpr uint32_t kMaxUrgency = 9;
constexpr uint32_t kRoutePriorities = 3;

uint64_t chain_seed(const RunPlan& plan) {
  return plan.tenant != nullptr && plan.tenant->isolated ? hash_bytes(plan.tenant->name) : 0;
}

placement::PromptChain make_chain(const RunPlan& plan) {
  placement::PromptChain chain;
  uint64_t hash = hash_pair(chain_seed(plan), hash_bytes(plan.fields.model));
  uint32_t total = 0;
  for (const PromptPart& part : plan.fields.parts) {
    hash = hash_pair(hash, part.id);
    chain.links.push_back({hash, part.tokens});
    total += part.tokens;
  }
  chain.prompt_tokens = std::max(total, plan.fields.prompt_tokens);
  return chain;
}

}  // namespace

RequestRun::RequestRun(DispatchContext& context, RunPlan plan, std::shared_ptr<edge::CallerAnswer> answer,
                       DoneHandler on_done)
    : context_(context),
      plan_(std::move(plan)),
      answer_(std::move(answer)),
      on_done_(std::move(on_done)),
      last_event_id_(plan_.fields.last_event_id) {
  const auto on_timeout = [](evutil_socket_t, short, void* run) {
    static_cast<RequestRun*>(run)->on_timer();
  };
  timer_ = event_new(context.loop.base(), -1, 0, on_timeout, this);
}

RequestRun::~RequestRun() {
  event_free(timer_);
  if (connection_ != nullptr) {
    connection_->close();
  }
}

void RequestRun::arm_timer(TimePoint at) {
  constexpr int64_t kMicrosecondsPerSecond = 1000000;
  const int64_t delay = std::max<int64_t>(0, (at - context_.loop.now()).count());
  const timeval interval{delay / kMicrosecondsPerSecond, delay % kMicrosecondsPerSecond};
  event_add(timer_, &interval);
}

void RequestRun::start() {
  const fleet::Route& route = *plan_.route;
  int64_t limit_ms = route.timeout_ms;
  if (plan_.fields.deadline_ms) {
    limit_ms = std::min(limit_ms, *plan_.fields.deadline_ms);
  }
  give_up_at_ = plan_.arrived + Duration(1000 * limit_ms);
  // Refused early, a request can still be in time elsewhere or a little later.
  const int64_t objective_ms = route.target_latency_ms > 0 ? route.target_latency_ms : route.timeout_ms;
  wait_until_ = std::min(give_up_at_, plan_.arrived + Duration(1000 * objective_ms / 5));
  chain_ = make_chain(plan_);
  context_.budget_of(plan_.service).on_request(plan_.arrived);
  try_dispatch();
}

void RequestRun::on_timer() {
  const auto keep = shared_from_this();
  const TimePoint now = context_.loop.now();
  if (waiting_ && now < give_up_at_) {
    try_dispatch();
    return;
  }
  if (streaming_) {
    break_off("time-out in the stream");
    return;
  }
  give_up("time-out");
}

void WantedWeights::note(uint64_t version, TimePoint since) {
  constexpr size_t kMostVersions = 16;
  const auto [entry, added] = since_.emplace(version, since);
  entry->second = std::min(entry->second, since);
  if (added && since_.size() > kMostVersions) {
    since_.erase(since_.begin());
  }
}

std::optional<Duration> WantedWeights::outdated_for(uint64_t version, TimePoint now) const {
  // Each version has its own limit: the lowest one above counts, however soon others followed.
  const auto next = since_.upper_bound(version);
  return next == since_.end() ? std::nullopt : std::optional<Duration>(now - next->second);
}

std::optional<Duration> RequestRun::outdated_for(const Backend& backend) const {
  const auto wanted = context_.wanted.find(plan_.fields.model);
  if (wanted == context_.wanted.end()) {
    return std::nullopt;
  }
  return wanted->second.outdated_for(backend.record.version_of(plan_.fields.model), context_.loop.now());
}

std::vector<BackendPtr> RequestRun::candidates() {
  const TimePoint now = context_.loop.now();
  const fleet::Service* service = plan_.table->service(plan_.service);
  std::vector<BackendPtr> usable;
  std::vector<BackendPtr> doubtful;
  for (const BackendPtr& backend : context_.pool.serving(plan_.service)) {
    const fleet::BackendRecord& record = backend->record;
    if (record.loading || tried_.count(record.id) > 0) {
      continue;
    }
    if (outdated_for(*backend).value_or(Duration(0)) > context_.old_weights_limit) {
      continue;
    }
    if (service != nullptr && service->connection_limit > 0 && backend->idle.empty() &&
        backend->connections >=
            std::max<size_t>(2, service->connection_limit / (context_.router_count + 1))) {
      continue;
    }
    const auto health = context_.pool.outliers().handle_of(record.id);
    const bool healthy = !record.lost && delivery::OutlierDetector::usable(health, now);
    (healthy ? usable : doubtful).push_back(backend);
  }
  return usable.empty() ? doubtful : usable;
}

BackendPtr RequestRun::choose(const std::vector<BackendPtr>& candidates) {
  std::vector<placement::EngineView> views;
  views.reserve(candidates.size());
  for (const BackendPtr& backend : candidates) {
    placement::EngineView view;
    view.name_hash = backend->name_hash;
    view.memory = &backend->memory;
    view.outstanding = backend->outstanding + backend->others_outstanding;
    view.prefill_tokens = backend->prefill_tokens + backend->others_prefill_tokens;
    view.slots = backend->record.slots;
    view.old_weights = outdated_for(*backend).value_or(Duration(0)) > kOldWeightsFree;
    view.same_zone = backend->record.zone == context_.zone;
    views.push_back(view);
  }
  const size_t position = chain_.links.empty()
                              ? placement::choose_least_loaded(views, context_.random.bits())
                              : placement::choose_engine(chain_, views, context_.costs, context_.loop.now());
  return candidates[position];
}

void RequestRun::try_dispatch() {
  const TimePoint now = context_.loop.now();
  const std::vector<BackendPtr> found = candidates();
  if (!found.empty()) {
    waiting_ = false;
    send_to(choose(found), "");
    return;
  }
  if (now >= wait_until_ || ran_ != Ran::kNo) {
    give_up("no back end");
    return;
  }
  waiting_ = true;
  arm_timer(std::min(wait_until_, now + kWaitStep));
}

bool RequestRun::set_by_system(const std::string& name) const {
  const HeaderNames& names = context_.names;
  const std::array<const std::string*, 12> own = {
      &names.credential, &names.tenant,  &names.deadline_ms, &names.expected_backend,
      &names.cache_salt, &names.urgency, &names.kv_source,   &names.kv_target,
      &names.pin_ms,     &names.hold,    &names.kv_backup,   &names.kv_from};
  return std::any_of(own.begin(), own.end(),
                     [&](const std::string* header) { return http1::same_name(*header, name); }) ||
         http1::same_name(names.expected_weights, name) || http1::same_name(names.last_event_id, name);
}

BackendPtr RequestRun::cache_source(const Backend& target) const {
  if (chain_.links.size() < 2) {
    return nullptr;
  }
  const TimePoint now = context_.loop.now();
  const std::string& model = plan_.fields.model;
  std::vector<BackendPtr> holders;
  std::vector<placement::EngineView> views;
  for (const BackendPtr& backend : context_.pool.serving(plan_.service)) {
    // What is kept under other weights must not be used, and a dead source holds the request up.
    const auto health = context_.pool.outliers().handle_of(backend->record.id);
    if (backend->record.version_of(model) != target.record.version_of(model) || backend->record.loading ||
        backend->record.lost || !delivery::OutlierDetector::usable(health, now)) {
      continue;
    }
    placement::EngineView view;
    view.name_hash = backend->name_hash;
    view.memory = &backend->memory;
    holders.push_back(backend);
    views.push_back(view);
  }
  const auto source =
      placement::choose_source(chain_, target.name_hash, target.memory, views, now, context_.store.empty());
  return source ? holders[*source] : nullptr;
}

CachePlan RequestRun::plan_cache(const Backend& target) const {
  CachePlan plan;
  const TimePoint now = context_.loop.now();
  const uint32_t shared = placement::shared_tokens(chain_);
  if (shared == 0 || target.memory.cached_tokens(chain_, now, kSurelyHeld) >= shared) {
    return plan;
  }
  const BackendPtr holder = cache_source(target);
  plan.source = holder == nullptr ? context_.store : holder->record.address;
  if (target.memory.cached_tokens(chain_, now) < shared) {
    plan.target = context_.store;
  }
  return plan;
}

std::string RequestRun::request_head(const Backend& backend, const CachePlan& cache, TimePoint now) const {
  const HeaderNames& names = context_.names;
  std::string head = plan_.request.method + " " + plan_.request.target + " HTTP/1.1\r\n";
  const auto add = [&head](const std::string& name, const std::string& value) {
    head += name + ": " + value + "\r\n";
  };
  for (const http1::HeaderLine& line : plan_.request.headers.lines()) {
    const bool named_by_connection = plan_.request.headers.has_token("Connection", line.name);
    if (!http1::is_hop_header(line.name) && !set_by_system(line.name) && !named_by_connection) {
      add(line.name, line.value);
    }
  }
  const int64_t left_ms = std::max<int64_t>(1, to_milliseconds(give_up_at_ - now));
  add(names.deadline_ms, std::to_string(left_ms));
  add(names.expected_backend, backend.record.id);
  if (plan_.tenant != nullptr) {
    add(names.tenant, plan_.tenant->name);
  }
  if (last_event_id_) {
    add(names.last_event_id, std::to_string(*last_event_id_));
  }
  if (!chain_.links.empty()) {
    const uint64_t version = backend.record.version_of(plan_.fields.model);
    const bool isolated = plan_.tenant != nullptr && plan_.tenant->isolated;
    add(names.cache_salt,
        (isolated ? "t-" + plan_.tenant->name : std::string("s")) + "-v" + std::to_string(version));
    const uint32_t tenant_priority = plan_.tenant == nullptr ? 0 : plan_.tenant->priority;
    const uint32_t urgency =
        std::min(kMaxUrgency, tenant_priority * kRoutePriorities + plan_.route->priority);
    add(names.urgency, std::to_string(urgency));
    if (version > 0) {
      // The engine may have newer weights than this router knows: what it kept under this salt would be stale
      // for those who know better.
      add(names.expected_weights, std::to_string(version));
    }
    if (!cache.source.empty()) {
      add(names.kv_source, cache.source);
    }
    if (!cache.target.empty()) {
      add(names.kv_target, cache.target);
    }
    if (!cache.backup.empty()) {
      add(names.kv_backup, cache.backup);
    }
    if (!cache.from.empty()) {
      add(names.kv_from, cache.from);
    }
  }
  if (!plan_.request.body.empty() || plan_.request.method == "POST" || plan_.request.method == "PUT") {
    add("Content-Length", std::to_string(plan_.request.body.size()));
  }
  return head + "\r\n";
}

BackendPtr RequestRun::choose_backup(const Backend& target) const {
  const fleet::Service* service = plan_.table->service(plan_.service);
  const bool wanted = plan_.route->kind == fleet::RouteKind::kStreaming && !plan_.route->resumable;
  if (!wanted || service == nullptr || !service->engine.backups) {
    return nullptr;
  }
  const TimePoint now = context_.loop.now();
  BackendPtr best;
  for (const BackendPtr& backend : context_.pool.serving(plan_.service)) {
    const auto health = context_.pool.outliers().handle_of(backend->record.id);
    const bool sound =
        !backend->record.loading && !backend->record.lost && delivery::OutlierDetector::usable(health, now);
    if (!sound || backend->record.id == target.record.id ||
        backend->record.version_of(plan_.fields.model) != target.record.version_of(plan_.fields.model)) {
      continue;
    }
    // Copies within a zone are cheaper; among equals the less loaded engine has more room.
    const auto rank = [&](const Backend& entry) {
      return std::make_pair(entry.record.zone != target.record.zone,
                            entry.outstanding + entry.others_outstanding);
    };
    if (best == nullptr || rank(*backend) < rank(*best)) {
      best = backend;
    }
  }
  return best;
}

bool RequestRun::go_on_from_copy(const Backend& failed) {
  const BackendPtr holder = std::exchange(backup_, nullptr);
  const std::string& model = plan_.fields.model;
  // A copy is worth nothing once the weights of either engine have changed: it was made under others.
  const bool same_weights = holder != nullptr && !holder->record.loading && !failed.record.loading &&
                            holder->record.version_of(model) == run_weights_ &&
                            failed.record.version_of(model) == run_weights_;
  // Without an event to go on after, the engine would take the request as a new run.
  const bool begun = streaming_ && last_event_id_.has_value();
  if (!begun || !same_weights || from_copy_ || context_.loop.now() >= give_up_at_ ||
      !context_.budget_of(plan_.service).take(context_.loop.now(), context_.router_count)) {
    return false;
  }
  context_.metrics.count("stoat_router_copies_used_total");
  send_to(holder, failed.record.address);
  return true;
}

void RequestRun::send_to(const BackendPtr& backend, const std::string& copy_of) {
  const TimePoint now = context_.loop.now();
  const auto connection = context_.pool.take_connection(backend);
  tried_.insert(backend->record.id);
  if (connection == nullptr) {
    on_not_run();
    return;
  }
  backend_ = backend;
  connection_ = connection;
  kind_ = AnswerKind::kNone;
  body_.clear();
  splitter_.reset();
  ++backend->outstanding;
  from_copy_ = !copy_of.empty();
  run_weights_ = from_copy_ ? run_weights_ : backend->record.version_of(plan_.fields.model);
  CachePlan cache = plan_cache(*backend);
  if (from_copy_) {
    cache = CachePlan{"", "", "", copy_of + "/" + plan_.fields.id};
  } else if (const BackendPtr backup = choose_backup(*backend)) {
    backup_ = backup;
    cache.backup = backup->record.address;
  }
  if (!chain_.links.empty()) {
    counted_prefill_ =
        chain_.prompt_tokens - std::min(chain_.prompt_tokens, backend->memory.cached_tokens(chain_, now));
    backend->prefill_tokens += counted_prefill_;
    backend->memory.note(chain_, now);
  }
  context_.pool.outliers().on_dispatch(backend->record.id, now);
  const std::string id = plan_.fields.id;
  const std::string id_name = context_.names.request_id;
  connection->send(request_head(*backend, cache, now), plan_.request.body, this,
                   [id, id_name](int, const http1::Headers& headers) {
                     const std::string* echoed = headers.find(id_name);
                     return echoed == nullptr || *echoed == id;
                   });
  arm_timer(give_up_at_);
}

void RequestRun::note_first_event() {
  if (backend_ != nullptr && counted_prefill_ > 0) {
    backend_->prefill_tokens -= std::min(backend_->prefill_tokens, counted_prefill_);
    counted_prefill_ = 0;
  }
}

void RequestRun::end_exchange(bool keep_connection) {
  if (backend_ == nullptr) {
    return;
  }
  note_first_event();
  backend_->outstanding -= backend_->outstanding > 0 ? 1 : 0;
  if (keep_connection) {
    context_.pool.release(backend_, connection_);
  } else {
    context_.pool.discard(backend_, connection_);
  }
  connection_ = nullptr;
  backend_ = nullptr;
}

void RequestRun::on_answer_head(int status, const http1::Headers& headers) {
  head_.status = status;
  head_.headers = http1::Headers();
  for (const http1::HeaderLine& line : headers.lines()) {
    if (!http1::is_hop_header(line.name)) {
      head_.headers.add(line.name, line.value);
    }
  }
  note_weights(headers);
  const bool signed_answer = headers.find(context_.names.signature) != nullptr;
  if (headers.find(context_.names.not_run) != nullptr || status == kMisdirected) {
    kind_ = AnswerKind::kNotRun;
  } else if (!signed_answer) {
    kind_ = AnswerKind::kFailure;
  } else if (status < kFirstError && plan_.route->kind == fleet::RouteKind::kStreaming) {
    kind_ = AnswerKind::kEvents;
  } else {
    kind_ = AnswerKind::kWhole;
  }
}

void RequestRun::note_weights(const http1::Headers& headers) {
  const std::string* text = headers.find(context_.names.weights_version);
  const auto version = text == nullptr ? std::nullopt : parse_integer(*text);
  const uint64_t known = backend_->record.version_of(plan_.fields.model);
  if (!version || known == 0 || static_cast<uint64_t>(*version) <= known) {
    return;
  }
  BackendPool::note_version(*backend_, plan_.fields.model, static_cast<uint64_t>(*version));
  tried_.erase(backend_->record.id);  // it was asked for the wrong weights; it may be asked again
}

void RequestRun::on_answer_body(std::string_view piece) {
  if (kind_ == AnswerKind::kEvents) {
    const auto keep = shared_from_this();
    splitter_.feed(piece, [this](const delivery::StreamEvent& event) { forward_event(event); });
    return;
  }
  if (body_.size() + piece.size() <= kMaxWholeBody) {
    body_.append(piece);
  }
}

void RequestRun::forward_event(const delivery::StreamEvent& event) {
  if (finished_) {
    return;
  }
  note_first_event();
  if (event.id && last_event_id_ && *event.id <= *last_event_id_) {
    return;  // the caller has it already
  }
  if (!streaming_) {
    streaming_ = true;
    first_event_at_ = context_.loop.now();
    answer_->start(head_);
  }
  if (event.id) {
    last_event_id_ = event.id;
  }
  answer_->send(event.bytes);
}

void RequestRun::on_answer_complete() {
  const auto keep = shared_from_this();
  if (kind_ == AnswerKind::kNotRun) {
    context_.pool.outliers().on_success(backend_->record.id);
    end_exchange(true);
    on_not_run();
    return;
  }
  if (kind_ == AnswerKind::kEvents) {
    if (splitter_.pending() > 0) {
      on_exchange_failure(ExchangeFailure::kBroken);
      return;
    }
    context_.pool.outliers().on_success(backend_->record.id);
    end_exchange(true);
    if (!streaming_) {
      answer_->start(head_);
    }
    answer_->finish();
    done("complete", head_.status);
    return;
  }
  if (kind_ == AnswerKind::kWhole) {
    finish_whole();
    return;
  }
  on_exchange_failure(ExchangeFailure::kMalformed);
}

void RequestRun::finish_whole() {
  const bool failed = head_.status >= kFirstServerError;
  if (failed && plan_.route->repeatable()) {
    // The engine's own failure: another may do better, else this answer is what there is.
    ++runs_;
    ran_ = Ran::kMaybe;
    end_exchange(true);
    if (may_repeat(false) && !candidates().empty()) {
      context_.metrics.count("stoat_router_repeats_total");
      try_dispatch();
      return;
    }
    if (streaming_) {
      break_off("engine failure in the stream");
      return;
    }
    answer_->reply(head_, body_);
    done("engine failure", head_.status);
    return;
  }
  if (!failed) {
    context_.pool.outliers().on_success(backend_->record.id);
  }
  end_exchange(true);
  if (streaming_) {
    break_off("an answer in place of the rest of the stream");
    return;
  }
  answer_->reply(head_, body_);
  done(failed ? "engine failure" : "complete", head_.status);
}

bool RequestRun::may_repeat(bool certainly_not_run) {
  const TimePoint now = context_.loop.now();
  if (now >= give_up_at_) {
    return false;
  }
  if (certainly_not_run) {
    if (refusals_ >= kMaxRefusals) {
      return false;
    }
  } else if (!plan_.route->repeatable() || runs_ >= plan_.route->attempts) {
    return false;
  }
  return context_.budget_of(plan_.service).take(now, context_.router_count);
}

void RequestRun::on_not_run() {
  ++refusals_;
  if (from_copy_) {
    give_up("no copy of the run");
    return;
  }
  if (may_repeat(true)) {
    context_.metrics.count("stoat_router_repeats_total");
    try_dispatch();
    return;
  }
  give_up("refused by back ends");
}

void RequestRun::on_exchange_failure(ExchangeFailure failure) {
  const auto keep = shared_from_this();
  const TimePoint now = context_.loop.now();
  context_.pool.outliers().on_failure(backend_->record.id, now);
  context_.metrics.count("stoat_router_exchange_failures_total",
                         {{"kind", std::to_string(static_cast<int>(failure))}});
  const std::string backend = backend_->record.id;
  const BackendPtr failed = backend_;
  end_exchange(false);
  if (failure == ExchangeFailure::kNotConnected) {
    on_not_run();
    return;
  }
  ++runs_;
  ran_ = Ran::kMaybe;
  context_.log.info("exchange failed", {{"request", plan_.fields.id},
                                        {"backend", backend},
                                        {"failure", static_cast<int>(failure)},
                                        {"streaming", streaming_}});
  if (may_repeat(false)) {
    context_.metrics.count("stoat_router_repeats_total");
    try_dispatch();
    return;
  }
  if (go_on_from_copy(*failed)) {
    return;
  }
  if (streaming_) {
    break_off("the engine broke off");
    return;
  }
  reply_own(kBadGateway, "the back end failed", 0);
}

void RequestRun::give_up(const char* reason) {
  if (finished_) {
    return;
  }
  const bool at_work = backend_ != nullptr;
  if (at_work) {
    end_exchange(false);
  }
  if (streaming_) {
    break_off(reason);
    return;
  }
  if (at_work) {
    reply_own(kGatewayTimeout, reason, 0);
  } else if (ran_ == Ran::kMaybe) {
    reply_own(kBadGateway, reason, 0);
  } else {
    const bool none_known = context_.pool.serving(plan_.service).empty();
    reply_own(kUnavailable, reason, none_known ? kNoBackendRetryAfterS : kRetryAfterS);
  }
}

void RequestRun::reply_own(int status, const char* reason, double retry_after_s) {
  edge::AnswerHead head;
  head.status = status;
  head.headers.add(context_.names.request_id, plan_.fields.id);
  head.headers.add("Content-Type", "text/plain");
  if (retry_after_s > 0) {
    char text[16];
    std::snprintf(text, sizeof(text), "%.2f", retry_after_s);
    head.headers.add("Retry-After", text);
  }
  answer_->reply(head, std::string(reason) + "\n");
  done(reason, status);
}

void RequestRun::break_off(const char* reason) {
  if (backend_ != nullptr) {
    end_exchange(false);
  }
  answer_->abort();
  done(reason, 0);
}

void RequestRun::cancel() {
  if (backend_ != nullptr) {
    end_exchange(false);
  }
  done("the caller left", 0);
}

void RequestRun::done(const char* outcome, int status) {
  if (finished_) {
    return;
  }
  finished_ = true;
  event_del(timer_);
  const TimePoint now = context_.loop.now();
  context_.metrics.count("stoat_router_requests_total", {{"status", std::to_string(status)}});
  const bool success = status >= 200 && status < kFirstError;
  if (!success) {
    context_.log.info("request ended", {{"request", plan_.fields.id},
                                        {"route", plan_.route->name},
                                        {"outcome", outcome},
                                        {"status", status},
                                        {"engines", tried_.size()},
                                        {"refusals", refusals_},
                                        {"ms", to_milliseconds(now - plan_.arrived)}});
  }
  on_done_(this);
}

}  // namespace stoat::dispatch
