/// Assigns each router of a region to the callers of one zone, so that callers mostly stay in their zone and
/// each router gets about the same number of callers. Performs no I/O.
#pragma once

#include <map>
#include <string>

namespace stoat::control {

/// Minimum number of routers of other zones that are assigned to a zone's callers. If the whole zone fails,
/// these are the only routers its callers know until they query the directory again.
inline constexpr size_t kMinReserveRouters = 2;
/// In large fleets, one in this many of a zone's assigned routers lies in another zone: these routers take
/// all callers of the zone when it fails.
inline constexpr size_t kRoutersPerReserveRouter = 8;

/// Returns, by router, the zone whose callers the router is assigned to. `zones`: the zone in which each
/// router of the region lies. Each zone is assumed to have the same number of callers. The result depends on
/// `zones` alone, and adding or removing a router changes the assignment of few others.
std::map<std::string, std::string> assign_routers_to_zones(const std::map<std::string, std::string>& zones);

}  // namespace stoat::control
