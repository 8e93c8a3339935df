/// Typed log events for rollouts, which move a service to another version. docs/OPERATIONS.md explains each.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "src/common/log_line.h"
#include "src/fleet/service_rollout.h"

namespace stoat::events {

/// Returns the name of the phase that operators see.
inline const char* to_text(fleet::RolloutPhase phase) {
  switch (phase) {
    case fleet::RolloutPhase::kWaiting:
      return "waiting";
    case fleet::RolloutPhase::kTrial:
      return "trial";
    case fleet::RolloutPhase::kSwitching:
      return "switching";
    case fleet::RolloutPhase::kRollingBack:
      return "returning";
    case fleet::RolloutPhase::kCompleted:
      return "completed";
    case fleet::RolloutPhase::kRolledBack:
      return "rolled back";
  }
  return "unknown";
}

/// A rollout was accepted or has taken a step. The counts are those that this member has at that time.
struct ServiceRolloutStepped {
  static constexpr const char* kMessage = "service rollout stepped";
  fleet::ServiceRollout rollout;
  int64_t age_ms = 0;        ///< since the rollout was ordered
  uint64_t answers = 0;      ///< responses of the target version that were judged
  uint64_t failed = 0;       ///< of these responses
  double doubt = 0;          ///< 1 and above: bad
  uint64_t target_sent = 0;  ///< requests to the target version
  uint64_t all_sent = 0;
  std::vector<LogField> fields() const {
    return {{"service", rollout.service},
            {"id", rollout.id},
            {"step", rollout.step},
            {"target_version", rollout.target_version},
            {"phase", to_text(rollout.phase)},
            {"share", rollout.share},
            {"spread", rollout.all_backends},
            {"reason", rollout.reason},
            {"age_ms", age_ms},
            {"answers", answers},
            {"failed", failed},
            {"doubt", doubt},
            {"target_sent", target_sent},
            {"all_sent", all_sent}};
  }
};

/// A router applies a rollout, or a step of it, from now on.
struct RolloutApplied {
  static constexpr const char* kMessage = "service rollout applied";
  fleet::ServiceRollout rollout;
  std::vector<LogField> fields() const {
    return {{"service", rollout.service},
            {"id", rollout.id},
            {"step", rollout.step},
            {"target_version", rollout.target_version},
            {"phase", to_text(rollout.phase)},
            {"share", rollout.share}};
  }
};

}  // namespace stoat::events
