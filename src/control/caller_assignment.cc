#include "src/control/caller_assignment.h"

#include <algorithm>
#include <vector>

#include "src/common/hash.h"

namespace stoat::control {

namespace {

using RouterNames = std::vector<std::string>;

/// A zone of the region, and the assignment of routers to its callers.
struct ZoneQuota {
  std::string zone;
  RouterNames unassigned;     ///< routers in this zone that are not assigned yet
  size_t own_count = 0;       ///< routers in this zone
  size_t quota = 0;           ///< routers to be assigned to its callers
  size_t assigned_count = 0;  ///< routers assigned to its callers so far
};

std::vector<ZoneQuota> make_quotas(const std::map<std::string, std::string>& zones) {
  std::map<std::string, RouterNames> routers;
  for (const auto& [router, zone] : zones) {
    routers[zone].push_back(router);
  }
  std::vector<ZoneQuota> entries;
  for (auto& [zone, names] : routers) {
    // Ordered by hash, so that adding or removing a router does not move the others.
    std::sort(names.begin(), names.end(), [](const std::string& left, const std::string& right) {
      return hash_bytes(left) < hash_bytes(right);
    });
    const size_t own_count = names.size();
    entries.push_back({zone, std::move(names), own_count, 0, 0});
  }
  // The remainder of the division goes to the zones with the most routers.
  std::stable_sort(entries.begin(), entries.end(), [](const ZoneQuota& left, const ZoneQuota& right) {
    return left.own_count > right.own_count;
  });
  for (size_t position = 0; position < entries.size(); ++position) {
    entries[position].quota =
        zones.size() / entries.size() + (position < zones.size() % entries.size() ? 1 : 0);
  }
  return entries;
}

/// Maximum number of a zone's own routers that are assigned to its callers.
size_t max_own_zone_routers(const ZoneQuota& entry, size_t zone_count) {
  if (zone_count == 1) {
    return entry.quota;
  }
  const size_t reserve = std::max(kMinReserveRouters, entry.quota / kRoutersPerReserveRouter);
  return entry.quota - std::min(entry.quota, reserve);
}

/// The zone with the most unassigned routers, with other zones than `recipient` first; nullptr when no router
/// is unassigned.
ZoneQuota* select_donor(const ZoneQuota& recipient, std::vector<ZoneQuota>& entries) {
  ZoneQuota* best = nullptr;
  const auto rank = [&](const ZoneQuota& entry) {
    return std::make_pair(entry.zone != recipient.zone, entry.unassigned.size());
  };
  for (ZoneQuota& entry : entries) {
    if (!entry.unassigned.empty() && (best == nullptr || rank(entry) > rank(*best))) {
      best = &entry;
    }
  }
  return best;
}

/// The zone that gets the next unassigned router; nullptr when all quotas are filled. Picks the zone with the
/// most routers still to receive and to give away, because a zone picked last would be left with only its own
/// routers.
ZoneQuota* select_recipient(std::vector<ZoneQuota>& entries) {
  ZoneQuota* best = nullptr;
  const auto unsettled = [](const ZoneQuota& entry) {
    return entry.quota - entry.assigned_count + entry.unassigned.size();
  };
  for (ZoneQuota& entry : entries) {
    if (entry.assigned_count < entry.quota && (best == nullptr || unsettled(entry) > unsettled(*best))) {
      best = &entry;
    }
  }
  return best;
}

}  // namespace

std::map<std::string, std::string> assign_routers_to_zones(const std::map<std::string, std::string>& zones) {
  std::map<std::string, std::string> assigned;
  std::vector<ZoneQuota> entries = make_quotas(zones);
  const auto assign = [&](ZoneQuota& recipient, ZoneQuota& donor) {
    assigned[donor.unassigned.back()] = recipient.zone;
    donor.unassigned.pop_back();
    ++recipient.assigned_count;
  };
  for (ZoneQuota& entry : entries) {
    const size_t own_limit = max_own_zone_routers(entry, entries.size());
    while (entry.assigned_count < own_limit && !entry.unassigned.empty()) {
      assign(entry, entry);
    }
  }
  while (ZoneQuota* recipient = select_recipient(entries)) {
    assign(*recipient, *select_donor(*recipient, entries));
  }
  return assigned;
}

}  // namespace stoat::control
