/// Zones are named "region/zone".
#pragma once

#include <string>

namespace stoat {

/// The region of a zone: what stands before the slash.
inline std::string region_of(const std::string& zone) { return zone.substr(0, zone.find('/')); }

}  // namespace stoat
