/// A router as a process: the router, the address at which it tells whether it is ready, and its metrics.
#pragma once

#include "src/gateway/gateway_server.h"

namespace stoat::gateway {

/// Settings of the process.
struct RouterProgramSettings {
  GatewaySettings gateway;
  Endpoint ready;
  Endpoint metrics;
};

/// Reads the settings of the process.
RouterProgramSettings read_router_program_settings(SettingsReader& reader);

/// The names that a router uses towards callers, back ends and whoever asks whether it is ready.
struct RouterInterface {
  dispatch::HeaderNames headers;
  std::string ready_path = "/readyz";
};

/// See the head of this file.
class RouterProgram {
 public:
  RouterProgram(EventLoop& loop, const RouterProgramSettings& settings,
                const RouterInterface& interface = {});
  /// Takes the settings that may change while the process runs.
  void reload(const RouterProgramSettings& settings) { router_.set_seeds(settings.gateway.link.seeds); }

 private:
  GatewayServer router_;
  http::Server ready_;
  http::Server metrics_;
};

}  // namespace stoat::gateway
