#include "tools/fault_plan.h"

#include <algorithm>
#include <map>

namespace stoat::tools {

namespace {

constexpr double kMeanSecondsBetween = 1.2;
constexpr int64_t kLeastMs = 200;
constexpr int64_t kMostMs = 3000;
constexpr double kMemberShare = 0.3;

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
  std::map<std::string, TimePoint> busy_until;  ///< the members of the log share one entry
  double at_s = random.exponential(kMeanSecondsBetween);
  for (; from_seconds(at_s) < duration; at_s += random.exponential(kMeanSecondsBetween)) {
    const bool member = random.chance(kMemberShare);
    const std::vector<std::string>& names = member ? targets.members : targets.others;
    PlannedFault fault;
    fault.at = from_seconds(at_s);
    fault.kind = static_cast<FaultKind>(random.below(3));
    fault.process = names[random.below(names.size())];
    fault.length = Duration(kUsPerMs * random.between(kLeastMs, kMostMs));
    TimePoint& busy = busy_until[member ? "" : fault.process];
    if (fault.at < busy || fault.at + fault.length > duration) {
      continue;
    }
    // A member that has come back needs a moment to catch up.
    busy = fault.at + fault.length + Duration(kUsPerMs * kMostMs);
    plan.push_back(std::move(fault));
  }
  return plan;
}

}  // namespace stoat::tools
