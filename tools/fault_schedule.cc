#include "tools/fault_schedule.h"

#include <algorithm>
#include <map>

#include "src/common/random.h"

namespace stoat::tools {

namespace {

constexpr Duration kShortestFault = 200ms;
constexpr Duration kLongestFault = 3500ms;
constexpr Duration kShortestGap = 150ms;
constexpr Duration kLongestGap = 1500ms;
/// Time at the end for the last faults to heal.
constexpr Duration kQuietEnd = 500ms;
/// The name under which faults of the whole fleet exclude one another.
constexpr char kWholeFleet[] = "fleet";

class Planner {
 public:
  Planner(uint64_t seed, const FaultTargets& targets, Duration duration)
      : random_(seed), targets_(targets), end_(duration - kQuietEnd) {}

  std::vector<PlannedFault> plan() {
    for (Duration at = gap(); at + kShortestFault < end_; at += gap()) {
      PlannedFault fault = draw(at);
      if (is_free(fault)) {
        busy_until_[busy_name(fault)] = fault.at + fault.lasts;
        faults_.push_back(std::move(fault));
      }
    }
    return faults_;
  }

 private:
  Duration gap() { return Duration(random_.between(kShortestGap.count(), kLongestGap.count())); }

  const std::string& any_of(const std::vector<std::string>& names) {
    return names[random_.below(names.size())];
  }

  /// Sidecars are left alone more often: a caller of a lost sidecar can't be served by anyone.
  const std::string& any_process() {
    const double draw = random_.unit();
    if (draw < 0.3) {
      return any_of(targets_.controls);
    }
    if (draw < 0.6) {
      return any_of(targets_.routers);
    }
    return draw < 0.95 ? any_of(targets_.engines) : any_of(targets_.sidecars);
  }

  const std::string& any_linked() {
    const double draw = random_.unit();
    if (draw < 0.5) {
      return any_of(targets_.controls);
    }
    return draw < 0.75 ? any_of(targets_.routers) : any_of(targets_.engines);
  }

  PlannedFault draw(Duration at) {
    PlannedFault fault;
    fault.at = at;
    fault.lasts =
        std::min(Duration(random_.between(kShortestFault.count(), kLongestFault.count())), end_ - at);
    const double draw = random_.unit();
    if (draw < 0.3) {
      fault.kind = FaultKind::kKill;
      fault.target = any_process();
    } else if (draw < 0.5) {
      fault.kind = FaultKind::kFreeze;
      fault.target = any_process();
    } else if (draw < 0.6) {
      fault.kind = FaultKind::kStop;
      fault.target = any_process();
    } else if (draw < 0.85) {
      fault.kind = FaultKind::kCutLink;
      fault.target = any_linked();
      constexpr LinkCut kCuts[] = {LinkCut::kToTarget, LinkCut::kFromTarget, LinkCut::kBoth};
      fault.cut = kCuts[random_.below(std::size(kCuts))];
    } else if (draw < 0.9) {
      fault.kind = FaultKind::kHerdRestart;
    } else if (draw < 0.95) {
      fault.kind = FaultKind::kWipeDisk;
      fault.target = any_of(targets_.controls);
    } else {
      fault.kind = FaultKind::kNewWeights;
    }
    return fault;
  }

  static std::string busy_name(const PlannedFault& fault) {
    return fault.target.empty() ? kWholeFleet : fault.target;
  }

  bool is_free(const PlannedFault& fault) {
    const bool wipes = fault.kind == FaultKind::kWipeDisk;
    const bool hits_wiped = !wiped_.empty() && fault.target == wiped_;
    if (hits_wiped || (wipes && !wiped_.empty())) {
      return false;
    }
    const auto busy = [&](const std::string& name) {
      const auto until = busy_until_.find(name);
      return until != busy_until_.end() && fault.at < until->second + kShortestGap;
    };
    if (busy(busy_name(fault))) {
      return false;
    }
    if (fault.kind == FaultKind::kHerdRestart) {
      if (std::any_of(targets_.routers.begin(), targets_.routers.end(), busy)) {
        return false;
      }
      for (const std::string& router : targets_.routers) {
        busy_until_[router] = fault.at + fault.lasts;
      }
    }
    wiped_ = wipes ? fault.target : wiped_;
    return true;
  }

  Random random_;
  FaultTargets targets_;
  Duration end_;
  std::map<std::string, Duration> busy_until_;
  std::string wiped_;  ///< the member that lost its disk; empty: none
  std::vector<PlannedFault> faults_;
};

}  // namespace

const char* fault_kind_name(FaultKind kind) {
  switch (kind) {
    case FaultKind::kKill:
      return "kill";
    case FaultKind::kFreeze:
      return "freeze";
    case FaultKind::kStop:
      return "stop";
    case FaultKind::kCutLink:
      return "cut_link";
    case FaultKind::kHerdRestart:
      return "herd_restart";
    case FaultKind::kWipeDisk:
      return "wipe_disk";
    case FaultKind::kNewWeights:
      return "new_weights";
  }
  return "unknown";
}

std::vector<PlannedFault> plan_faults(uint64_t seed, const FaultTargets& targets, Duration duration) {
  return Planner(seed, targets, duration).plan();
}

}  // namespace stoat::tools
