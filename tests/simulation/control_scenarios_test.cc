// Named failures of control members, each placed by hand in the simulator.
#include <gtest/gtest.h>

#include "simulation/control_simulation.h"

namespace stoat::simulation {
namespace {

using control::ClaimState;
using control::CommandResult;
using control::ResultCode;

class ControlScenario : public testing::Test {
 protected:
  ControlScenario() : simulation_(quiet_options()) {}

  static ControlSimulationOptions quiet_options() {
    ControlSimulationOptions options;
    options.seed = 7;
    options.random_faults = false;
    options.client_load = false;
    return options;
  }

  size_t wait_for_leader() {
    EXPECT_TRUE(simulation_.run_until([&] { return simulation_.leader() >= 0; }, 10s));
    return static_cast<size_t>(simulation_.leader());
  }

  size_t wait_for_leader_other_than(size_t position) {
    const auto led_by_other = [&] {
      const int leader = simulation_.leader();
      return leader >= 0 && leader != static_cast<int>(position);
    };
    EXPECT_TRUE(simulation_.run_until(led_by_other, 10s));
    return static_cast<size_t>(simulation_.leader());
  }

  CommandResult must_change(const std::string& request_id, uint64_t base_version) {
    CommandResult result;
    EXPECT_TRUE(simulation_.change(request_id, base_version, result)) << request_id << " got no answer";
    return result;
  }

  CommandResult must_claim(const std::string& key, uint64_t claim_id) {
    CommandResult result;
    EXPECT_TRUE(simulation_.claim(key, claim_id, result)) << key << " got no answer";
    return result;
  }

  void TearDown() override {
    EXPECT_TRUE(simulation_.violations().empty()) << simulation_.violations().front();
  }

