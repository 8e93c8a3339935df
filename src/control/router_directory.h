/// The routers of the fleet as a control member hears of them: from their own statuses and from the members
/// that they follow. Free of I/O.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "src/common/time.h"
#include "src/fleet/fleet_messages.h"

namespace stoat::control {

/// See the head of this file.
class RouterDirectory {
 public:
  /// A router tells its state. Returns true when that is new.
  bool on_status(const fleet::RouterRecord& router, TimePoint now);
  /// Another member tells of a router that follows it, or no longer hears it.
  void on_notice(const std::string& member, const fleet::RouterNotice& notice, TimePoint now);
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
  /// Up to `limit` ready ones for callers in a zone: those of the zone first, then others, which differ from
  /// zone to zone so that all routers get their part. The same ones each time, since callers leave a router
  /// that is not named to them any more.
  std::vector<fleet::RouterRecord> for_callers(const std::string& zone, size_t limit, TimePoint now) const;

 private:
  struct Known {
    fleet::RouterRecord router;
    TimePoint heard{0};  ///< from itself
    std::string member;  ///< that told of it; empty: none
  };
  bool live(const Known& known, TimePoint now) const;

  std::map<std::string, Known> routers_;  ///< by name
  std::map<std::string, TimePoint> members_heard_;
};

}  // namespace stoat::control
