/// Configurations with a given number of routes.
#pragma once

#include <string>

#include "src/fleet/fleet_configuration.h"

namespace stoat::test {

/// Length of a part of each path; with it a route takes about 200 bytes on the wire.
inline constexpr size_t kPathBytes = 130;

inline fleet::Route make_route(uint64_t number) {
  fleet::Route route;
  route.name = "route-" + std::to_string(number);
  route.host = route.name + ".example";
  route.path_prefix = "/" + route.name + "/" + std::string(kPathBytes, 'p') + "/";
  route.timeout_ms = 1000;
  route.shares = {{"calls", 1}};
  return route;
}

inline fleet::FleetConfiguration make_configuration(uint64_t version, uint64_t routes) {
  fleet::FleetConfiguration configuration;
  configuration.version = version;
  configuration.services.resize(1);
  configuration.services[0].name = "calls";
  for (uint64_t number = 0; number < routes; ++number) {
    configuration.routes.push_back(make_route(number));
  }
  return configuration;
}

}  // namespace stoat::test