  ControlSimulation simulation_;
};

TEST_F(ControlScenario, ALeaderThatIsKilledIsReplacedAndNothingAcknowledgedIsLost) {
  wait_for_leader();
  EXPECT_EQ(must_change("first", 0).version, 1U);
  const size_t killed = wait_for_leader();
  simulation_.member(killed).crash(true);
  wait_for_leader_other_than(killed);
  EXPECT_EQ(must_change("second", 1).version, 2U);
  simulation_.member(killed).start();
  simulation_.run_for(2s);
  EXPECT_EQ(simulation_.member(killed).core().state().configuration().version, 2U);
}

TEST_F(ControlScenario, AFrozenLeaderThatWakesGrantsNothing) {
  const size_t frozen = wait_for_leader();
  simulation_.member(frozen).freeze();
  wait_for_leader_other_than(frozen);
  EXPECT_EQ(must_claim("bid", 11).code, ResultCode::kOk);
  simulation_.member(frozen).thaw();
  // Asked directly right after it woke, when it may still believe that it leads.
  simulation_.member(frozen).run([](control::ControlCore& core, TimePoint now) {
    control::ClaimKey claim;
    claim.tenant = "tenant";
    claim.key = "bid";
    claim.claim_id = 12;
    core.call(999999, claim, 0, now);
  });
  simulation_.run_for(3s);
  const control::Claim* claim = simulation_.member(wait_for_leader()).core().state().claim("tenant", "bid");
  ASSERT_NE(claim, nullptr);
  EXPECT_EQ(claim->claim_id, 11U);
}

TEST_F(ControlScenario, AMemberCutOffInSilenceIsLeftByItsNodes) {
  const size_t cut = wait_for_leader();
  must_change("first", 0);
  simulation_.run_for(2s);
  simulation_.cut_off(cut);  // nodes still reach it, and it still answers
  wait_for_leader_other_than(cut);
  EXPECT_EQ(must_change("second", 1).version, 2U);
  const auto all_have_it = [&] {
    return simulation_.node(0).configuration().version == 2 &&
           simulation_.node(1).configuration().version == 2 &&
           simulation_.node(2).configuration().version == 2;
  };
  EXPECT_TRUE(simulation_.run_until(all_have_it, 10s));
}

TEST_F(ControlScenario, AMemberCutOffInSilenceConfirmsNoRead) {
  const size_t cut = wait_for_leader();
  must_change("first", 0);
  simulation_.cut_off(cut);
  EXPECT_FALSE(simulation_.member(cut).core().replica().request_read(1, simulation_.events().now()) &&
               !simulation_.member(cut).core().take_output().confirmed_reads.empty());
  simulation_.run_for(2s);
  EXPECT_FALSE(simulation_.member(cut).core().replica().leads())
      << "a leader that hears no majority steps down";
}

TEST_F(ControlScenario, ACutInOneDirectionOnlyEndsWithOneWorkingLeader) {
  const size_t leader = wait_for_leader();
  const size_t other = (leader + 1) % 3;
  const size_t third = (leader + 2) % 3;
  // The leader is heard by nobody, and hears everyone.
  simulation_.cut_between(leader, other);
  simulation_.cut_between(leader, third);
  wait_for_leader_other_than(leader);
  EXPECT_EQ(must_change("first", 0).code, ResultCode::kOk);
}

TEST_F(ControlScenario, OfOperatorsWhoRaceOnOneVersionExactlyOneWins) {
  wait_for_leader();
  const CommandResult one = must_change("one", 0);
  const CommandResult two = must_change("two", 0);
  EXPECT_EQ(one.code, ResultCode::kOk);
  EXPECT_EQ(two.code, ResultCode::kVersionConflict);
  EXPECT_EQ(two.version, 1U) << "the conflict tells the present version";
  EXPECT_NE(two.message.find("operator"), std::string::npos) << "and who changed what: " << two.message;
}

TEST_F(ControlScenario, AResendGetsItsFirstAnswerAfterALeaderChangeAndARestart) {
  const size_t first_leader = wait_for_leader();
  EXPECT_EQ(must_change("one", 0).version, 1U);
  EXPECT_EQ(must_change("two", 1).version, 2U);
  simulation_.member(first_leader).crash(false);
  wait_for_leader_other_than(first_leader);
  EXPECT_EQ(must_change("one", 0).version, 1U);
  for (size_t position = 0; position < 3; ++position) {
    simulation_.member(position).crash(false);
  }
  for (size_t position = 0; position < 3; ++position) {
    simulation_.member(position).start();
  }
  wait_for_leader();
  const CommandResult again = must_change("one", 0);
  EXPECT_EQ(again.code, ResultCode::kOk);
  EXPECT_EQ(again.version, 1U);
}

TEST_F(ControlScenario, AWipedMemberNeverVotesUnderItsOldIdentity) {
  const size_t leader = wait_for_leader();
  const size_t wiped = (leader + 1) % 3;
  must_change("first", 0);
  const consensus::MemberId old_identity = simulation_.member(wiped).id();
  simulation_.member(wiped).wipe_disk();
  simulation_.member(wiped).start();
  EXPECT_NE(simulation_.member(wiped).id(), old_identity);
  EXPECT_FALSE(simulation_.member(wiped).core().replica().is_voter());
  // With the leader gone too, the wiped member and the last sound one must not make a majority.
  simulation_.member(leader).crash(false);
  simulation_.run_for(5s);
  EXPECT_LT(simulation_.leader(), 0) << "a member that forgot its vote made a majority";
  simulation_.member(leader).start();
  wait_for_leader();
  EXPECT_EQ(must_change("second", 1).version, 2U) << "what was acknowledged before is still there";
}

TEST_F(ControlScenario, ASecondMemberLostRightAfterARepairLosesNothing) {
  const size_t leader = wait_for_leader();
  for (uint64_t version = 0; version < 100; ++version) {
    must_change("change-" + std::to_string(version), version);
  }
  const size_t wiped = (leader + 1) % 3;
  const size_t second = (leader + 2) % 3;
  simulation_.member(wiped).wipe_disk();
  simulation_.member(wiped).start();
  ASSERT_TRUE(simulation_.replace(wiped));
  // The moment the status shows the repair as finished, a second machine is lost for good.
  simulation_.member(second).wipe_disk();
  simulation_.member(leader).crash(true);
  simulation_.member(leader).start();
  wait_for_leader();
  EXPECT_EQ(must_change("after", 100).version, 101U);
}

TEST_F(ControlScenario, AReplacedMemberIsListedOnceHoweverOftenTheOrderIsGiven) {
  const size_t leader = wait_for_leader();
  const size_t wiped = (leader + 1) % 3;
  simulation_.member(wiped).wipe_disk();
  simulation_.member(wiped).start();
  ASSERT_TRUE(simulation_.replace(wiped));
  const std::string name = simulation_.member(wiped).name();
  for (int time = 0; time < 3; ++time) {
    simulation_.member(leader).run(
        [&](control::ControlCore& core, TimePoint now) { core.replace_member(name, now); });
    simulation_.run_for(500ms);
  }
  EXPECT_EQ(simulation_.member(leader).core().replica().members().members.size(), 3U);
}

TEST_F(ControlScenario, AFollowerAheadOfTheLeadersSnapshotGoesOnFromItsOwnLog) {
  // The snapshot that the leader offers may be older than what the follower has committed.
  const size_t leader = wait_for_leader();
  const size_t follower = (leader + 1) % 3;
  for (uint64_t version = 0; version < 58; ++version) {
    must_change("change-" + std::to_string(version), version);
  }
  simulation_.cut_between(follower, leader);  // it hears the leader, but its answers are lost
  for (uint64_t version = 58; version < 70; ++version) {
    must_change("change-" + std::to_string(version), version);
  }
  simulation_.heal_network();
  EXPECT_TRUE(simulation_.run_until(
      [&] { return simulation_.member(follower).core().state().configuration().version == 70; }, 10s));
  EXPECT_EQ(must_change("after", 70).version, 71U);
}

TEST_F(ControlScenario, ANodeThatMissedHundredsOfChangesCatchesUp) {
  wait_for_leader();
  must_change("first", 0);
  simulation_.run_for(2s);
  // The node is down meanwhile: its copy stays at version 1.
  control::ConfigurationFollower kept = simulation_.node(0);
  for (uint64_t version = 1; version < 501; ++version) {
    must_change("change-" + std::to_string(version), version);
  }
  simulation_.node(0) = kept;
  const auto caught_up = [&] { return simulation_.node(0).configuration().version == 501; };
  EXPECT_TRUE(simulation_.run_until(caught_up, 5s));
  EXPECT_EQ(simulation_.node(0).configuration(), simulation_.node(1).configuration());
}

TEST_F(ControlScenario, ATornTailIsCutAndTheMemberGoesOn) {
  const size_t leader = wait_for_leader();
  must_change("first", 0);
  const size_t torn = (leader + 1) % 3;
  for (int time = 0; time < 10; ++time) {
    // Kill it with writes under way, so that some of them are cut in the middle.
    CommandResult ignored;
    control::ChangeConfiguration change;
    change.base_version = 1000;
    simulation_.call(change, ignored, 200ms);
    simulation_.member(torn).crash(true);
    simulation_.member(torn).start();
    ASSERT_EQ(simulation_.member(torn).start_error(), "");
    simulation_.run_for(500ms);
  }
  EXPECT_EQ(must_change("second", 1).version, 2U);
}

TEST_F(ControlScenario, DamageBeforeTheTailStopsTheStartAndNamesThePlace) {
  const size_t leader = wait_for_leader();
  const size_t damaged = (leader + 1) % 3;
  for (uint64_t version = 0; version < 20; ++version) {
    must_change("change-" + std::to_string(version), version);
  }
  simulation_.run_for(1s);
  simulation_.member(damaged).crash(false);
  ASSERT_TRUE(simulation_.member(damaged).disk().damage("log", 20));
  simulation_.member(damaged).start();
  EXPECT_FALSE(simulation_.member(damaged).running());
  EXPECT_NE(simulation_.member(damaged).start_error().find("log: offset 17"), std::string::npos)
      << simulation_.member(damaged).start_error();
}

TEST_F(ControlScenario, AMemberWhoseDiskFailsStopsBeforeItAcknowledgesAnything) {
  const size_t leader = wait_for_leader();
  simulation_.member((leader + 1) % 3).disk().set_failing(true);
  simulation_.member((leader + 2) % 3).disk().set_failing(true);
  CommandResult result;
  EXPECT_FALSE(simulation_.change("first", 0, result, 5s)) << "acknowledged without a majority on disk";
  EXPECT_FALSE(simulation_.member((leader + 1) % 3).running());
}

TEST_F(ControlScenario, AClaimIsGrantedOnceAcrossALeaderChange) {
  const size_t first_leader = wait_for_leader();
  EXPECT_EQ(must_claim("bid", 1).code, ResultCode::kOk);
  simulation_.member(first_leader).crash(false);
  wait_for_leader_other_than(first_leader);
  EXPECT_EQ(must_claim("bid", 2).code, ResultCode::kClaimHeld);
  EXPECT_EQ(must_claim("bid", 1).code, ResultCode::kOk) << "the holder's own resend";
}

TEST_F(ControlScenario, NoClaimIsGrantedWithoutAQuorum) {
  const size_t leader = wait_for_leader();
  simulation_.member((leader + 1) % 3).crash(false);
  simulation_.member((leader + 2) % 3).crash(false);
  CommandResult result;
  EXPECT_FALSE(simulation_.claim("bid", 1, result, 5s));
}

TEST_F(ControlScenario, AClaimThatComesAfterItsReleaseIsRefused) {
  wait_for_leader();
  control::FinishClaim release;
  release.tenant = "tenant";
  release.key = "bid";
  release.claim_id = 1;
  release.state = ClaimState::kReleased;
  CommandResult result;
  ASSERT_TRUE(simulation_.call(release, result, 5s));
  EXPECT_EQ(must_claim("bid", 1).code, ResultCode::kClaimHeld) << "nobody would ever end it";
  EXPECT_EQ(must_claim("bid", 2).code, ResultCode::kOk);
}

TEST_F(ControlScenario, ASettledClaimKeepsItsOutcomeForAResend) {
  wait_for_leader();
  must_claim("bid", 1);
  control::FinishClaim settle;
  settle.tenant = "tenant";
  settle.key = "bid";
  settle.claim_id = 1;
  settle.state = ClaimState::kSettled;
  settle.outcome = "offer accepted";
  CommandResult result;
  ASSERT_TRUE(simulation_.call(settle, result, 5s));
  const CommandResult resend = must_claim("bid", 2);
  EXPECT_EQ(resend.claim_state, ClaimState::kSettled);
  EXPECT_EQ(resend.outcome, "offer accepted");
}

TEST_F(ControlScenario, APlannedStopHandsLeadershipOver) {
  const size_t leader = wait_for_leader();
  must_change("first", 0);
  simulation_.member(leader).run(
      [](control::ControlCore& core, TimePoint now) { core.replica().hand_over(now); });
  const TimePoint asked_at = simulation_.events().now();
  wait_for_leader_other_than(leader);
  EXPECT_LT(simulation_.events().now() - asked_at, Duration(200ms))
      << "without waiting for an election timeout";
}

}  // namespace
}  // namespace stoat::simulation
