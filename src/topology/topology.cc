#include "src/topology/topology.h"

#include <algorithm>

#include "src/common/hash.h"

namespace stoat::topology {

const char* to_text(Distance distance) {
  switch (distance) {
    case Distance::kSameZone:
      return "zone";
    case Distance::kSameRegion:
      return "region";
    case Distance::kOtherRegion:
      return "regions";
  }
  return "unknown";
}

Distance distance(const Location& place, const Location& other) {
  if (place == other) {
    return Distance::kSameZone;
  }
  return place.region == other.region ? Distance::kSameRegion : Distance::kOtherRegion;
}

std::string Topology::region_of(const std::string& zone) const {
  const auto found = regions_.find(zone);
  return found == regions_.end() ? "" : found->second;
}

Distance Topology::distance(const std::string& zone, const std::string& other) const {
  return topology::distance(location_of(zone), location_of(other));
}

Location Topology::location_of(const std::string& zone) const {
  return {hash_bytes(zone), hash_bytes(region_of(zone))};
}

std::vector<std::string> Topology::zones_of(const std::string& region) const {
  std::vector<std::string> zones;
  for (const auto& [zone, zone_region] : regions_) {
    if (zone_region == region) {
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
      settings.add_finding(kKey, "zone \"" + zone + "\" is listed more than once");
    }
  }
  return Topology(std::move(regions));
}

}  // namespace stoat::topology
