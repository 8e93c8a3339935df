/// Replaces the processes of a loopback fleet one after the other by those of another build, while
/// configurations arrive and clients check at each router which of them is in force.
#pragma once

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "tools/loopback_fleet.h"

namespace stoat::tools {

/// One replacement: the process is stopped by SIGTERM and started from `bin_folder`.
struct Replacement {
  std::string process;
  std::string bin_folder;
};

/// What an upgrade run does and when.
struct UpgradePlan {
  std::vector<Replacement> replacements;
  Duration replacement_interval = 1500ms;
  Duration down_time = 900ms;                ///< from SIGTERM to the start of the successor
  Duration configuration_interval = 2500ms;  ///< 0: none arrives during the run
  Duration time_after = 6s;                  ///< the run goes on for this long after the last replacement
};

/// What clients and the operator saw.
struct UpgradeResult {
  uint64_t acknowledged_version = 0;    ///< the newest
  std::vector<std::string> violations;  ///< a line for each probe that an older configuration answered
  size_t probes = 0;                    ///< at routers that had run for a while
  size_t version_checks = 0;            ///< probes that an older configuration would have answered otherwise
  size_t served = 0;                    ///< probes of a route that all configurations have
  bool has_newest_configuration = false;  ///< the configuration read back at the end is the newest
};

/// Each configuration adds a route and drops the one that the configuration before had added. A router that
/// refuses the new route or serves the dropped one later than `kConfigurationLimit` after the acknowledgement
/// violates its version.
inline constexpr Duration kConfigurationLimit = 2s;

UpgradeResult run_upgrade(ProcessFleet& processes, LoopbackFleet& fleet, const UpgradePlan& plan);

}  // namespace stoat::tools
