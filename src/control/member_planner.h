/// Plans the changes of the member list that keep the replicated log at a target number of voters: joining
/// members are added as learners, learners that have caught up become voters, and replaced voters are
/// removed. One change is made at a time. A voter is added before another is removed, so that the log is
/// never stored on fewer disks than before the change.
#pragma once

#include <optional>
#include <vector>

#include "src/common/time.h"
#include "src/consensus/message.h"

namespace stoat::control {

/// Settings for changes of the member list.
struct MembershipOptions {
  Duration max_voter_silence = 1500ms;      ///< a voter silent for longer may be replaced by a learner
  Duration max_learner_silence = 10s;       ///< a learner silent for longer is removed
  Duration join_request_lifetime = 1500ms;  ///< how long a join request remains valid
};

/// What the leader knows of one member of the current list.
struct MemberView {
  consensus::Member member;
  bool caught_up = false;  ///< its log matches except for the newest entries
  Duration silence{0};     ///< time since its last answer; 0 for the leader itself
};

/// The next member list, or nullopt when no change is needed. At most one member differs.
std::optional<consensus::MemberList> plan_members(const std::vector<MemberView>& current,
                                                  const std::vector<consensus::Member>& joining,
                                                  size_t target_voters, const MembershipOptions& options);

}  // namespace stoat::control
