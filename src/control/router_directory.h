/// The routers of the fleet as a control member hears of them: from their own statuses and from the members
/// that they follow. Free of I/O.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "src/common/time.h"
#include "src/fleet/fleet_messages.h"
#include "src/topology/topology.h"

namespace stoat::control {

/// See the head of this file.
class RouterDirectory {
 public:
  RouterDirectory() = default;
  explicit RouterDirectory(topology::Topology topology) : topology_(std::move(topology)) {}

  /// A router tells its state. Returns true when that is new.
  bool on_status(const fleet::RouterRecord& router, TimePoint now);
  /// Another member tells of a router that follows it, or no longer hears it.
  void on_notice(const std::string& member, const fleet::RouterPresence& notice, TimePoint now);
  /// This member hears a router no longer.
  void forget(const std::string& router);
  /// Another member is still heard: so are the routers that it told of.
  void on_member_heard(const std::string& member, TimePoint now) { members_heard_[member] = now; }
  /// Drops routers that have been silent for long. To be called a few times a second.
  void expire(TimePoint now);

  /// Routers whose member is not heard now, so that what they tell it does not come to this member.
  /// `own`: those that follow this member.
  size_t count_unheard(const std::map<std::string, fleet::RouterRecord>& own, TimePoint now) const;
  size_t size() const { return routers_.size(); }
  /// Those that are ready and not silent, by name.
  std::vector<fleet::RouterRecord> ready(TimePoint now) const;
  /// How many of them there are.
  size_t ready_count(TimePoint now) const;
  /// Up to `limit` ready ones for callers in a zone: those that are assigned to it (assign_to_callers),
  /// mostly its own. All of its region when the region is small or too few of the assigned ones are ready,
  /// and those of other regions only when its own has none. The same ones each time, since callers leave a
  /// router that is not named to them any more.
  std::vector<fleet::RouterRecord> select_for_callers(const std::string& zone, size_t limit,
                                                      TimePoint now) const;

 private:
  struct Known {
    fleet::RouterRecord router;
    TimePoint heard{0};  ///< from itself
    std::string member;  ///< that told of it; empty: none
  };
  /// Counts in the assignment to callers, for a while after it was last ready.
  struct Seat {
    std::string zone;
    TimePoint ready_at{0};
  };
  bool live(const Known& known, TimePoint now) const;
  void note_seat(const fleet::RouterRecord& router, TimePoint now);
  /// The routers out of `list` that are assigned to the callers of a zone; all when the assignment does not
  /// serve them.
  std::vector<fleet::RouterRecord> assigned_of(const std::string& zone,
                                               const std::vector<fleet::RouterRecord>& list) const;
  /// Which zone's callers each router of the region is for. Kept until a seat changes: to work it out for
  /// each of hundreds of questions a second, with a thousand routers, takes a member some percent of a core.
  const std::map<std::string, std::string>& assignment_for(const std::string& zone) const;
  /// Cuts a list to `limit`, those of the zone first, then others that differ from zone to zone.
  static void cut(std::vector<fleet::RouterRecord>& list, const std::string& zone, size_t limit);

  std::map<std::string, Known> routers_;  ///< by name
  std::map<std::string, TimePoint> members_heard_;
  std::map<std::string, Seat> seats_;  ///< by router
  uint64_t seats_revision_ = 1;        ///< changes when a seat comes, goes or moves
  struct Assignment {
    uint64_t revision = 0;
    std::map<std::string, std::string> zones;  ///< by router
  };
  mutable std::map<std::string, Assignment> assignments_;  ///< by zone of the callers; bounded
  topology::Topology topology_;
};

}  // namespace stoat::control
