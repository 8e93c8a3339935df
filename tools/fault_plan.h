/// Faults of processes, drawn from a seed: kills, pauses and planned stops, each ended after a while.
#pragma once

#include <string>
#include <vector>

#include "src/common/random.h"
#include "src/common/time.h"

namespace stoat::tools {

/// What is done to a process.
enum class FaultKind : uint8_t {
  kKill,   ///< SIGKILL, and started again
  kPause,  ///< SIGSTOP, and SIGCONT
  kStop,   ///< SIGTERM, and started again
};

const char* to_text(FaultKind kind);

/// One fault.
struct PlannedFault {
  TimePoint at{0};  ///< since the start
  FaultKind kind = FaultKind::kKill;
  std::string process;
  Duration length{0};  ///< until it is ended
};

/// The processes that faults may hit.
struct FaultTargets {
  std::vector<std::string> members;  ///< of the log: never more than one of them is hit at a time
  std::vector<std::string> others;   ///< routers and back ends: each is hit once at a time
};

/// The faults of a run, in the order of time; all have ended by `duration`. The same arguments give the same
/// plan.
std::vector<PlannedFault> plan_faults(const FaultTargets& targets, Duration duration, uint64_t seed);

}  // namespace stoat::tools
