/// Which routers the callers of a zone are told: each router of a region belongs to the callers of one zone,
/// so that callers mostly stay in their zone and all routers get about the same number of them. Free of I/O.
#pragma once

#include <map>
#include <string>

namespace stoat::control {

/// Of the routers told to a zone's callers, at least so many lie in other zones: their zone may be lost as a
/// whole, and until they ask again they know no others.
inline constexpr size_t kReserveRouters = 2;
/// In large fleets the reserve is one of so many: it takes all the zone's callers when the zone is lost.
inline constexpr size_t kRoutersPerReserve = 8;

/// The zone whose callers each router of one region is told to, by router. `zones`: the zone of each router.
/// Callers are taken to be as many in each zone. All that know the same routers come to the same result, and
/// a router more or less changes the zone of few others.
std::map<std::string, std::string> assign_to_callers(const std::map<std::string, std::string>& zones);

}  // namespace stoat::control
