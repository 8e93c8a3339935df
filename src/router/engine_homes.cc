#include "src/router/engine_homes.h"

#include <algorithm>

#include "src/common/hash.h"

namespace stoat::router {

std::map<std::string, std::string> assign_engine_homes(const std::vector<std::string>& engines,
                                                       const std::vector<std::string>& routers) {
  std::map<std::string, std::string> homes;
  if (routers.empty()) {
    return homes;
  }
  std::vector<std::string> in_order = engines;
  std::sort(in_order.begin(), in_order.end());
  const size_t bound = (engines.size() + routers.size() - 1) / routers.size();
  std::map<std::string, size_t> taken;
  for (const std::string& engine : in_order) {
    for (const std::string& router : rendezvous_order(hash_bytes(engine), routers)) {
      if (taken[router] < bound) {
        ++taken[router];
        homes[engine] = router;
        break;
      }
    }
  }
  return homes;
}

}  // namespace stoat::router
