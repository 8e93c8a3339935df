/// The process of a control member: the member itself, its listeners and its metrics.
#pragma once

#include "src/control/engine_client.h"
#include "src/control/fleet_admin_api.h"

namespace stoat::control {

/// Settings of the process.
struct ControlProgramSettings {
  FleetControlSettings fleet;
  Endpoint control;    ///< for operators and backends
  Endpoint directory;  ///< for callers that look up routers
  Endpoint metrics;
  double directory_lifetime_s = 2;  ///< how long callers may cache an answer of the directory
};

/// Reads the settings of the process. Invalid values become findings of `reader`.
ControlProgramSettings read_control_program_settings(SettingsReader& reader);

/// Runs a control member and its listeners.
class ControlProgram {
 public:
  ControlProgram(EventLoop& loop, const ControlProgramSettings& settings,
                 const FleetHttpInterface& interface = {});
  /// Applies the settings that may change while the process runs.
  void reload(const ControlProgramSettings& settings) { fleet_.set_seeds(settings.fleet.seeds); }

 private:
  // Destroyed last, since calls in progress at fleet_ are answered when they are destroyed.
  http::Server control_;
  http::Server directory_;
  http::Server metrics_;
  EngineClient engines_;
  FleetServer fleet_;
  FleetAdminApi api_;
};

}  // namespace stoat::control
