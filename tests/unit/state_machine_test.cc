// Claims in the replicated state machine.
#include "src/control/state_machine.h"

#include <gtest/gtest.h>

namespace stoat::control {
namespace {

class StateMachineTest : public testing::Test {
 protected:
  static ClaimKey claim(uint64_t request_id, uint32_t attempt, uint64_t claim_id) {
    ClaimKey claim;
    claim.tenant = "owner-1";
    claim.key = "bid";
    claim.digest = 5;
    claim.claim_id = claim_id;
    claim.at_ms = 1000;
    claim.request_id = request_id;
    claim.attempt = attempt;
    return claim;
  }

  static FinishClaim release(const ClaimKey& claim) {
    FinishClaim finish;
    finish.tenant = claim.tenant;
    finish.key = claim.key;
    finish.claim_id = claim.claim_id;
    finish.state = ClaimState::kReleased;
    finish.at_ms = claim.at_ms;
    finish.request_id = claim.request_id;
    finish.attempt = claim.attempt;
    return finish;
  }

  bool granted(const ClaimKey& claim) { return state_.apply(claim).code == ResultCode::kOk; }

  /// Claims and releases.
  void give_up(uint64_t request_id, uint32_t attempt, uint64_t claim_id) {
    const ClaimKey given_up = claim(request_id, attempt, claim_id);
    ASSERT_TRUE(granted(given_up));
    state_.apply(release(given_up));
  }

  StateMachine state_;
};

TEST_F(StateMachineTest, AnEarlierAttemptOfARequestThatWasGivenUpIsNeverGranted) {
  give_up(7, 2, 100);
  EXPECT_FALSE(granted(claim(7, 1, 101))) << "its caller was told that it did not run";
  EXPECT_FALSE(granted(claim(7, 2, 102)));
}

TEST_F(StateMachineTest, ALaterAttemptAndAnotherRequestUnderTheKeyAreGranted) {
  give_up(7, 2, 100);
  give_up(7, 3, 101);
  EXPECT_TRUE(granted(claim(8, 1, 102)));
}

TEST_F(StateMachineTest, AttemptsStayClosedWhenAnotherRequestIsGivenUpToo) {
  give_up(7, 1, 100);
  give_up(8, 1, 101);
  EXPECT_FALSE(granted(claim(7, 1, 102)));
  EXPECT_FALSE(granted(claim(8, 1, 103)));
  EXPECT_TRUE(granted(claim(9, 1, 104)));
}

TEST_F(StateMachineTest, AReleaseThatOvertakesItsClaimClosesItAfterAnEarlierReleaseToo) {
  give_up(7, 1, 100);
  const ClaimKey late = claim(8, 1, 101);
  state_.apply(release(late));
  EXPECT_FALSE(granted(late));
}

TEST_F(StateMachineTest, ClosedAttemptsOutliveASnapshotAndEndWithTheirClaim) {
  give_up(7, 1, 100);
  StateMachine restored;
  ASSERT_TRUE(restored.load(state_.save()));
  EXPECT_EQ(restored.apply(claim(7, 1, 101)).code, ResultCode::kClaimHeld);
  restored.apply(ExpireClaims{2000});
  EXPECT_EQ(restored.apply(claim(7, 1, 102)).code, ResultCode::kOk);
}

}  // namespace
}  // namespace stoat::control
