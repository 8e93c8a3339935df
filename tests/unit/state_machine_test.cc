/// The replicated state machine: what commands do, and its snapshot.
#include "src/control/state_machine.h"

#include <gtest/gtest.h>

namespace stoat::control {
namespace {

Command put(uint64_t version, const std::string& source) {
  fleet::PutConfiguration command;
  command.configuration.version = version;
  command.source = source;
  return command;
}

TEST(StateMachine, PutsOnlyHigherVersionsInForce) {
  StateMachine state;
  EXPECT_EQ(state.apply(put(2, "two")).code, ResultCode::kOk);
  state.apply(put(2, "another two"));
  state.apply(put(1, "one"));
  EXPECT_EQ(state.fleet().source(), "two");
}

TEST(StateMachine, EqualCommandsGiveEqualBytes) {
  StateMachine first;
  StateMachine second;
  for (StateMachine* state : {&first, &second}) {
    state->apply(put(1, "one"));
    state->apply(fleet::SetTargetWeights{"m", 4});
    state->apply(fleet::RetireBackend{"b", fleet::BackendState::kDraining});
  }
  EXPECT_EQ(first.save(), second.save());
}

TEST(StateMachine, ASnapshotHoldsTheWholeState) {
  StateMachine state;
  state.apply(put(3, "three"));
  state.apply(fleet::SetTargetWeights{"m", 4});
  state.apply(fleet::RetireBackend{"b", fleet::BackendState::kGone});
  StateMachine restored;
  ASSERT_TRUE(restored.load(state.save()));
  EXPECT_EQ(restored.save(), state.save());
  EXPECT_EQ(restored.fleet().source(), "three");
  EXPECT_EQ(restored.fleet().weights().at("m"), 4U);
  EXPECT_EQ(restored.fleet().retired_state("b"), fleet::BackendState::kGone);
}

TEST(StateMachine, BadBytesLeaveTheStateAlone) {
  StateMachine state;
  state.apply(put(3, "three"));
  EXPECT_FALSE(state.load("nonsense"));
  EXPECT_EQ(state.fleet().source(), "three");
}

}  // namespace
}  // namespace stoat::control
