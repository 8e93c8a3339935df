/// Which router is home to which engine: rendezvous hashing with a bound, so that no router follows many more
/// engines than another.
#pragma once

#include <map>
#include <string>
#include <vector>

namespace stoat::router {

/// Each engine's home. Every router that knows the same two lists gets the same answer. Each router gets at
/// most the average number of engines, rounded up. Empty when there are no routers.
std::map<std::string, std::string> assign_engine_homes(const std::vector<std::string>& engines,
                                                       const std::vector<std::string>& routers);

}  // namespace stoat::router
