/// The router process: the router, its readiness endpoint, and its metrics endpoint.
#pragma once

#include "src/gateway/gateway_server.h"

namespace stoat::gateway {

/// Settings of the router process.
struct RouterProgramSettings {
  GatewaySettings gateway;
  Endpoint ready;
  Endpoint metrics;
};

/// Reads the settings of the process.
RouterProgramSettings read_router_program_settings(SettingsReader& reader);

/// The names a router uses towards clients, backends and readiness checks.
struct RouterInterface {
  dispatch::HeaderNames headers;
  std::string ready_path = "/readyz";
};

/// Runs a router with its readiness and metrics endpoints.
class RouterProgram {
 public:
  RouterProgram(EventLoop& loop, const RouterProgramSettings& settings,
                const RouterInterface& interface = {});
  /// Applies the settings that may change while the process runs.
  void reload(const RouterProgramSettings& settings) { router_.set_seeds(settings.gateway.link.seeds); }

 private:
  GatewayServer router_;
  http::Server ready_;
  http::Server metrics_;
};

}  // namespace stoat::gateway
