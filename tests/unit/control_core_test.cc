/// One control member without its I/O: when it asks the others to be taken in.
#include "src/control/control_core.h"

#include <gtest/gtest.h>

namespace stoat::control {
namespace {

constexpr consensus::MemberId kOwn = 7;

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
  options.replica.id = kOwn;
  return ControlCore(options, restored_with(members), 1, TimePoint(1s));
}

TEST(ControlCore, AMemberThatIsInNoListAsksToBeTakenIn) {
  EXPECT_TRUE(core_with({{1, "a", "a", true}}).wants_to_join());
}

TEST(ControlCore, AVoterOfItsOwnListThatHearsNoLeaderAsksToo) {
  // The others may have dropped it, or never have committed the list in which it votes.
  EXPECT_TRUE(core_with({{1, "a", "a", true}, {kOwn, "b", "b", true}}).wants_to_join());
}

TEST(ControlCore, AMemberThatHearsItsLeaderDoesNotAsk) {
  ControlCore core = core_with({{1, "a", "a", true}, {kOwn, "b", "b", true}});
  consensus::Message append;
  append.kind = consensus::MessageKind::kAppend;
  append.from = 1;
  append.to = kOwn;
  append.term = 1;
  append.log_index = 1;
  append.log_term = 1;
  core.on_peer(append, TimePoint(1s));
  EXPECT_FALSE(core.wants_to_join());
}

}  // namespace
}  // namespace stoat::control
