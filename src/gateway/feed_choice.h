/// Which control member a router takes its feed from: one that is heard and vouches for a leader, in the
/// router's own zone where there is one, else in its region. Routers with several that are as near spread
/// over them. Free of I/O.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "src/common/time.h"
#include "src/topology/topology.h"

namespace stoat::gateway {

/// What a router knows of one control member.
struct MemberView {
  std::string address;
  topology::Distance distance = topology::Distance::kSameRegion;  ///< from the router
  bool connected = false;
  Duration silence{0};  ///< since it was last heard
  std::optional<Duration>
      vouched;  ///< age of the newest confirmation of a leader that it told; nullopt: none
  Duration known{Duration::max()};  ///< since the connection to it was begun
};

/// The member whose feed is silent for so long is left: it answers each 400 ms.
inline constexpr Duration kFeedSilence = 1s;
/// Other members are asked each 1.2 s; one that has answered within this time may take over.
inline constexpr Duration kOtherSilence = 2500ms;
/// A member whose newest confirmation is older than this is cut off from the leader, or there is none. One
/// that has not been known for longer counts as if it had told one: after a restart of all members those of
/// the leader's region tell one first, and all routers of the other region took their whole feeds from there.
inline constexpr Duration kVouchLimit = 2s;

/// The member to follow, given the present one (empty: none). `router` is the router's name. Stays at the
/// present one while that will do, unless a nearer one will do as well. Empty when none is heard.
std::string choose_feed(const std::vector<MemberView>& members, const std::string& present,
                        const std::string& router);

}  // namespace stoat::gateway
