// RouterCore: how requests end - refused, expired, cancelled, lost or finished.
#include <algorithm>

#include "src/router/router_core.h"
#include "src/router/router_limits.h"
#include "src/wire/failure_reason.h"

namespace stoat::router {

namespace {

using control::ClaimState;
using control::RowKind;
using wire::FailureReason;
using wire::Outcome;

constexpr int kTooManyRequests = 429;
constexpr int kServiceUnavailable = 503;
/// How long the outcome of a lost request is left to the router that may have resumed it.
constexpr Duration kLingerTime = 10s;

/// Whole milliseconds, rounded up. A refusal that asks the caller to come back always says when.
int64_t retry_after_ms(FailureReason reason, Duration retry_after) {
  const int64_t rounded_up = to_milliseconds(retry_after + Duration(999));
  const int status = wire::reason_http_status(reason);
  const bool comes_back = status == kTooManyRequests || status == kServiceUnavailable;
  return comes_back ? std::max<int64_t>(1, rounded_up) : rounded_up;
}

}  // namespace

void RouterCore::refuse(const wire::SubmitRequest& submit, SidecarId sidecar, FailureReason reason,
                        const std::string& message, Duration retry_after, bool may_have_run) {
  wire::RequestFinished finished;
  finished.request_id = submit.request_id;
  finished.attempt = submit.attempt;
  finished.outcome = may_have_run ? Outcome::kUnknown : Outcome::kNotRun;
  finished.reason = reason;
  finished.message = message;
  finished.retry_after_ms = retry_after_ms(reason, retry_after);
  metrics_->count("stoat_router_refusals_total", {{"reason", wire::reason_code(reason)}});
  actions_.push_back(SendToSidecar{sidecar, finished});
}

void RouterCore::expire_queued(TimePoint now) {
  std::vector<uint64_t> expired;
  for (const auto& [request_id, request] : requests_) {
    const bool waits = request.phase == Phase::kClaiming || request.phase == Phase::kQueued;
    if (waits && now >= request.start_by) {
      expired.push_back(request_id);
    }
  }
  for (const uint64_t request_id : expired) {
    Request& request = requests_[request_id];
    const Outcome outcome = request.may_have_run ? Outcome::kUnknown : Outcome::kNotRun;
    queues_[request.submit.serves].remove(request_id);
    end_claim(request, ClaimState::kReleased, "");
    if (request.phase == Phase::kClaiming) {
      finish_with(request, outcome, FailureReason::kClaimUnavailable, kNoQuorumMessage, kBusyRetryAfter, now);
    } else if (!has_candidates(request, now)) {
      finish_with(request, outcome, FailureReason::kNoBackend,
                  "no live back end serves " + request.submit.serves, kBusyRetryAfter, now);
    } else {
      finish_with(request, outcome, FailureReason::kDeadline, "could not be started in time", kBusyRetryAfter,
                  now);
    }
  }
}

void RouterCore::uncount(Request& request, TimePoint now) {
  if (request.counted_as_running) {
    request.counted_as_running = false;
    limiter(RowKind::kTenant, request.submit.tenant, now).ended();
    limiter(RowKind::kService, request.submit.serves, now).ended();
  }
}

void RouterCore::drop_orphans(TimePoint now) {
  std::vector<uint64_t> orphans;
  for (const auto& [request_id, request] : requests_) {
    if (request.phase == Phase::kLingering) {
      if (now - request.orphaned_at > kLingerTime) {
        orphans.push_back(request_id);
      }
      continue;
    }
    const bool lost =
        request.orphaned_at != TimePoint(0) && now - request.orphaned_at > options_.orphan_grace;
    // A request that must not be repeated runs on, so that a resend finds its outcome.
    if (lost && (request.submit.repeatable || request.phase != Phase::kRunning)) {
      orphans.push_back(request_id);
    }
  }
  for (const uint64_t request_id : orphans) {
    Request& request = requests_[request_id];
    if (request.phase == Phase::kLingering) {
      end_claim(request, ClaimState::kUnknown, "");
      request.sidecar = 0;
      finish_with(request, Outcome::kUnknown, FailureReason::kOutcomeUnknown, "left", Duration(0), now);
      continue;
    }
    on_cancel(request.sidecar, request_id, now);
  }
}

void RouterCore::on_cancel(SidecarId sidecar, uint64_t request_id, TimePoint now) {
  const auto found = requests_.find(request_id);
  if (found == requests_.end() || found->second.sidecar != sidecar) {
    return;
  }
  Request& request = found->second;
  if (!request.submit.repeatable && request.phase == Phase::kRunning) {
    request.sidecar = 0;  // let it settle
    return;
  }
  if (request.phase == Phase::kRunning) {
    actions_.push_back(StopCall{request.call_id, true});
    calls_.erase(request.call_id);
    release_backend(request);
  } else {
    queues_[request.submit.serves].remove(request_id);
    end_claim(request, ClaimState::kReleased, "");
  }
  metrics_->count("stoat_router_cancelled_total");
  request.sidecar = 0;
  finish_with(request, Outcome::kFailed, FailureReason::kNone, "cancelled", Duration(0), now);
}

void RouterCore::count_end(const wire::RequestFinished& finished, const Request& request) {
  metrics_->count("stoat_router_finished_total", {{"outcome", wire::outcome_name(finished.outcome)},
                                                  {"reason", wire::reason_code(finished.reason)}});
  if (finished.outcome == Outcome::kComplete) {
    metrics_->count("stoat_router_prompt_tokens_total", {}, request.prompt_tokens);
    metrics_->count("stoat_router_cached_tokens_total", {}, finished.cached_tokens);
  }
}

void RouterCore::finish(Request& request, const wire::RequestFinished& finished, TimePoint now) {
  drop_hedge(request);
  wire::RequestFinished message = finished;
  message.request_id = request.submit.request_id;
  message.attempt = request.submit.attempt;
  if (request.sidecar != 0) {
    actions_.push_back(SendToSidecar{request.sidecar, message});
  }
  count_end(message, request);
  uncount(request, now);
  requests_.erase(message.request_id);
}

void RouterCore::finish_with(Request& request, Outcome outcome, FailureReason reason,
                             const std::string& message, Duration retry_after, TimePoint now) {
  wire::RequestFinished finished;
  finished.outcome = outcome;
  finished.reason = reason;
  finished.message = message;
  finished.retry_after_ms = retry_after_ms(reason, retry_after);
  finished.piece_count = request.next_index;
  finish(request, finished, now);
}

}  // namespace stoat::router
