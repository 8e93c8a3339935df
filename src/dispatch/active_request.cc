#include "src/dispatch/active_request.h"

#include <event2/event.h>

#include <algorithm>
#include <cstdio>

#include "src/common/hash.h"
#include "src/dispatch/request_fingerprint.h"

namespace stoat::dispatch {

namespace {

constexpr int kFirstServerError = 500;
/// A request is refused after this many engines stated that they did not execute it.
constexpr uint32_t kMaxRefusals = 3;
/// While a router that has just started knows no backend of a service, a request waits for one for up to its
/// time limit divided by this. The rest of the time is left for serving it, or for the caller's retry.
constexpr int kStartupWaitDivisor = 4;
/// How often a waiting request searches for a backend again.
constexpr Duration kBackendPollInterval = 25ms;
/// Maximum size of one event of a stream.
constexpr size_t kMaxEventBytes = 1U << 20U;

placement::PromptChain make_chain(const RoutedRequest& plan) {
  placement::PromptChain chain;
  const std::string owner = plan.cache_owner();
  uint32_t total = 0;
  for (const PromptPart& part : plan.fields.parts) {
    chain.prompt_parts.push_back({placement::part_hash(owner, plan.fields.model, part.id), part.tokens});
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
      part_features_(part_features(plan_.fields.model, plan_.fields.parts)),
      body_(context.response_bodies),
      last_event_id_(plan_.fields.last_event_id),
      event_log_(plan_.fields.id) {
  const auto on_timeout = [](evutil_socket_t, short, void* run) {
    static_cast<ActiveRequest*>(run)->on_timer();
  };
  timer_ = event_new(context.loop.base(), -1, 0, on_timeout, this);
  answer_->set_flow_handler([this](bool paused) { on_flow_control(paused); });
}

ActiveRequest::~ActiveRequest() {
  if (!finished_) {
    answer_->set_flow_handler(nullptr);
  }
  event_free(timer_);
  leave_queue();
  end_lease_request();
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
  deadline_ = plan_.arrived + Duration(1000 * limit_ms);
  wait_deadline_ = wait_limit();
  chain_ = make_chain(plan_);
  stream_ = stream_key();
  event_log_.add(events::RequestAccepted{
      route.name, plan_.service, plan_.tenant == nullptr ? "" : plan_.tenant->name,
      plan_.table->configuration().version, limit_ms, chain_.prompt_tokens, to_hex(fingerprint_),
      plan_.fields.resumes, last_event_id_.value_or(-1), to_hex(part_features_)});
  if (context_.loop.now() >= deadline_) {
    fail_request("no time left");  // the time was used up waiting for the router's start
    return;
  }
  refuse_if_too_late();
  if (finished_) {
    return;
  }
  if (is_resumable_stream() && last_event_id_) {
    find_origin();
  } else {
    begin();
  }
}

void ActiveRequest::begin() {
  context_.budget_of(plan_.service).on_request(plan_.arrived);
  sample_for_trial();
  try_dispatch();
}

TimePoint ActiveRequest::wait_limit() const {
  // This limit also applies while no backend may take the request. Within that time, one round of updates
  // from the control plane reports backends that have joined or are usable again.
  const TimePoint usual = admission::wait_limit(times(), context_.admission_thresholds);
  if (context_.pool.count(plan_.service) > 0) {
    return usual;
  }
  // The feed may come from a control-plane member that has not received any heartbeat yet.
  const TimePoint longest = plan_.arrived + (deadline_ - plan_.arrived) / kStartupWaitDivisor;
  return std::max(usual, std::min(longest, context_.startup_ends_at));
}

void ActiveRequest::on_timer() {
  const auto keep = shared_from_this();
  const TimePoint now = context_.loop.now();
  if (waiting_ && now < deadline_) {
    try_dispatch();
    return;
  }
  if (failed_origin_ != nullptr && now < deadline_) {
    decide_on_backup();
    return;
  }
  if (streaming_) {
    abort_stream("time-out in the stream");
    return;
  }
  fail_request("time-out");
}

void ActiveRequest::try_dispatch() {
  if (blocked_by_crashes()) {
    return;
  }
  if (cut_off_without_relay()) {
    fail_request("no back end can be reached from here");
    return;
  }
  if (origin_is_gone()) {
    refuse_resumption("no back end of the stream's version is left", Duration(0));
    return;
  }
  const TimePoint now = context_.loop.now();
  const Candidates found = find_candidates();
  request_candidate_permits(found);
  if (send_with_slot(found)) {
    return;
  }
  if (prefers_slot(found)) {
    wait_for_slot_lease(found);
    return;
  }
  if (!found.best_available().empty()) {
    admit(found.best_available());
    return;
  }
  if (executed_ == Executed::kNo && !found.limited.empty()) {
    std::vector<std::string> limited;
    for (const BackendPtr& backend : found.limited) {
      limited.push_back(backend->record.id);
    }
    wait_for_permit(limited, "back ends take no more requests now");
    return;
  }
  if (executed_ == Executed::kNo && !found.backing_off.empty()) {
    wait_for_backoff(found.backing_off);
    return;
  }
  if (now >= wait_deadline_ || executed_ != Executed::kNo) {
    fail_request("no back end");
    return;
  }
  schedule_poll();
}

void ActiveRequest::schedule_poll() {
  if (!waiting_) {
    log_waiting();
  }
  waiting_ = true;
  arm_timer(std::min(wait_deadline_, context_.loop.now() + kBackendPollInterval));
}

void ActiveRequest::release_pending_prefill() {
  if (backend_ != nullptr && pending_prefill_tokens_ > 0) {
    backend_->prefill_tokens -= std::min(backend_->prefill_tokens, pending_prefill_tokens_);
    pending_prefill_tokens_ = 0;
  }
}

void ActiveRequest::finish_exchange(bool keep_connection) {
  if (backend_ == nullptr) {
    return;
  }
  if (!first_event_received_ && !chain_.prompt_parts.empty()) {
    backend_->cache_estimate.drop_pending(chain_);
  }
  release_pending_prefill();
  context_.pool.end_request(backend_);
  if (keep_connection) {
    context_.pool.release(backend_, connection_);
  } else {
    context_.pool.discard(backend_, connection_);
  }
  connection_ = nullptr;
  backend_ = nullptr;
  context_.report_slots();
}

void ActiveRequest::note_activity() {
  last_activity_ = context_.loop.now();
  backend_->activity(connection_->relayed()).last_received_at = last_activity_;
  if (!connection_->relayed()) {
    context_.pool.links().on_heard(backend_->record.id, last_activity_);
  }
}

void ActiveRequest::on_flow_control(bool paused) {
  paused_ = paused;
  update_reading();
}

void ActiveRequest::on_response_head(int status, const http1::Headers& headers) {
  note_activity();
  head_.status = status;
  head_.headers = http1::Headers();
  for (const http1::HeaderLine& line : headers.lines()) {
    if (!http1::is_hop_by_hop_header(line.name)) {
      head_.headers.add(line.name, line.value);
    }
  }
  note_weights(headers);
  const bool has_signature = headers.find(context_.names.signature) != nullptr;
  if (headers.find(context_.names.not_run) != nullptr || status == kMisdirected) {
    kind_ = ResponseKind::kNotRun;
  } else if (!has_signature) {
    kind_ = ResponseKind::kInvalid;
  } else if (status < kFirstErrorStatus && plan_.route->kind == fleet::RouteKind::kStreaming) {
    kind_ = ResponseKind::kEventStream;
  } else {
    kind_ = ResponseKind::kBuffered;
  }
  if (kind_ != ResponseKind::kInvalid && status != kMisdirected) {
    note_survival(context_, *backend_, sent_at_);
  }
  body_.reset(kind_ == ResponseKind::kBuffered ? BodyUse::kPassedOn : BodyUse::kUnused);
  note_rate_limit(headers);
  apply_backoff(headers);
  note_brittle(headers);
  note_leaving(headers);
  if (kind_ == ResponseKind::kEventStream || kind_ == ResponseKind::kBuffered) {
    backend_->backoff.on_accepted(context_.loop.now());
  }
}

void ActiveRequest::on_response_body(std::string_view piece) {
  note_activity();
  if (kind_ == ResponseKind::kEventStream) {
    const auto keep = shared_from_this();
    splitter_.feed(piece, [this](const delivery::StreamEvent& event) { forward_event(event); });
    if (!finished_ && splitter_.pending() > kMaxEventBytes) {
      on_exchange_failure(ExchangeFailure::kTooLong);
    }
    return;
  }
  if (body_.append(piece)) {
    return;
  }
  if (kind_ == ResponseKind::kNotRun) {
    end_refused_exchange(false);
  } else {
    on_exchange_failure(ExchangeFailure::kTooLong);
  }
}

void ActiveRequest::end_refused_exchange(bool keep_connection) {
  const auto keep = shared_from_this();
  context_.pool.outliers().on_success(backend_->record.id);
  event_log_.add(events::RequestNotRun{backend_->record.id, head_.status});
  record_rollout_end(rollout::SendOutcome::kNotRun);
  finish_exchange(keep_connection);
  on_not_run(true);
}

void ActiveRequest::forward_event(const delivery::StreamEvent& event) {
  if (finished_) {
    return;
  }
  if (exchange_first_event_at_ == TimePoint(0)) {
    exchange_first_event_at_ = context_.loop.now();
  }
  release_pending_prefill();
  record_rollout_first_event();
  if (!first_event_received_ && !chain_.prompt_parts.empty()) {
    first_event_received_ = true;
    observe_first_event_latency();
    note_prompt_cached();
  }
  if (event.id && last_event_id_ && *event.id <= *last_event_id_) {
    return;  // the caller already has this event
  }
  if (!hold_event(event)) {
    pass_on(event);
  }
}

void ActiveRequest::pass_on(const delivery::StreamEvent& event) {
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

void ActiveRequest::on_response_complete() {
  const auto keep = shared_from_this();
  if (kind_ == ResponseKind::kNotRun) {
    end_refused_exchange(true);
    return;
  }
  if (kind_ == ResponseKind::kEventStream) {
    if (splitter_.pending() > 0) {
      on_exchange_failure(ExchangeFailure::kBroken);
      return;
    }
    on_record_wait_over();  // a complete stream waits no longer for its record
    if (finished_) {
      return;
    }
    context_.pool.outliers().on_success(backend_->record.id);
    clear_crash_suspicion();
    observe_run_time();
    record_rollout_end(rollout::SendOutcome::kAnswered);
    finish_exchange(true);
    if (!streaming_) {
      answer_->start(head_);
    }
    answer_->finish();
    finish_request("complete", head_.status);
    return;
  }
  if (kind_ == ResponseKind::kBuffered) {
    finish_buffered_response();
    return;
  }
  on_exchange_failure(ExchangeFailure::kMalformed);
}

void ActiveRequest::finish_buffered_response() {
  const bool failed = head_.status >= kFirstServerError;
  record_rollout_end(failed ? rollout::SendOutcome::kFailed : rollout::SendOutcome::kAnswered);
  if (failed && plan_.route->repeatable()) {
    // The engine itself failed: retry at another one, or else relay this response.
    ++runs_;
    executed_ = Executed::kMaybe;
    finish_exchange(true);
    if (may_retry(false) && find_candidates().any()) {
      context_.metrics.count("stoat_router_repeats_total");
      try_dispatch();
      return;
    }
    if (streaming_) {
      abort_stream("engine failure in the stream");
      return;
    }
    answer_->reply(head_, body_.bytes());
    finish_request("engine failure", head_.status);
    return;
  }
  if (!failed) {
    context_.pool.outliers().on_success(backend_->record.id);
    clear_crash_suspicion();
    observe_run_time();
    observe_call_time();
  }
  finish_exchange(true);
  if (streaming_) {
    abort_stream("an answer in place of the rest of the stream");
    return;
  }
  answer_->reply(head_, body_.bytes());
  finish_request(failed ? "engine failure" : "complete", head_.status);
}

const char* ActiveRequest::retry_denial_reason(bool known_not_executed) {
  const TimePoint now = context_.loop.now();
  if (now >= deadline_) {
    return "no time left";
  }
  // A stream that has begun loses nothing by going on for as long as the router is there.
  if (may_outlast_router() && !streaming_) {
    return "the router stops";
  }
  const bool not_delivered = known_not_executed && !delivered_;
  if (suspected() && !not_delivered) {
    return "back ends crashed under it";
  }
  if (known_not_executed && refusals_ >= kMaxRefusals) {
    return "refused too often";
  }
  if (!known_not_executed && !plan_.route->repeatable()) {
    return "may have run, and must not run twice";
  }
  if (!known_not_executed && runs_ >= plan_.route->attempts) {
    return "all attempts of the route are used";
  }
  // A request that never reached a backend put no load on the service, and is not charged to the retry
  // budget.
  if (not_delivered || context_.budget_of(plan_.service).take(now, context_.router_count_estimate.count())) {
    return nullptr;
  }
  return "no budget for repeats";
}

bool ActiveRequest::may_retry(bool known_not_executed) {
  const char* reason = retry_denial_reason(known_not_executed);
  if (reason != nullptr) {
    event_log_.add(events::RequestNotRetried{reason});
  }
  return reason == nullptr;
}

void ActiveRequest::on_not_run(bool delivered) {
  outcome_unknown_ = false;
  refusals_ += delivered ? 1 : 0;  // a failed connection costs nothing, and each backend is tried only once
  delivered_ = delivered;
  if (resumed_from_backup_) {
    fail_request("no copy of the run");
    return;
  }
  if (may_retry(true)) {
    context_.metrics.count("stoat_router_repeats_total");
    try_dispatch();
    return;
  }
  fail_request("refused by back ends");
}

}  // namespace stoat::dispatch
