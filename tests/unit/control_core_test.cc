/// When a control member requests to join.
#include "src/control/control_core.h"

#include <gtest/gtest.h>

namespace stoat::control {
namespace {

constexpr consensus::MemberId kOwnId = 7;

consensus::RestoredState restored_with(const std::vector<consensus::Member>& members) {
  consensus::RestoredState restored;
  restored.snapshot.index = 1;
  restored.snapshot.term = 1;
  restored.snapshot.members.members = members;
  restored.snapshot.state = StateMachine().save();
  restored.hard_state.term = 1;
  return restored;
}

ControlCore core_with(const std::vector<consensus::Member>& members) {
  ControlOptions options;
  options.replica.id = kOwnId;
  return ControlCore(options, restored_with(members), 1, TimePoint(1s));
}

TEST(ControlCore, UnlistedMemberRequestsToJoin) {
  EXPECT_TRUE(core_with({{1, "a", "a", true}}).wants_to_join());
}

TEST(ControlCore, ListedVoterWithoutALeaderRequestsToJoin) {
  // The other members may have removed it, or may never have committed the list in which it is a voter.
  EXPECT_TRUE(core_with({{1, "a", "a", true}, {kOwnId, "b", "b", true}}).wants_to_join());
}

TEST(ControlCore, ListedMemberWithALeaderDoesNotRequestToJoin) {
  ControlCore core = core_with({{1, "a", "a", true}, {kOwnId, "b", "b", true}});
  consensus::Message append;
  append.kind = consensus::MessageKind::kAppend;
  append.from = 1;
  append.to = kOwnId;
  append.term = 1;
  append.log_index = 1;
  append.log_term = 1;
  core.on_peer_message(append, TimePoint(1s));
  EXPECT_FALSE(core.wants_to_join());
}

}  // namespace
}  // namespace stoat::control
