#include "src/control/caller_assignment.h"

#include <algorithm>
#include <vector>

#include "src/common/hash.h"

namespace stoat::control {

namespace {

using RouterNames = std::vector<std::string>;

/// One zone of the region.
struct ZoneShare {
  std::string zone;
  RouterNames spares;   ///< routers of the zone that are not assigned yet
  size_t own = 0;       ///< routers that lie in it
  size_t quota = 0;     ///< how many its callers are told
  size_t assigned = 0;  ///< how many of them are found
};

std::vector<ZoneShare> share_by_zone(const std::map<std::string, std::string>& zones) {
  std::map<std::string, RouterNames> routers;
  for (const auto& [router, zone] : zones) {
    routers[zone].push_back(router);
  }
  std::vector<ZoneShare> shares;
  for (auto& [zone, names] : routers) {
    // Rendezvous order: a router that comes or goes moves no other.
    std::sort(names.begin(), names.end(), [](const std::string& left, const std::string& right) {
      return hash_bytes(left) < hash_bytes(right);
    });
    const size_t own = names.size();
    shares.push_back({zone, std::move(names), own, 0, 0});
  }
  // What can't be divided goes to the zones with the most routers.
  std::stable_sort(shares.begin(), shares.end(),
                   [](const ZoneShare& left, const ZoneShare& right) { return left.own > right.own; });
  for (size_t position = 0; position < shares.size(); ++position) {
    shares[position].quota = zones.size() / shares.size() + (position < zones.size() % shares.size() ? 1 : 0);
  }
  return shares;
}

/// How many routers of its own zone a zone's callers are told at most.
size_t most_own(const ZoneShare& share, size_t zone_count) {
  if (zone_count == 1) {
    return share.quota;
  }
  const size_t reserve = std::max(kReserveRouters, share.quota / kRoutersPerReserve);
  return share.quota - std::min(share.quota, reserve);
}

/// The zone that has the most routers left, other zones than `taker` first; nullptr when none has any.
ZoneShare* richest_for(const ZoneShare& taker, std::vector<ZoneShare>& shares) {
  ZoneShare* best = nullptr;
  const auto rank = [&](const ZoneShare& share) {
    return std::make_pair(share.zone != taker.zone, share.spares.size());
  };
  for (ZoneShare& share : shares) {
    if (!share.spares.empty() && (best == nullptr || rank(share) > rank(*best))) {
      best = &share;
    }
  }
  return best;
}

/// The zone that is to take the next spare router; nullptr when all have theirs. First the one with the most
/// to take and to give: else it would be left with its own in the end.
ZoneShare* next_taker(std::vector<ZoneShare>& shares) {
  ZoneShare* best = nullptr;
  const auto open = [](const ZoneShare& share) { return share.quota - share.assigned + share.spares.size(); };
  for (ZoneShare& share : shares) {
    if (share.assigned < share.quota && (best == nullptr || open(share) > open(*best))) {
      best = &share;
    }
  }
  return best;
}

}  // namespace

std::map<std::string, std::string> assign_to_callers(const std::map<std::string, std::string>& zones) {
  std::map<std::string, std::string> assigned;
  std::vector<ZoneShare> shares = share_by_zone(zones);
  const auto take = [&](ZoneShare& taker, ZoneShare& giver) {
    assigned[giver.spares.back()] = taker.zone;
    giver.spares.pop_back();
    ++taker.assigned;
  };
  for (ZoneShare& share : shares) {
    const size_t most = most_own(share, shares.size());
    while (share.assigned < most && !share.spares.empty()) {
      take(share, share);
    }
  }
  while (ZoneShare* taker = next_taker(shares)) {
    take(*taker, *richest_for(*taker, shares));
  }
  return assigned;
}

}  // namespace stoat::control
