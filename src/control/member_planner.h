/// Decides the next member list of a replicated log that keeps itself at a number of voters: takes in members
/// that ask to join, makes learners that have caught up voters, and removes voters that were replaced. One
/// change at a time; a voter is added before another is removed, so that the log is never on fewer disks.
#pragma once

#include <optional>
#include <vector>

#include "src/common/time.h"
#include "src/consensus/message.h"

namespace stoat::control {

/// Settings of the planner.
struct PlannerOptions {
  Duration voter_silence = 1500ms;  ///< a voter silent for so long may be replaced by a learner
  Duration learner_silence = 10s;   ///< a learner silent for so long is dropped
  Duration joining_lease = 1500ms;  ///< how long a request to join counts
};

/// What the leader knows of one member of the present list.
struct MemberView {
  consensus::Member member;
  bool caught_up = false;  ///< its log matches but for the newest entries
  Duration silence{0};     ///< since its last answer; 0 for the leader itself
};

/// The next list, or nothing when the present one is as it should be.
std::optional<consensus::MemberList> plan_members(const std::vector<MemberView>& present,
                                                  const std::vector<consensus::Member>& joining,
                                                  size_t target_voters, const PlannerOptions& options);

}  // namespace stoat::control
