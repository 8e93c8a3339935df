/// Where the places of a deployment lie: which zone belongs to which region, and how far two zones are apart.
/// The one module that compares zones; the others ask it.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "src/common/settings.h"

namespace stoat::topology {

/// How far two zones are apart, nearest first.
enum class Distance : uint8_t {
  kSameZone,
  kSameRegion,   ///< another zone of one region
  kOtherRegion,  ///< the way between two regions
};

/// The name of a distance in logs and metrics: "zone", "region" (another zone of it), "regions" (between
/// two).
const char* to_text(Distance distance);

/// A zone and its region as numbers that are quick to compare.
struct Location {
  uint64_t zone = 0;
  uint64_t region = 0;
  bool operator==(const Location&) const = default;
};

/// How far two places are apart.
Distance distance(const Location& place, const Location& other);

/// See the head of this file. Zones that it does not know belong to one unnamed region.
class Topology {
 public:
  /// Knows no zone: all places lie in one region.
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

/// Reads the list "zones" of "region/zone" entries; malformed or repeated ones become findings.
Topology read_topology(SettingsReader& settings);

}  // namespace stoat::topology
