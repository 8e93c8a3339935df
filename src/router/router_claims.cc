// RouterCore: claims of requests that must not be repeated.
#include "src/router/router_core.h"
#include "src/router/router_limits.h"

namespace stoat::router {

namespace {

using control::ClaimState;
using wire::FailureReason;
using wire::Outcome;

}  // namespace

void RouterCore::request_claim(Request& request, TimePoint) {
  request.phase = Phase::kClaiming;
  request.claim_id = random_.bits() | 1U;
  const uint64_t call_id = ++last_control_call_;
  control::ClaimKey claim;
  claim.tenant = request.submit.tenant;
  claim.key = request.submit.idempotency_key;
  claim.digest = request.digest;
  claim.claim_id = request.claim_id;
  claim.request_id = request.submit.request_id;
  claim.attempt = request.submit.attempt;
  claim_calls_[call_id] = PendingClaim{request.submit.request_id, claim};
  actions_.push_back(CallControl{call_id, claim});
}

void RouterCore::on_control_answer(uint64_t call_id, const std::optional<control::CommandResult>& result,
                                   TimePoint now) {
  const auto found = claim_calls_.find(call_id);
  if (found == claim_calls_.end()) {
    return;
  }
  const PendingClaim pending = std::move(found->second);
  claim_calls_.erase(found);
  const uint64_t request_id = pending.request_id;
  const auto request = requests_.find(request_id);
  const bool waits = request != requests_.end() && request->second.phase == Phase::kClaiming &&
                     request->second.claim_id == pending.claim.claim_id;
  if (!waits) {
    // The request ended meanwhile. It is never dispatched, so the key may be granted again.
    if (result && result->code == control::ResultCode::kOk) {
      release_claim(pending.claim);
    }
    return;
  }
  if (!result) {
    // The claim may be granted later, but this router will not dispatch it.
    end_claim(request->second, ClaimState::kReleased, "");
    const bool ran_before = request->second.submit.may_have_run;
    finish_with(request->second, ran_before ? Outcome::kUnknown : Outcome::kNotRun,
                FailureReason::kClaimUnavailable, kNoQuorumMessage, kBusyRetryAfter, now);
    return;
  }
  on_claim_result(request_id, *result, now);
}

void RouterCore::on_claim_result(uint64_t request_id, const control::CommandResult& result, TimePoint now) {
  Request& request = requests_[request_id];
  if (result.code == control::ResultCode::kOk) {
    // Nobody else can hold the key now, so whatever router had the request before did not run it.
    request.submit.may_have_run = false;
    request.may_have_run = false;
    enqueue(request, now);
    return;
  }
  if (result.code == control::ResultCode::kDigestConflict) {
    finish_with(request, Outcome::kNotRun, FailureReason::kClaimConflict,
                "the idempotency key belongs to another request", Duration(0), now);
    return;
  }
  if (result.claim_state == ClaimState::kSettled) {
    wire::RequestFinished finished;
    finished.outcome = Outcome::kComplete;
    finished.body = result.outcome;
    finished.prompt_tokens = request.prompt_tokens;
    finished.message = "replayed";
    finish(request, finished, now);
    return;
  }
  const bool open = result.claim_state == ClaimState::kGranted;
  finish_with(request, Outcome::kUnknown, open ? FailureReason::kClaimHeld : FailureReason::kOutcomeUnknown,
              open ? "an earlier request under this key has not ended"
                   : "an earlier request under this key may have run",
              open ? kBusyRetryAfter : Duration(0), now);
}

void RouterCore::end_claim(const Request& request, ClaimState state, const std::string& outcome) {
  if (request.claim_id == 0) {
    return;
  }
  control::FinishClaim finish_claim;
  finish_claim.tenant = request.submit.tenant;
  finish_claim.key = request.submit.idempotency_key;
  finish_claim.claim_id = request.claim_id;
  finish_claim.state = state;
  finish_claim.outcome = outcome;
  finish_claim.request_id = request.submit.request_id;
  finish_claim.attempt = request.submit.attempt;
  actions_.push_back(CallControl{++last_control_call_, finish_claim});
}

void RouterCore::release_claim(const control::ClaimKey& claim) {
  control::FinishClaim release;
  release.tenant = claim.tenant;
  release.key = claim.key;
  release.claim_id = claim.claim_id;
  release.state = ClaimState::kReleased;
  release.request_id = claim.request_id;
  release.attempt = claim.attempt;
  actions_.push_back(CallControl{++last_control_call_, release});
}

}  // namespace stoat::router
