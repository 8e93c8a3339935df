#include "tools/fault_plan.h"

#include <algorithm>
#include <map>

namespace stoat::tools {

namespace {

constexpr double kMeanFaultIntervalS = 1.2;
constexpr int64_t kMinFaultMs = 200;
constexpr int64_t kMaxFaultMs = 3000;
constexpr double kControlMemberShare = 0.3;

}  // namespace

const char* to_text(FaultKind kind) {
  switch (kind) {
    case FaultKind::kKill:
      return "kill";
    case FaultKind::kPause:
      return "pause";
    case FaultKind::kStop:
      return "stop";
  }
  return "unknown";
}

std::vector<PlannedFault> plan_faults(const FaultTargets& targets, Duration duration, uint64_t seed) {
  constexpr int64_t kUsPerMs = 1000;
  Random random(seed);
  std::vector<PlannedFault> plan;
  std::map<std::string, TimePoint> blocked_until;  ///< by process; all control members share the entry ""
  double at_s = random.exponential(kMeanFaultIntervalS);
  for (; from_seconds(at_s) < duration; at_s += random.exponential(kMeanFaultIntervalS)) {
    const bool is_control_member = random.chance(kControlMemberShare);
    const std::vector<std::string>& names =
        is_control_member ? targets.control_members : targets.other_processes;
    PlannedFault fault;
    fault.at = from_seconds(at_s);
    fault.kind = static_cast<FaultKind>(random.below(3));
    fault.process = names[random.below(names.size())];
    fault.length = Duration(kUsPerMs * random.between(kMinFaultMs, kMaxFaultMs));
    TimePoint& blocked = blocked_until[is_control_member ? "" : fault.process];
    if (fault.at < blocked || fault.at + fault.length > duration) {
      continue;
    }
    // Leaves a restarted process time to catch up before its group is hit again.
    blocked = fault.at + fault.length + Duration(kUsPerMs * kMaxFaultMs);
    plan.push_back(std::move(fault));
  }
  return plan;
}

}  // namespace stoat::tools
