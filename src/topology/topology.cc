#include "src/topology/topology.h"

#include <algorithm>

namespace stoat::topology {

const char* to_text(Distance distance) {
  switch (distance) {
    case Distance::kSameZone:
      return "same zone";
    case Distance::kSameRegion:
      return "same region";
    case Distance::kOtherRegion:
      return "other region";
  }
  return "unknown";
}

std::string Topology::region_of(const std::string& zone) const {
  const auto found = regions_.find(zone);
  return found == regions_.end() ? "" : found->second;
}

Distance Topology::distance(const std::string& zone, const std::string& other) const {
  if (zone == other) {
    return Distance::kSameZone;
  }
  return region_of(zone) == region_of(other) ? Distance::kSameRegion : Distance::kOtherRegion;
}

std::vector<std::string> Topology::zones_of(const std::string& region) const {
  std::vector<std::string> zones;
  for (const auto& [zone, its_region] : regions_) {
    if (its_region == region) {
      zones.push_back(zone);
    }
  }
  return zones;
}

bool Topology::has_regions() const {
  return std::any_of(regions_.begin(), regions_.end(),
                     [&](const auto& entry) { return entry.second != regions_.begin()->second; });
}

Topology read_topology(SettingsReader& settings) {
  constexpr char kKey[] = "zones";
  std::map<std::string, std::string> regions;
  for (const std::string& entry : settings.text_list(kKey)) {
    const size_t slash = entry.find('/');
    if (slash == std::string::npos || slash == 0 || slash + 1 == entry.size()) {
      settings.add_finding(kKey, "\"" + entry + "\" must have the form region/zone");
      continue;
    }
    const std::string zone = entry.substr(slash + 1);
    if (!regions.emplace(zone, entry.substr(0, slash)).second) {
      settings.add_finding(kKey, "zone \"" + zone + "\" stands twice");
    }
  }
  return Topology(std::move(regions));
}

}  // namespace stoat::topology
