/// Topology of a deployment: which zone belongs to which region, and the distance between two zones. All zone
/// comparisons go through this module.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "src/common/settings.h"

namespace stoat::topology {

/// Distance between two zones, nearest first.
enum class Distance : uint8_t {
  kSameZone,
  kSameRegion,   ///< different zones of the same region
  kOtherRegion,  ///< zones of different regions
};

/// The name of a distance in logs and metrics: "zone" (same zone), "region" (same region, different zone) or
/// "regions" (different regions).
const char* to_text(Distance distance);

/// A zone and its region as 64-bit hashes, which are cheap to compare.
struct Location {
  uint64_t zone = 0;
  uint64_t region = 0;
  bool operator==(const Location&) const = default;
};

/// The distance between two locations.
Distance distance(const Location& place, const Location& other);

/// Maps zones to regions. All unknown zones belong to one unnamed region.
class Topology {
 public:
  /// Without any known zone: all zones are in one region.
  Topology() = default;
  /// `regions`: the region of each zone.
  explicit Topology(std::map<std::string, std::string> regions) : regions_(std::move(regions)) {}

  /// The region of a zone; empty when the zone is unknown.
  std::string region_of(const std::string& zone) const;
  Distance distance(const std::string& zone, const std::string& other) const;
  Location location_of(const std::string& zone) const;
  /// The known zones of a region, by name.
  std::vector<std::string> zones_of(const std::string& region) const;
  /// True when the deployment spans several regions.
  bool has_regions() const;

 private:
  std::map<std::string, std::string> regions_;  ///< by zone
};

/// Reads the setting "zones", a list of "region/zone" entries. Adds a finding for each malformed or duplicate
/// entry.
Topology read_topology(SettingsReader& settings);

}  // namespace stoat::topology
