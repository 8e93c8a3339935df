#include "src/dispatch/active_request.h"

#include <event2/event.h>

#include <algorithm>
#include <cstdio>

#include "src/common/hash.h"
#include "src/dispatch/request_fingerprint.h"

namespace stoat::dispatch {

namespace {

constexpr int kFirstServerError = 500;
/// Engines that may say that they did not run a request before it is refused.
constexpr uint32_t kMaxRefusals = 3;
/// A back end that this router has heard nothing from for so long, while a request runs there, is probed. At
/// 400 ms engines under load were probed as well, which cost about as much in new connections as it gained.
constexpr Duration kSilence = 900ms;
/// A request waits for such a part of its time for the first back end of its service that a router which has
/// just started hears of: the rest is for serving it, or for coming back.
constexpr int kStartWaitPart = 4;
/// How often a waiting request looks for a back end again.
constexpr Duration kWaitStep = 25ms;
/// Answers up to this size are held until they are whole.
constexpr size_t kMaxWholeBody = 4U << 20U;

placement::PromptChain make_chain(const RoutedRequest& plan) {
  placement::PromptChain chain;
  const std::string owner = plan.cache_owner();
  uint32_t total = 0;
  for (const PromptPart& part : plan.fields.parts) {
    chain.links.push_back({placement::part_hash(owner, plan.fields.model, part.id), part.tokens});
    total += part.tokens;
  }
  chain.prompt_tokens = std::max(total, plan.fields.prompt_tokens);
  return chain;
}

uint64_t fingerprint_of(const RoutedRequest& plan) {
  return request_fingerprint(plan.request, plan.tenant == nullptr ? plan.fields.key : plan.tenant->name);
}

}  // namespace

ActiveRequest::ActiveRequest(DispatchContext& context, RoutedRequest plan,
                             std::shared_ptr<edge::ResponseWriter> answer, DoneHandler on_done)
    : context_(context),
      plan_(std::move(plan)),
      answer_(std::move(answer)),
      on_done_(std::move(on_done)),
      fingerprint_(fingerprint_of(plan_)),
      last_event_id_(plan_.fields.last_event_id),
      story_(plan_.fields.id) {
  const auto on_timeout = [](evutil_socket_t, short, void* run) {
    static_cast<ActiveRequest*>(run)->on_timer();
  };
  timer_ = event_new(context.loop.base(), -1, 0, on_timeout, this);
  answer_->set_flow_handler([this](bool paused) { on_flow(paused); });
}

ActiveRequest::~ActiveRequest() {
  if (!finished_) {
    answer_->set_flow_handler(nullptr);
  }
  event_free(timer_);
  leave_queue();
  if (connection_ != nullptr) {
    connection_->close();
  }
}

void ActiveRequest::arm_timer(TimePoint at) {
  constexpr int64_t kMicrosecondsPerSecond = 1000000;
  const int64_t delay = std::max<int64_t>(0, (at - context_.loop.now()).count());
  const timeval interval{delay / kMicrosecondsPerSecond, delay % kMicrosecondsPerSecond};
  event_add(timer_, &interval);
}

void ActiveRequest::start() {
  const fleet::Route& route = *plan_.route;
  int64_t limit_ms = route.timeout_ms;
  if (plan_.fields.deadline_ms) {
    limit_ms = std::min(limit_ms, *plan_.fields.deadline_ms);
  }
  give_up_at_ = plan_.arrived + Duration(1000 * limit_ms);
  wait_until_ = wait_limit();
  chain_ = make_chain(plan_);
  context_.budget_of(plan_.service).on_request(plan_.arrived);
  story_.add(events::RequestAccepted{
      route.name, plan_.service, plan_.tenant == nullptr ? "" : plan_.tenant->name,
      plan_.table->configuration().version, limit_ms, chain_.prompt_tokens, to_hex(fingerprint_)});
  if (context_.loop.now() >= give_up_at_) {
    give_up("no time left");  // it has waited for the router's start
    return;
  }
  draw_version();
  try_dispatch();
}

TimePoint ActiveRequest::wait_limit() const {
  // Also while no back end may take it: one round of news tells of those that have come or are usable again.
  const TimePoint usual = admission::wait_limit(times(), context_.admission_thresholds);
  if (context_.pool.count(plan_.service) > 0) {
    return usual;
  }
  // A feed may begin at a member that has heard no back end yet.
  const TimePoint longest = plan_.arrived + (give_up_at_ - plan_.arrived) / kStartWaitPart;
  return std::max(usual, std::min(longest, context_.startup_ends_at));
}

void ActiveRequest::on_timer() {
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

void ActiveRequest::try_dispatch() {
  if (held_for_crashes()) {
    return;
  }
  const TimePoint now = context_.loop.now();
  const Candidates found = find_candidates();
  want_permits(found);
  if (!found.to_send().empty()) {
    admit(found.to_send());
    return;
  }
  if (ran_ == Ran::kNo && !found.limited.empty()) {
    std::vector<std::string> limited;
    for (const BackendPtr& backend : found.limited) {
      limited.push_back(backend->record.id);
    }
    wait_for_permit(limited, "back ends take no more requests now");
    return;
  }
  if (ran_ == Ran::kNo && !found.resting.empty()) {
    wait_for_rest(found.resting);
    return;
  }
  if (now >= wait_until_ || ran_ != Ran::kNo) {
    give_up("no back end");
    return;
  }
  wait_a_step();
}

void ActiveRequest::wait_a_step() {
  if (!waiting_) {
    note_waiting();
  }
  waiting_ = true;
  arm_timer(std::min(wait_until_, context_.loop.now() + kWaitStep));
}

void ActiveRequest::note_first_event() {
  if (backend_ != nullptr && counted_prefill_ > 0) {
    backend_->prefill_tokens -= std::min(backend_->prefill_tokens, counted_prefill_);
    counted_prefill_ = 0;
  }
}

void ActiveRequest::end_exchange(bool keep_connection) {
  if (backend_ == nullptr) {
    return;
  }
  if (!begun_at_engine_ && !chain_.links.empty()) {
    backend_->memory.drop_pending(chain_);
  }
  note_first_event();
  context_.pool.end_request(backend_);
  if (keep_connection) {
    context_.pool.release(backend_, connection_);
  } else {
    context_.pool.discard(backend_, connection_);
  }
  connection_ = nullptr;
  backend_ = nullptr;
}

void ActiveRequest::note_sign() {
  last_sign_ = context_.loop.now();
  backend_->heard = last_sign_;
}

void ActiveRequest::on_flow(bool paused) {
  paused_ = paused;
  if (connection_ != nullptr) {
    connection_->set_reading(!paused);
  }
}

void ActiveRequest::check_silence() {
  if (backend_ == nullptr || paused_) {
    return;
  }
  const TimePoint heard = std::max(last_sign_, backend_->heard);
  if (context_.loop.now() - heard < kSilence) {
    return;
  }
  if (backend_->unreachable > heard) {
    on_exchange_failure(ExchangeFailure::kSilent);
    return;
  }
  context_.pool.probe(backend_);
}

void ActiveRequest::on_answer_head(int status, const http1::Headers& headers) {
  note_sign();
  head_.status = status;
  head_.headers = http1::Headers();
  for (const http1::HeaderLine& line : headers.lines()) {
    if (!http1::is_hop_by_hop_header(line.name)) {
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
  if (kind_ != AnswerKind::kFailure && status != kMisdirected) {
    note_survival(context_, *backend_, sent_at_);
  }
  note_rate_limit(headers);
  note_rest(headers);
  note_leaving(headers);
  if (kind_ == AnswerKind::kEvents || kind_ == AnswerKind::kWhole) {
    backend_->rest.on_taken(context_.loop.now());
  }
}

void ActiveRequest::on_answer_body(std::string_view piece) {
  note_sign();
  if (kind_ == AnswerKind::kEvents) {
    const auto keep = shared_from_this();
    splitter_.feed(piece, [this](const delivery::StreamEvent& event) { forward_event(event); });
    return;
  }
  if (body_.size() + piece.size() <= kMaxWholeBody) {
    body_.append(piece);
  }
}

void ActiveRequest::forward_event(const delivery::StreamEvent& event) {
  if (finished_) {
    return;
  }
  note_first_event();
  count_first_event();
  if (!begun_at_engine_ && !chain_.links.empty()) {
    begun_at_engine_ = true;
    learn_first_event();
    note_chain_read();
  }
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
  const TimePoint now = context_.loop.now();
  if (last_event_at_ > TimePoint(0)) {
    longest_pause_ = std::max(longest_pause_, now - last_event_at_);
  }
  last_event_at_ = now;
  answer_->send(event.bytes);
}

void ActiveRequest::on_answer_complete() {
  const auto keep = shared_from_this();
  if (kind_ == AnswerKind::kNotRun) {
    context_.pool.outliers().on_success(backend_->record.id);
    story_.add(events::RequestNotRun{backend_->record.id, head_.status});
    count_end(rollout::SendOutcome::kNotRun);
    end_exchange(true);
    on_not_run(true);
    return;
  }
  if (kind_ == AnswerKind::kEvents) {
    if (splitter_.pending() > 0) {
      on_exchange_failure(ExchangeFailure::kBroken);
      return;
    }
    context_.pool.outliers().on_success(backend_->record.id);
    clear_crashes();
    learn_run();
    count_end(rollout::SendOutcome::kAnswered);
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

void ActiveRequest::finish_whole() {
  const bool failed = head_.status >= kFirstServerError;
  count_end(failed ? rollout::SendOutcome::kFailed : rollout::SendOutcome::kAnswered);
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
    clear_crashes();
    learn_run();
    note_work_time();
  }
  end_exchange(true);
  if (streaming_) {
    break_off("an answer in place of the rest of the stream");
    return;
  }
  answer_->reply(head_, body_);
  done(failed ? "engine failure" : "complete", head_.status);
}

const char* ActiveRequest::why_not_again(bool certainly_not_run) {
  const TimePoint now = context_.loop.now();
  if (now >= give_up_at_) {
    return "no time left";
  }
  const bool never_reached = certainly_not_run && !reached_;
  if (suspected() && !never_reached) {
    return "back ends crashed under it";
  }
  if (certainly_not_run && refusals_ >= kMaxRefusals) {
    return "refused too often";
  }
  if (!certainly_not_run && !plan_.route->repeatable()) {
    return "may have run, and must not run twice";
  }
  if (!certainly_not_run && runs_ >= plan_.route->attempts) {
    return "all attempts of the route are used";
  }
  // What never reached a back end is no load on the service, and counts against no bound.
  if (never_reached || context_.budget_of(plan_.service).take(now, context_.router_count_estimate.count())) {
    return nullptr;
  }
  return "no budget for repeats";
}

bool ActiveRequest::may_repeat(bool certainly_not_run) {
  const char* reason = why_not_again(certainly_not_run);
  if (reason != nullptr) {
    story_.add(events::RequestNotRetried{reason});
  }
  return reason == nullptr;
}

void ActiveRequest::on_not_run(bool reached) {
  in_doubt_ = false;
  refusals_ += reached ? 1 : 0;  // one that is not there is tried once, and costs nothing
  reached_ = reached;
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

void ActiveRequest::on_exchange_failure(ExchangeFailure failure) {
  const auto keep = shared_from_this();
  const TimePoint now = context_.loop.now();
  if (failure == ExchangeFailure::kNotConnected || failure == ExchangeFailure::kSilent) {
    context_.report_unreachable(backend_->record.id);
  }
  if (failure == ExchangeFailure::kNotConnected || failure == ExchangeFailure::kSilent) {
    context_.pool.outliers().on_unreachable(backend_->record.id, now);
  } else {
    context_.pool.outliers().on_failure(backend_->record.id, now);
  }
  context_.metrics.count("stoat_router_exchange_failures_total", {{"kind", to_text(failure)}});
  const BackendPtr failed = backend_;
  const bool refused = connection_->refused();
  count_failure(failure);
  end_exchange(false);
  if (failure == ExchangeFailure::kBroken || failure == ExchangeFailure::kMalformed) {
    note_broken_exchange(failed);
  }
  if (refused) {
    context_.note_crash(*failed, "refused");
  }
  if (failure == ExchangeFailure::kNotConnected) {
    story_.add(events::RequestNotRun{failed->record.id, 0});
    return_trial_permit();
    on_not_run(false);
    return;
  }
  ++runs_;
  ran_ = Ran::kMaybe;
  const auto health = context_.pool.outliers().handle_of(failed->record.id);
  story_.add(events::ExchangeFailed{failed->record.id, to_text(failure), streaming_,
                                    !delivery::OutlierDetector::usable(health, now)});
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

}  // namespace stoat::dispatch
