/// The replicated state machine: the effects of commands, and its snapshot.
#include "src/control/state_machine.h"

#include <gtest/gtest.h>

namespace stoat::control {
namespace {

Command make_put(uint64_t version, const std::string& source) {
  fleet::PutConfiguration command;
  command.configuration.version = version;
  command.source = source;
  return command;
}

TEST(StateMachine, AppliesOnlyHigherVersions) {
  StateMachine state;
  EXPECT_EQ(state.apply(make_put(2, "two")).code, ResultCode::kOk);
  state.apply(make_put(2, "another two"));
  state.apply(make_put(1, "one"));
  EXPECT_EQ(state.fleet().source(), "two");
}

TEST(StateMachine, EqualCommandsProduceEqualSnapshots) {
  StateMachine first;
  StateMachine second;
  for (StateMachine* state : {&first, &second}) {
    state->apply(make_put(1, "one"));
    state->apply(fleet::SetTargetWeights{"m", 4});
    state->apply(fleet::RetireBackend{"b", fleet::BackendState::kDraining});
  }
  EXPECT_EQ(first.save(), second.save());
}

TEST(StateMachine, SnapshotRestoresTheWholeState) {
  StateMachine state;
  state.apply(make_put(3, "three"));
  state.apply(fleet::SetTargetWeights{"m", 4});
  state.apply(fleet::RetireBackend{"b", fleet::BackendState::kGone});
  StateMachine restored;
  ASSERT_TRUE(restored.load(state.save()));
  EXPECT_EQ(restored.save(), state.save());
  EXPECT_EQ(restored.fleet().source(), "three");
  EXPECT_EQ(restored.fleet().weights().at("m"), 4U);
  EXPECT_EQ(restored.fleet().retired_state("b"), fleet::BackendState::kGone);
}

TEST(StateMachine, MalformedSnapshotLeavesTheStateUnchanged) {
  StateMachine state;
  state.apply(make_put(3, "three"));
  EXPECT_FALSE(state.load("nonsense"));
  EXPECT_EQ(state.fleet().source(), "three");
}

}  // namespace
}  // namespace stoat::control
