#include "src/wire/failure_reason.h"

#include <array>

namespace stoat::wire {

namespace {

struct ReasonFacts {
  const char* code;
  int http_status;
};

/// In the order of FailureReason.
constexpr std::array<ReasonFacts, 14> kReasons{{
    {"none", 200},
    {"over_ceiling", 429},
    {"queue_full", 503},
    {"deadline", 503},
    {"no_backend", 503},
    {"backend_lost", 502},
    {"claim_unavailable", 503},
    {"request_in_progress", 409},
    {"idempotency_conflict", 422},
    {"outcome_unknown", 502},
    {"draining", 503},
    {"unknown_model", 404},
    {"router_unavailable", 503},
    {"backend_rejected", 502},
}};

}  // namespace

/// A reason that a newer process sent reads as a failure without a name here.
ReasonFacts facts_of(FailureReason reason) {
  const auto position = static_cast<size_t>(reason);
  return position < kReasons.size() ? kReasons[position] : ReasonFacts{"unknown_reason", 502};
}

const char* reason_code(FailureReason reason) { return facts_of(reason).code; }

int reason_http_status(FailureReason reason) { return facts_of(reason).http_status; }

const char* outcome_name(Outcome outcome) {
  switch (outcome) {
    case Outcome::kComplete:
      return "complete";
    case Outcome::kNotRun:
      return "not_run";
    case Outcome::kUnknown:
      return "unknown";
    case Outcome::kFailed:
      return "failed";
  }
  return "unknown";
}

}  // namespace stoat::wire
