/// Plans process faults from a seed: kills, pauses and graceful stops, each of limited duration.
#pragma once

#include <string>
#include <vector>

#include "src/common/random.h"
#include "src/common/time.h"

namespace stoat::tools {

/// A kind of process fault.
enum class FaultKind : uint8_t {
  kKill,   ///< SIGKILL, then restart
  kPause,  ///< SIGSTOP, then SIGCONT
  kStop,   ///< SIGTERM, then restart
};

const char* to_text(FaultKind kind);

/// One planned fault.
struct PlannedFault {
  TimePoint at{0};  ///< since the start of the run
  FaultKind kind = FaultKind::kKill;
  std::string process;
  Duration length{0};  ///< from the fault until the process is restarted or continued
};

/// The names of the processes that may be hit by faults.
struct FaultTargets {
  std::vector<std::string> control_members;  ///< at most one of them is down at a time
  std::vector<std::string> other_processes;  ///< routers and backends; faults of one process never overlap
};

/// Returns the faults of a run in order of time. All end by `duration`. The same arguments always give the
/// same plan.
std::vector<PlannedFault> plan_faults(const FaultTargets& targets, Duration duration, uint64_t seed);

}  // namespace stoat::tools
