#include "src/control/router_directory.h"

#include <algorithm>

#include "src/common/hash.h"
#include "src/control/caller_assignment.h"

namespace stoat::control {

namespace {

/// A router tells each member of itself at least every 1.2 s (gateway::ControlLinkOptions); two may be lost.
constexpr Duration kStatusLease = 2500ms;
/// Members exchange news at least every 200 ms.
constexpr Duration kMemberLease = 1s;
/// A member that is silent for so long may be cut off: what its routers tell it does not come.
constexpr Duration kMemberOverdue = 600ms;
/// After so long a silent router is dropped.
constexpr Duration kForgetAfter = 10s;
/// A router that restarts within so long finds its callers again: the assignment of the others stays too.
constexpr Duration kSeatTime = 20s;
/// With fewer routers a zone, callers are told all of the region: the loss of one would be felt.
constexpr size_t kFewestAssigned = 8;
/// With a smaller part of the assigned routers ready, callers are told all of the region.
constexpr double kReadyShare = 0.5;
/// Zones of callers for which the assignment of routers is kept.
constexpr size_t kMaxAssignments = 64;

}  // namespace

bool RouterDirectory::on_status(const fleet::RouterRecord& router, TimePoint now) {
  Known& known = routers_[router.name];
  known.heard = now;
  const bool changed = known.router != router;
  known.router = router;
  note_seat(router, now);
  return changed;
}

void RouterDirectory::on_notice(const std::string& member, const fleet::RouterPresence& notice,
                                TimePoint now) {
  const auto found = routers_.find(notice.router.name);
  if (notice.present) {
    Known& known = routers_[notice.router.name];
    known.router = notice.router;
    known.member = member;
    members_heard_[member] = now;
    note_seat(notice.router, now);
  } else if (found != routers_.end() && found->second.member == member) {
    routers_.erase(found);
  }
}

void RouterDirectory::forget(const std::string& router) { routers_.erase(router); }

bool RouterDirectory::live(const Known& known, TimePoint now) const {
  if (known.heard > TimePoint(0) && now - known.heard < kStatusLease) {
    return true;
  }
  const auto member = members_heard_.find(known.member);
  return member != members_heard_.end() && now - member->second < kMemberLease;
}

void RouterDirectory::note_seat(const fleet::RouterRecord& router, TimePoint now) {
  if (!router.ready) {
    return;
  }
  Seat& seat = seats_[router.name];
  if (seat.zone != router.zone || seat.ready_at == TimePoint(0)) {
    ++seats_revision_;
  }
  seat = {router.zone, now};
}

void RouterDirectory::expire(TimePoint now) {
  for (const auto& [name, known] : routers_) {
    if (known.router.ready && live(known, now)) {
      note_seat(known.router, now);
    }
  }
  seats_revision_ +=
      std::erase_if(seats_, [&](const auto& entry) { return now - entry.second.ready_at > kSeatTime; });
  std::erase_if(routers_, [&](const auto& entry) {
    const auto member = members_heard_.find(entry.second.member);
    const TimePoint told = member == members_heard_.end() ? TimePoint(0) : member->second;
    return now - std::max(entry.second.heard, told) > kForgetAfter;
  });
}

size_t RouterDirectory::count_unheard(const std::map<std::string, fleet::RouterRecord>& own,
                                      TimePoint now) const {
  const auto unheard = [&](const auto& entry) {
    const auto member = members_heard_.find(entry.second.member);
    return member != members_heard_.end() && now - member->second >= kMemberOverdue &&
           own.count(entry.first) == 0;
  };
  return static_cast<size_t>(std::count_if(routers_.begin(), routers_.end(), unheard));
}

std::vector<fleet::RouterRecord> RouterDirectory::ready(TimePoint now) const {
  std::vector<fleet::RouterRecord> list;
  for (const auto& [name, known] : routers_) {
    if (known.router.ready && live(known, now)) {
      list.push_back(known.router);
    }
  }
  return list;
}

size_t RouterDirectory::ready_count(TimePoint now) const {
  return static_cast<size_t>(std::count_if(routers_.begin(), routers_.end(), [&](const auto& entry) {
    return entry.second.router.ready && live(entry.second, now);
  }));
}

std::vector<fleet::RouterRecord> RouterDirectory::select_for_callers(const std::string& zone, size_t limit,
                                                                     TimePoint now) const {
  std::vector<fleet::RouterRecord> list = ready(now);
  const auto far = [&](const fleet::RouterRecord& router) {
    return topology_.distance(zone, router.zone) == topology::Distance::kOtherRegion;
  };
  if (!std::all_of(list.begin(), list.end(), far)) {
    std::erase_if(list, far);
    list = assigned_of(zone, list);
  }
  cut(list, zone, limit);
  return list;
}

const std::map<std::string, std::string>& RouterDirectory::assignment_for(const std::string& zone) const {
  if (assignments_.size() > kMaxAssignments) {
    assignments_.clear();  // callers may name any zone
  }
  Assignment& known = assignments_[zone];
  if (known.revision == seats_revision_) {
    return known.zones;
  }
  std::map<std::string, std::string> zones;
  for (const auto& [name, seat] : seats_) {
    if (topology_.distance(zone, seat.zone) != topology::Distance::kOtherRegion) {
      zones[name] = seat.zone;
    }
  }
  known = {seats_revision_, assign_to_callers(zones)};
  return known.zones;
}

std::vector<fleet::RouterRecord> RouterDirectory::assigned_of(
    const std::string& zone, const std::vector<fleet::RouterRecord>& list) const {
  const std::map<std::string, std::string>& assigned = assignment_for(zone);
  const auto seats = static_cast<size_t>(std::count_if(
      assigned.begin(), assigned.end(), [&](const auto& entry) { return entry.second == zone; }));
  std::vector<fleet::RouterRecord> chosen;
  std::copy_if(list.begin(), list.end(), std::back_inserter(chosen), [&](const fleet::RouterRecord& router) {
    const auto found = assigned.find(router.name);
    return found != assigned.end() && found->second == zone;
  });
  const bool enough = seats >= kFewestAssigned &&
                      static_cast<double>(chosen.size()) >= kReadyShare * static_cast<double>(seats);
  return enough ? chosen : list;
}

void RouterDirectory::cut(std::vector<fleet::RouterRecord>& list, const std::string& zone, size_t limit) {
  if (list.size() <= limit) {
    return;
  }
  const uint64_t zone_hash = hash_bytes(zone);
  const auto rank = [&](const fleet::RouterRecord& router) {
    return std::make_pair(router.zone != zone, hash_pair(zone_hash, hash_bytes(router.name)));
  };
  std::partial_sort(list.begin(), list.begin() + static_cast<std::ptrdiff_t>(limit), list.end(),
                    [&](const fleet::RouterRecord& left, const fleet::RouterRecord& right) {
                      return rank(left) < rank(right);
                    });
  list.resize(limit);
}

}  // namespace stoat::control
