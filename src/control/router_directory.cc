#include "src/control/router_directory.h"

#include <algorithm>

#include "src/common/hash.h"
#include "src/control/caller_assignment.h"

namespace stoat::control {

namespace {

/// A router sends its status to each member at least every 1.2 s (gateway::ControlLinkOptions); two may be
/// lost.
constexpr Duration kStatusLease = 2500ms;
/// Members exchange updates at least every 200 ms.
constexpr Duration kMemberLease = 1s;
/// A member that is silent for this long may be cut off, so that its routers' reports do not arrive.
constexpr Duration kMemberOverdue = 600ms;
/// A router that is silent for this long is removed.
constexpr Duration kSilentRouterRetention = 10s;
/// A router that restarts within this time gets its callers back, and the assignment of the other routers
/// stays as it is.
constexpr Duration kAssignmentRetention = 20s;
/// With fewer routers than this assigned to a zone, its callers are given all routers of the region, because
/// the loss of one of so few would be noticeable.
constexpr size_t kMinAssignedRouters = 8;
/// When a smaller share than this of the assigned routers is ready, callers are given all routers of the
/// region.
constexpr double kMinReadyShare = 0.5;
/// Maximum number of caller zones whose assignment is cached.
constexpr size_t kMaxAssignments = 64;

}  // namespace

bool RouterDirectory::on_status(const fleet::RouterRecord& router, TimePoint now) {
  KnownRouter& known = routers_[router.name];
  known.last_status = now;
  const bool changed = known.router != router;
  known.router = router;
  note_assignable(router, now);
  return changed;
}

void RouterDirectory::on_notice(const std::string& member, const fleet::RouterPresence& notice,
                                TimePoint now) {
  const auto found = routers_.find(notice.router.name);
  if (notice.present) {
    KnownRouter& known = routers_[notice.router.name];
    known.router = notice.router;
    known.member = member;
    member_update_times_[member] = now;
    note_assignable(notice.router, now);
  } else if (found != routers_.end() && found->second.member == member) {
    routers_.erase(found);
  }
}

void RouterDirectory::forget(const std::string& router) { routers_.erase(router); }

bool RouterDirectory::is_live(const KnownRouter& known, TimePoint now) const {
  if (known.last_status > TimePoint(0) && now - known.last_status < kStatusLease) {
    return true;
  }
  const auto member = member_update_times_.find(known.member);
  return member != member_update_times_.end() && now - member->second < kMemberLease;
}

void RouterDirectory::note_assignable(const fleet::RouterRecord& router, TimePoint now) {
  if (!router.ready) {
    return;
  }
  AssignableRouter& assignable = assignable_routers_[router.name];
  if (assignable.zone != router.zone || assignable.ready_at == TimePoint(0)) {
    ++assignable_revision_;
  }
  assignable = {router.zone, now};
}

void RouterDirectory::expire(TimePoint now) {
  for (const auto& [name, known] : routers_) {
    if (known.router.ready && is_live(known, now)) {
      note_assignable(known.router, now);
    }
  }
  assignable_revision_ += std::erase_if(assignable_routers_, [&](const auto& entry) {
    return now - entry.second.ready_at > kAssignmentRetention;
  });
  std::erase_if(routers_, [&](const auto& entry) {
    const auto member = member_update_times_.find(entry.second.member);
    const TimePoint last_report = member == member_update_times_.end() ? TimePoint(0) : member->second;
    return now - std::max(entry.second.last_status, last_report) > kSilentRouterRetention;
  });
  relays_.update(ready(now));
}

size_t RouterDirectory::count_without_recent_status(const std::map<std::string, fleet::RouterRecord>& own,
                                                    TimePoint now) const {
  const auto lacks_recent_status = [&](const auto& entry) {
    const auto member = member_update_times_.find(entry.second.member);
    return member != member_update_times_.end() && now - member->second >= kMemberOverdue &&
           own.count(entry.first) == 0;
  };
  return static_cast<size_t>(std::count_if(routers_.begin(), routers_.end(), lacks_recent_status));
}

std::vector<fleet::RouterRecord> RouterDirectory::ready(TimePoint now) const {
  std::vector<fleet::RouterRecord> list;
  for (const auto& [name, known] : routers_) {
    if (known.router.ready && is_live(known, now)) {
      list.push_back(known.router);
    }
  }
  return list;
}

size_t RouterDirectory::ready_count(TimePoint now) const {
  return static_cast<size_t>(std::count_if(routers_.begin(), routers_.end(), [&](const auto& entry) {
    return entry.second.router.ready && is_live(entry.second, now);
  }));
}

std::vector<fleet::RouterRecord> RouterDirectory::select_for_callers(const std::string& zone, size_t limit,
                                                                     TimePoint now) const {
  std::vector<fleet::RouterRecord> list = ready(now);
  const auto in_other_region = [&](const fleet::RouterRecord& router) {
    return topology_.distance(zone, router.zone) == topology::Distance::kOtherRegion;
  };
  if (!std::all_of(list.begin(), list.end(), in_other_region)) {
    std::erase_if(list, in_other_region);
    list = select_assigned(zone, list);
  }
  truncate(list, zone, limit);
  return list;
}

const std::map<std::string, std::string>& RouterDirectory::assignment_for(const std::string& zone) const {
  if (assignments_.size() > kMaxAssignments) {
    assignments_.clear();  // callers can name any zone
  }
  Assignment& known = assignments_[zone];
  if (known.revision == assignable_revision_) {
    return known.zone_by_router;
  }
  std::map<std::string, std::string> zones;
  for (const auto& [name, assignable] : assignable_routers_) {
    if (topology_.distance(zone, assignable.zone) != topology::Distance::kOtherRegion) {
      zones[name] = assignable.zone;
    }
  }
  known = {assignable_revision_, assign_routers_to_zones(zones)};
  return known.zone_by_router;
}

std::vector<fleet::RouterRecord> RouterDirectory::select_assigned(
    const std::string& zone, const std::vector<fleet::RouterRecord>& list) const {
  const std::map<std::string, std::string>& assigned = assignment_for(zone);
  const auto assigned_count = static_cast<size_t>(std::count_if(
      assigned.begin(), assigned.end(), [&](const auto& entry) { return entry.second == zone; }));
  std::vector<fleet::RouterRecord> chosen;
  std::copy_if(list.begin(), list.end(), std::back_inserter(chosen), [&](const fleet::RouterRecord& router) {
    const auto found = assigned.find(router.name);
    return found != assigned.end() && found->second == zone;
  });
  const bool is_sufficient =
      assigned_count >= kMinAssignedRouters &&
      static_cast<double>(chosen.size()) >= kMinReadyShare * static_cast<double>(assigned_count);
  return is_sufficient ? chosen : list;
}

void RouterDirectory::truncate(std::vector<fleet::RouterRecord>& list, const std::string& zone,
                               size_t limit) {
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
