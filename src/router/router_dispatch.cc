// RouterCore: calls to back ends, resumes and retries.
#include <algorithm>

#include "src/router/router_core.h"

namespace stoat::router {

namespace {

using control::ClaimState;
using wire::FailureReason;
using wire::Outcome;

/// How long a back end is passed over after a refusal that will last for a while.
constexpr Duration kAvoidAfterRefusal = 500ms;
constexpr Duration kLostRetryAfter = 1s;
constexpr uint32_t kMaxResumes = 2;
/// Refusals by engines that have restarted, which do not count as tries of a request.
constexpr uint32_t kMaxRestartsMet = 8;

}  // namespace

void RouterCore::start_call(Request& request, CallKind kind, const control::Backend& backend,
                            const KvTransfer& transfer, TimePoint now) {
  EngineState& state = engines_.at(backend.name);
  const uint64_t request_id = request.submit.request_id;
  request.phase = Phase::kRunning;
  request.backend = backend.name;
  request.dispatched_at = now;
  request.call_id = ++last_call_id_;
  ++request.dispatches;
  calls_[request.call_id] = request_id;
  ++state.outstanding;
  outliers_.on_dispatch(backend.name, now);

  request.first_index = request.next_index;
  if (kind == CallKind::kResume) {
    StartCall call = new_call(request, backend);
    call.call_id = request.call_id;
    call.kind = kind;
    call.engine_attempt = request.engine_attempt;
    call.expected_incarnation = request.incarnation;
    actions_.push_back(std::move(call));
    return;
  }
  StartCall call = new_run(request, backend, transfer);
  call.call_id = request.call_id;
  call.kind = kind;
  request.engine_attempt = call.engine_attempt;
  request.incarnation = call.expected_incarnation;
  request.ran_before_call = request.may_have_run;
  request.may_have_run = true;
  state.pending_tokens += request.missing_tokens;
  request.pending_tokens = request.missing_tokens;
  if (kind == CallKind::kComplete) {
    expect_blocks(request, backend.name, request.incarnation);
  }
  tell_where(request);
  actions_.push_back(std::move(call));
}

StartCall RouterCore::new_call(const Request& request, const control::Backend& backend) {
  StartCall call;
  call.backend = backend.name;
  call.endpoint = backend.endpoint;
  call.request_id = request.submit.request_id;
  call.idempotency_key = request.submit.idempotency_key;
  call.tenant = request.submit.tenant;
  call.first_index = request.next_index;
  call.repeatable = request.submit.repeatable;
  return call;
}

StartCall RouterCore::new_run(const Request& request, const control::Backend& backend,
                              const KvTransfer& transfer) {
  StartCall call = new_call(request, backend);
  // Attempt numbers at engines must not meet those that another router gave to the same request.
  call.engine_attempt = static_cast<uint32_t>(random_.bits() >> 33U) | 1U;
  call.expected_incarnation = engines_.at(backend.name).load.incarnation;
  call.expected_weights = request.weights_version;
  call.prompt = request.submit.prompt;
  call.method = request.submit.method;
  call.path = request.submit.path;
  call.cache_seed = request.seed;
  call.max_tokens = request.submit.max_tokens;
  call.priority = request.tenant_row.priority;
  call.kv_transfer = transfer;
  return call;
}

void RouterCore::expect_blocks(const Request& request, const std::string& backend, uint64_t incarnation) {
  const cache::EngineSlot slot = expected_->slot_of(backend, incarnation);
  for (const cache::BlockHash block : request.chain) {
    expected_->store(slot, block);
  }
}

void RouterCore::tell_where(const Request& request) {
  if (request.sidecar == 0) {
    return;
  }
  const wire::ResumePoint where{request.backend, request.incarnation, request.engine_attempt,
                                request.claim_id};
  const wire::RequestDispatched dispatched{request.submit.request_id, request.submit.attempt, where};
  actions_.push_back(SendToSidecar{request.sidecar, dispatched});
}

void RouterCore::start_resume(Request& request, const wire::ResumePoint& where, TimePoint now) {
  request.backend = where.engine;
  request.incarnation = where.incarnation;
  request.engine_attempt = where.engine_attempt;
  request.may_have_run = true;
  request.ran_before_call = true;  // whatever becomes of the resume, the run may have begun
  request.claim_id = where.claim_id;
  ++request.resumes;
  const auto backend = configuration_.backends.find(where.engine);
  if (backend == configuration_.backends.end() || request.resumes > kMaxResumes ||
      request.submit.kind != wire::RequestKind::kCompletion) {
    retry_elsewhere(request, now);
    return;
  }
  start_call(request, CallKind::kResume, backend->second, KvTransfer(), now);
}

void RouterCore::leave_call(Request& request) {
  if (request.call_id == 0) {
    return;
  }
  drop_hedge(request);
  actions_.push_back(StopCall{request.call_id, false});
  calls_.erase(request.call_id);
  release_backend(request);
}

void RouterCore::release_backend(Request& request) {
  request.call_id = 0;
  release_backend(request.backend, request.pending_tokens);
  request.pending_tokens = 0;
}

void RouterCore::release_backend(const std::string& backend, uint32_t pending_tokens) {
  EngineState& state = engines_.at(backend);
  state.outstanding -= state.outstanding > 0 ? 1 : 0;
  state.pending_tokens -= std::min(state.pending_tokens, pending_tokens);
}

void RouterCore::end_pending(Request& request) {
  EngineState& state = engines_.at(request.backend);
  state.pending_tokens -= std::min(state.pending_tokens, request.pending_tokens);
  request.pending_tokens = 0;
}

void RouterCore::note_first_piece(Request& request, TimePoint now) {
  end_pending(request);
  if (request.queue_was_empty && request.dispatches == 1 &&
      request.submit.kind == wire::RequestKind::kCompletion) {
    if (request.import_tokens > 0) {
      costs_.observe_import(request.import_tokens, request.missing_tokens, now - request.dispatched_at);
    } else {
      costs_.observe(request.missing_tokens, now - request.dispatched_at);
    }
  }
  request.queue_was_empty = false;
}

void RouterCore::on_piece(CallId call_id, uint32_t index, const std::string& text, TimePoint now) {
  const auto call = calls_.find(call_id);
  if (call == calls_.end()) {
    metrics_->count("stoat_router_late_pieces_total");
    return;
  }
  Request& request = requests_[call->second];
  if (call_id == request.hedge.call_id) {
    promote_hedge(request, now);
  } else {
    drop_hedge(request);
  }
  if (index < request.next_index) {
    return;
  }
  if (index > request.next_index) {
    leave_call(request);
    on_broken(request, now);
    return;
  }
  note_first_piece(request, now);
  ++request.next_index;
  request.text += text;
  if (request.sidecar != 0) {
    actions_.push_back(SendToSidecar{
        request.sidecar, wire::StreamPiece{request.submit.request_id, request.submit.attempt, index, text}});
  }
}

void RouterCore::on_call_end(CallId call_id, const CallResult& result, TimePoint now) {
  const auto call = calls_.find(call_id);
  if (call == calls_.end()) {
    return;
  }
  Request& request = requests_[call->second];
  calls_.erase(call);
  if (call_id == request.hedge.call_id) {
    on_hedge_end(request, result, now);
    return;
  }
  const bool other_runs = request.hedge.call_id != 0;
  if (other_runs && (result.end == CallEnd::kBroken || result.end == CallEnd::kNotSent)) {
    outliers_.on_failure(request.backend, now);
    promote_hedge(request, now);
    return;
  }
  release_backend(request);
  switch (result.end) {
    case CallEnd::kComplete:
      on_complete(request, result, now);
      break;
    case CallEnd::kNotSent:
      outliers_.on_failure(request.backend, now);
      request.may_have_run = request.ran_before_call;
      retry_elsewhere(request, now);
      break;
    case CallEnd::kRefused:
      on_refused(request, result, now);
      break;
    case CallEnd::kUnknownStream:
      retry_elsewhere(request, now);
      break;
    case CallEnd::kBroken:
      outliers_.on_failure(request.backend, now);
      on_broken(request, now);
      break;
    case CallEnd::kRejected: {
      outliers_.on_success(request.backend);
      wire::RequestFinished finished;
      finished.outcome = Outcome::kFailed;
      finished.reason = FailureReason::kBackendRejected;
      finished.http_status = result.http_status;
      finished.message = "the back end answered with an error";
      finished.body = result.body;
      end_claim(request, ClaimState::kUnknown, "");
      finish(request, finished, now);
      break;
    }
  }
  pump_queues(now);
}

void RouterCore::on_complete(Request& request, const CallResult& result, TimePoint now) {
  outliers_.on_success(request.backend);
  const bool is_completion = request.submit.kind == wire::RequestKind::kCompletion;
  if (is_completion && result.piece_count != request.next_index) {
    on_broken(request, now);
    return;
  }
  complete(request, result, now);
}

void RouterCore::complete(Request& request, const CallResult& result, TimePoint now) {
  const bool is_completion = request.submit.kind == wire::RequestKind::kCompletion;
  wire::RequestFinished finished;
  finished.outcome = Outcome::kComplete;
  finished.http_status = result.http_status == 0 ? 200 : result.http_status;
  finished.piece_count = request.next_index;
  finished.prompt_tokens = result.prompt_tokens;
  finished.cached_tokens = result.cached_tokens;
  finished.body = result.body;
  end_claim(request, ClaimState::kSettled, is_completion ? request.text : result.body);
  finish(request, finished, now);
}

void RouterCore::on_refused(Request& request, const CallResult& result, TimePoint now) {
  metrics_->count("stoat_router_engine_refusals_total", {{"refusal", result.refusal}});
  EngineState& state = engines_.at(request.backend);
  if (result.refusal == "wrong_incarnation") {
    // It restarted: nothing that was known of it holds.
    index_.drop_engine(request.backend);
    expected_->drop_engine(request.backend);
    expected_before_->drop_engine(request.backend);
    state.load = wire::EngineLoad();
    state.load.incarnation = result.incarnation;
    if (++request.restarts_met <= kMaxRestartsMet) {
      // It is up again, only empty: as good a choice as any.
      --request.dispatches;
      request.may_have_run = request.ran_before_call;
      retry_elsewhere(request, now, false);
      return;
    }
  } else {
    state.avoid_until = now + kAvoidAfterRefusal;
  }
  request.may_have_run = request.ran_before_call;
  retry_elsewhere(request, now);
}

void RouterCore::linger(Request& request, TimePoint now) {
  // Its sidecar may have had the stream resumed through another router, which made the engine leave this one.
  // To resume it here would take it away again, and to end it would cut the other's answer.
  if (!request.submit.repeatable) {
    request.phase = Phase::kLingering;
    return;
  }
  request.sidecar = 0;
  finish_with(request, Outcome::kFailed, FailureReason::kBackendLost, "left", Duration(0), now);
}

void RouterCore::on_broken(Request& request, TimePoint now) {
  if (request.orphaned_at != TimePoint(0)) {
    linger(request, now);
    return;
  }
  if (request.submit.kind == wire::RequestKind::kCompletion && request.resumes < kMaxResumes &&
      request.incarnation != 0) {
    const wire::ResumePoint where{request.backend, request.incarnation, request.engine_attempt,
                                  request.claim_id};
    start_resume(request, where, now);
    return;
  }
  retry_elsewhere(request, now);
}

void RouterCore::retry_elsewhere(Request& request, TimePoint now, bool exclude_backend) {
  if (is_whole(request)) {
    CallResult whole;
    whole.end = CallEnd::kComplete;
    whole.piece_count = request.next_index;
    whole.prompt_tokens = request.prompt_tokens;
    complete(request, whole, now);
    return;
  }
  const bool may_go_on = request.submit.repeatable || !request.may_have_run;
  if (!may_go_on) {
    metrics_->count("stoat_router_unknown_total");
    end_claim(request, ClaimState::kUnknown, "");
    finish_with(request, Outcome::kUnknown, FailureReason::kOutcomeUnknown,
                "the back end was lost and may have run the request", Duration(0), now);
    return;
  }
  if (request.dispatches >= options_.max_dispatches || (request.may_have_run && !retry_budget_.take())) {
    end_claim(request, ClaimState::kReleased, "");
    finish_with(request, request.may_have_run ? Outcome::kFailed : Outcome::kNotRun,
                FailureReason::kBackendLost, "the back end was lost", kLostRetryAfter, now);
    return;
  }
  metrics_->count("stoat_router_retries_total");
  if (exclude_backend) {
    request.excluded.insert(request.backend);
  }
  if (!request.submit.repeatable && request.claim_id == 0) {
    request_claim(request, now);  // came for a resume, and the run turned out never to have begun
    return;
  }
  if (!has_candidates(request, now)) {
    request.excluded.clear();
  }
  if (request.start_by < now + kLostRetryAfter) {
    request.start_by = now + kLostRetryAfter;  // it was admitted in time; give the retry a chance
  }
  if (!try_dispatch(request, now)) {
    uncount(request, now);
    enqueue(request, now);
  }
}

}  // namespace stoat::router
