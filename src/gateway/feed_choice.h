/// Chooses the control member from which a router takes its feed: one that responds and has a recent
/// confirmation of a leader, in the router's own zone if there is one, otherwise in its region. Routers with
/// several equally near members spread over them. Performs no I/O.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "src/common/time.h"
#include "src/topology/topology.h"

namespace stoat::gateway {

/// What a router knows of one control member.
struct FeedCandidate {
  std::string address;
  topology::Distance distance = topology::Distance::kSameRegion;  ///< from the router
  bool connected = false;
  Duration time_since_message{0};  ///< since its last message
  /// Age of the newest leader confirmation that the member reported; nullopt: none.
  std::optional<Duration> leader_confirmation_age;
  Duration time_since_connect{Duration::max()};  ///< since the router started to connect to it
  /// Since the router last left it because it was not suitable; nullopt: never.
  std::optional<Duration> time_since_left;
};

/// After the first answer of a member, the others have this long to answer before a feed member is chosen.
inline constexpr Duration kFeedChoiceDelay = 60ms;
/// The router leaves a feed member that is silent for this long; a feed member answers every 400 ms.
inline constexpr Duration kFeedTimeout = 1s;
/// Other members are asked every 1.2 s; one that has answered within this time may become the feed member.
inline constexpr Duration kOtherMemberTimeout = 2500ms;
/// A member whose newest leader confirmation is older than this is cut off from the leader, or there is no
/// leader. A member connected for no longer than this is treated as if it had reported a confirmation: after
/// a restart of all members, those in the leader's region report one first; without this rule, all routers of
/// the other region would take their full feeds from there.
inline constexpr Duration kMaxLeaderConfirmationAge = 2s;

/// A router that has left a member because it was not suitable stays away from it for kMinReturnDelay, and a
/// part of kReturnSpread that depends on the router, unless only members of another region are left. Each
/// change of the feed costs the member a full state; if routers came back as soon as an overloaded member
/// answers, they would overload it again.
inline constexpr Duration kMinReturnDelay = 5s;
inline constexpr Duration kReturnSpread = 5s;

/// True if the router has no reason to leave its feed member.
bool is_suitable_feed(const FeedCandidate& member);

/// Returns the address of the member to follow, or an empty string when none responds. `current` is the
/// present feed member (empty: none), `router` the router's name. Keeps the current member while it is
/// suitable, unless a nearer one is suitable as well, or the one that the router had left is again.
std::string choose_feed_member(const std::vector<FeedCandidate>& members, const std::string& current,
                               const std::string& router);

}  // namespace stoat::gateway
