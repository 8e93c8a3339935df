/// The routers of the fleet as a control member knows them: from their own statuses, and from the members
/// that they follow. Performs no I/O.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "src/common/time.h"
#include "src/control/relay_selection.h"
#include "src/fleet/fleet_messages.h"
#include "src/topology/topology.h"

namespace stoat::control {

/// Tracks the routers of the fleet and selects those that callers are given.
class RouterDirectory {
 public:
  RouterDirectory() = default;
  explicit RouterDirectory(topology::Topology topology) : topology_(std::move(topology)) {}

  /// Handles a router's status. Returns true when the router's record has changed.
  bool on_status(const fleet::RouterRecord& router, TimePoint now);
  /// Handles a notice of another member that a router follows it, or is no longer connected to it.
  void on_notice(const std::string& member, const fleet::RouterPresence& notice, TimePoint now);
  /// Removes a router that is no longer connected to this member.
  void forget(const std::string& router);
  /// Records that another member is reachable, and with it the routers that it reported.
  void on_member_update(const std::string& member, TimePoint now) { member_update_times_[member] = now; }
  /// Removes routers that have been silent for long. To be called a few times a second.
  void expire(TimePoint now);

  /// Number of routers whose member is unreachable, so that what they report does not arrive at this member.
  /// `own`: the routers that follow this member; they are not counted.
  size_t count_without_recent_status(const std::map<std::string, fleet::RouterRecord>& own,
                                     TimePoint now) const;
  /// The routers that relay connections, as of the last expire().
  const RelaySelection& relays() const { return relays_; }
  size_t size() const { return routers_.size(); }
  /// The routers that are ready and not silent, by name.
  std::vector<fleet::RouterRecord> ready(TimePoint now) const;
  /// Number of routers in ready().
  size_t ready_count(TimePoint now) const;
  /// Up to `limit` ready routers for the callers in a zone: the routers assigned to the zone
  /// (assign_routers_to_zones), most of which lie in it. When the region is small or too few of the assigned
  /// routers are ready, all ready routers of the region are candidates; routers of other regions are
  /// candidates only when the zone's own region has no ready router. The selection is stable, since callers
  /// leave a router that is no longer listed.
  std::vector<fleet::RouterRecord> select_for_callers(const std::string& zone, size_t limit,
                                                      TimePoint now) const;

 private:
  struct KnownRouter {
    fleet::RouterRecord router;
    TimePoint last_status{0};  ///< time of its own last status; 0: none
    std::string member;        ///< member that reported it; empty: none
  };
  /// A router that takes part in the assignment to callers, also for a while after it was last ready.
  struct AssignableRouter {
    std::string zone;
    TimePoint ready_at{0};
  };
  bool is_live(const KnownRouter& known, TimePoint now) const;
  void note_assignable(const fleet::RouterRecord& router, TimePoint now);
  /// The routers in `list` that are assigned to the callers of a zone; all of `list` when too few are
  /// assigned or ready.
  std::vector<fleet::RouterRecord> select_assigned(const std::string& zone,
                                                   const std::vector<fleet::RouterRecord>& list) const;
  /// For each router of the region, the zone whose callers it is assigned to. Cached until an assignable
  /// router changes: with a thousand routers, computing the assignment for each of hundreds of queries a
  /// second uses a few percent of a core on a member.
  const std::map<std::string, std::string>& assignment_for(const std::string& zone) const;
  /// Truncates a list to `limit`: routers of the zone first, then others in an order that differs between
  /// zones.
  static void truncate(std::vector<fleet::RouterRecord>& list, const std::string& zone, size_t limit);

  std::map<std::string, KnownRouter> routers_;  ///< by name
  std::map<std::string, TimePoint> member_update_times_;
  std::map<std::string, AssignableRouter> assignable_routers_;  ///< by router
  uint64_t assignable_revision_ = 1;  ///< changes when an assignable router is added, removed or moved
  struct Assignment {
    uint64_t revision = 0;
    std::map<std::string, std::string> zone_by_router;
  };
  mutable std::map<std::string, Assignment> assignments_;  ///< by zone of the callers; limited in size
  topology::Topology topology_;
  RelaySelection relays_{topology_};
};

}  // namespace stoat::control
