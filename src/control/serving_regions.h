/// Which regions serve a model or plain service.
#pragma once

#include <map>
#include <set>
#include <string>

#include "src/common/zone.h"
#include "src/control/configuration.h"

namespace stoat::control {

/// The regions of the back ends that are not draining, by model or service. Made anew for each configuration.
class ServingRegions {
 public:
  ServingRegions() = default;
  explicit ServingRegions(const Configuration& configuration) {
    for (const auto& [name, backend] : configuration.backends) {
      if (!backend.draining && backend.kind != BackendKind::kKvStore) {
        regions_[backend.serves].insert(region_of(backend.zone));
      }
    }
  }

  /// Empty when nothing serves it.
  const std::set<std::string>& of(const std::string& serves) const {
    static const std::set<std::string> none;
    const auto found = regions_.find(serves);
    return found == regions_.end() ? none : found->second;
  }

 private:
  std::map<std::string, std::set<std::string>> regions_;
};

}  // namespace stoat::control
