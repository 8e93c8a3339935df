/// Faults of real processes drawn from a seed: one process has one fault at a time, different processes have
/// theirs together as it falls out.
#pragma once

#include <string>
#include <vector>

#include "src/common/time.h"
#include "tools/link_proxy.h"

namespace stoat::tools {

/// What happens to a process, or to the link that others reach it by.
enum class FaultKind : uint8_t {
  kKill,         ///< SIGKILL, started again when the fault ends; an engine comes back empty
  kFreeze,       ///< SIGSTOP, SIGCONT when it ends
  kStop,         ///< SIGTERM, started again when it ends
  kCutLink,      ///< its link passes nothing in one direction or both
  kHerdRestart,  ///< every router is killed, and started again when it ends
  kWipeDisk,     ///< a control member loses its disk and is replaced
  kNewWeights,   ///< engines are ordered to load another version, then the model's version changes
};

const char* fault_kind_name(FaultKind kind);

/// One fault of a schedule.
struct PlannedFault {
  FaultKind kind = FaultKind::kKill;
  std::string target;  ///< process; empty for faults of the whole fleet
  Duration at{0};      ///< since the start of the run
  Duration lasts{0};
  LinkCut cut = LinkCut::kNone;
};

/// The processes that a schedule may hit.
struct FaultTargets {
  std::vector<std::string> controls;
  std::vector<std::string> routers;
  std::vector<std::string> sidecars;
  std::vector<std::string> engines;
};

/// The schedule of a seed, in the order of time. All faults end before `duration`. Among them at most one
/// kWipeDisk, whose member no other fault hits later.
std::vector<PlannedFault> plan_faults(uint64_t seed, const FaultTargets& targets, Duration duration);

}  // namespace stoat::tools
