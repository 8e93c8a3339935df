// Named failures of control members, each placed by hand in the simulator.
#include <gtest/gtest.h>

#include "simulation/control_simulation.h"

namespace stoat::simulation {
namespace {

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

  void must_put(uint64_t version, const std::string& source = "document") {
    EXPECT_TRUE(simulation_.put(version, source)) << "version " << version << " was not acknowledged";
  }

  void must_put_up_to(uint64_t first, uint64_t last) {
    for (uint64_t version = first; version <= last; ++version) {
      must_put(version, "document-" + std::to_string(version));
    }
  }

  uint64_t version_at(size_t position) { return simulation_.state_of(position).configuration().version; }

  void TearDown() override {
    EXPECT_TRUE(simulation_.violations().empty()) << simulation_.violations().front();
  }

  ControlSimulation simulation_;
};

TEST_F(ControlScenario, ALeaderThatIsKilledIsReplacedAndNothingAcknowledgedIsLost) {
  wait_for_leader();
  must_put(1);
  const size_t killed = wait_for_leader();
  simulation_.member(killed).crash(true);
  wait_for_leader_other_than(killed);
  must_put(2);
  simulation_.member(killed).start();
  simulation_.run_for(2s);
  EXPECT_EQ(version_at(killed), 2U);
}

TEST_F(ControlScenario, AFrozenLeaderThatWakesPutsNothingInForce) {
  const size_t frozen = wait_for_leader();
  simulation_.member(frozen).freeze();
  wait_for_leader_other_than(frozen);
  must_put(1, "in force");
  simulation_.member(frozen).thaw();
  // Asked directly right after it woke, when it may still believe that it leads.
  simulation_.member(frozen).run([](control::ControlCore& core, TimePoint now) {
    core.propose_command(999999, make_configuration(1, "of the frozen leader"), now);
  });
  simulation_.run_for(3s);
  for (size_t position = 0; position < simulation_.member_count(); ++position) {
    EXPECT_EQ(simulation_.state_of(position).source(), "in force");
  }
}

TEST_F(ControlScenario, AMemberThatWasCutOffInSilenceHasAllOnceItIsHeardAgain) {
  const size_t cut = wait_for_leader();
  must_put(1);
  simulation_.run_for(2s);
  simulation_.cut_off(cut);
  wait_for_leader_other_than(cut);
  must_put(2);
  EXPECT_EQ(version_at(cut), 1U);
  simulation_.heal_network();
  EXPECT_TRUE(simulation_.run_until([&] { return version_at(cut) == 2; }, 10s));
}

TEST_F(ControlScenario, AMemberCutOffInSilenceConfirmsNoRead) {
  const size_t cut = wait_for_leader();
  must_put(1);
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
  must_put(1);
}

TEST_F(ControlScenario, OfOperatorsWhoRaceForOneVersionOneDocumentIsInForceEverywhere) {
  wait_for_leader();
  must_put(1, "one");
  must_put(1, "two");
  simulation_.run_for(1s);
  for (size_t position = 0; position < simulation_.member_count(); ++position) {
    EXPECT_EQ(simulation_.state_of(position).source(), "one");
  }
}

TEST_F(ControlScenario, AResendAfterALeaderChangeAndARestartChangesNothing) {
  const size_t first_leader = wait_for_leader();
  must_put(1, "one");
  must_put(2, "two");
  simulation_.member(first_leader).crash(false);
  wait_for_leader_other_than(first_leader);
  must_put(1, "one");
  for (size_t position = 0; position < 3; ++position) {
    simulation_.member(position).crash(false);
  }
  for (size_t position = 0; position < 3; ++position) {
    simulation_.member(position).start();
  }
  wait_for_leader();
  must_put(1, "one");
  simulation_.run_for(1s);
  for (size_t position = 0; position < 3; ++position) {
    EXPECT_EQ(version_at(position), 2U);
    EXPECT_EQ(simulation_.state_of(position).source(), "two");
  }
}

TEST_F(ControlScenario, AnAcknowledgedRetirementOutlivesALeaderChangeAndAResendOfAnEarlierState) {
  const size_t first_leader = wait_for_leader();
  ASSERT_TRUE(simulation_.call(fleet::RetireBackend{"b", fleet::BackendState::kGone}, 10s));
  simulation_.member(first_leader).crash(false);
  wait_for_leader_other_than(first_leader);
  ASSERT_TRUE(simulation_.call(fleet::RetireBackend{"b", fleet::BackendState::kDraining}, 10s));
  const size_t leader = wait_for_leader();
  EXPECT_EQ(simulation_.state_of(leader).retired_state("b"), fleet::BackendState::kGone);
}

TEST_F(ControlScenario, ALowerVersionOfWeightsChangesNothing) {
  const size_t leader = wait_for_leader();
  ASSERT_TRUE(simulation_.call(fleet::SetTargetWeights{kModel, 3}, 10s));
  ASSERT_TRUE(simulation_.call(fleet::SetTargetWeights{kModel, 2}, 10s));
  EXPECT_EQ(simulation_.state_of(leader).weights().at(kModel), 3U);
}

TEST_F(ControlScenario, AWipedMemberNeverVotesUnderItsOldIdentity) {
  const size_t leader = wait_for_leader();
  const size_t wiped = (leader + 1) % 3;
  must_put(1);
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
  must_put(2);
  EXPECT_EQ(version_at(wait_for_leader()), 2U) << "what was acknowledged before is still there";
}

TEST_F(ControlScenario, ASecondMemberLostRightAfterARepairLosesNothing) {
  const size_t leader = wait_for_leader();
  must_put_up_to(1, 100);
  const size_t wiped = (leader + 1) % 3;
  const size_t second = (leader + 2) % 3;
  simulation_.member(wiped).wipe_disk();
  simulation_.member(wiped).start();
  ASSERT_TRUE(simulation_.wait_replaced(wiped));
  // The moment the repair is finished, a second machine is lost for good.
  simulation_.member(second).wipe_disk();
  simulation_.member(leader).crash(true);
  simulation_.member(leader).start();
  EXPECT_EQ(version_at(wait_for_leader()), 100U);
  must_put(101);
}

TEST_F(ControlScenario, AReplacedMemberIsListedOnceAndStays) {
  const size_t leader = wait_for_leader();
  const size_t wiped = (leader + 1) % 3;
  simulation_.member(wiped).wipe_disk();
  simulation_.member(wiped).start();
  ASSERT_TRUE(simulation_.wait_replaced(wiped));
  const consensus::MemberList repaired = simulation_.member(leader).core().replica().members();
  EXPECT_EQ(repaired.members.size(), 3U);
  simulation_.run_for(5s);
  const consensus::MemberList later = simulation_.member(leader).core().replica().members();
  ASSERT_EQ(later.members.size(), 3U);
  for (size_t position = 0; position < 3; ++position) {
    EXPECT_EQ(later.members[position].id, repaired.members[position].id);
    EXPECT_TRUE(later.members[position].voter);
  }
}

TEST_F(ControlScenario, AFollowerAheadOfTheLeadersSnapshotGoesOnFromItsOwnLog) {
  // The snapshot that the leader offers may be older than what the follower has committed.
  const size_t leader = wait_for_leader();
  const size_t follower = (leader + 1) % 3;
  must_put_up_to(1, 58);
  simulation_.cut_between(follower, leader);  // it hears the leader, but its answers are lost
  must_put_up_to(59, 70);
  EXPECT_GT(simulation_.member(leader).core().replica().snapshot_index(), 1U) << "no snapshot was taken";
  simulation_.heal_network();
  EXPECT_TRUE(simulation_.run_until([&] { return version_at(follower) == 70; }, 10s));
  must_put(71);
}

TEST_F(ControlScenario, AMemberThatMissedHundredsOfChangesCatchesUp) {
  const size_t leader = wait_for_leader();
  must_put(1);
  simulation_.run_for(2s);
  const size_t down = (leader + 1) % 3;
  simulation_.member(down).crash(false);
  must_put_up_to(2, 501);
  simulation_.member(down).start();
  EXPECT_TRUE(simulation_.run_until([&] { return version_at(down) == 501; }, 5s));
  EXPECT_EQ(simulation_.state_of(down).source(), simulation_.state_of(leader).source());
}

TEST_F(ControlScenario, ATornTailIsCutAndTheMemberGoesOn) {
  const size_t leader = wait_for_leader();
  must_put(1);
  const size_t torn = (leader + 1) % 3;
  for (int time = 0; time < 10; ++time) {
    // Kill it with writes under way, so that some of them are cut in the middle.
    simulation_.call(fleet::RetireBackend{"b" + std::to_string(time), fleet::BackendState::kGone}, 200ms);
    simulation_.member(torn).crash(true);
    simulation_.member(torn).start();
    ASSERT_EQ(simulation_.member(torn).start_error(), "");
    simulation_.run_for(500ms);
  }
  must_put(2);
}

TEST_F(ControlScenario, DamageBeforeTheTailStopsTheStartAndNamesThePlace) {
  const size_t leader = wait_for_leader();
  const size_t damaged = (leader + 1) % 3;
  must_put_up_to(1, 20);
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
  EXPECT_FALSE(simulation_.put(1, "document", 5s)) << "acknowledged without a majority on disk";
  EXPECT_FALSE(simulation_.member((leader + 1) % 3).running());
}

TEST_F(ControlScenario, NothingIsAcknowledgedWithoutAQuorum) {
  const size_t leader = wait_for_leader();
  simulation_.member((leader + 1) % 3).crash(false);
  simulation_.member((leader + 2) % 3).crash(false);
  EXPECT_FALSE(simulation_.call(fleet::RetireBackend{"b", fleet::BackendState::kGone}, 5s));
  EXPECT_FALSE(simulation_.put(1, "document", 5s));
}

TEST_F(ControlScenario, APlannedStopHandsLeadershipOver) {
  const size_t leader = wait_for_leader();
  must_put(1);
  simulation_.member(leader).run(
      [](control::ControlCore& core, TimePoint now) { core.replica().transfer_leadership(now); });
  const TimePoint asked_at = simulation_.events().now();
  wait_for_leader_other_than(leader);
  EXPECT_LT(simulation_.events().now() - asked_at, Duration(200ms))
      << "without waiting for an election timeout";
}

/// Member ids from the leader's member list; empty if there is no leader.
struct Membership {
  std::vector<consensus::MemberId> voters;
  std::vector<consensus::MemberId> learners;
  bool operator==(const Membership&) const = default;
};

Membership leader_membership(ControlSimulation& simulation) {
  Membership membership;
  const int leader = simulation.leader();
  if (leader < 0) {
    return membership;
  }
  const consensus::Replica& replica = simulation.member(static_cast<size_t>(leader)).core().replica();
  for (const consensus::Member& member : replica.members().members) {
    (member.voter ? membership.voters : membership.learners).push_back(member.id);
  }
  return membership;
}

// Guards against a stale join request that repeatedly re-adds the old identity of a replaced member.
TEST(ControlGrowth, AMemberWipedRightAfterJoiningIsReplacedOnceAndItsOldIdentityIsNotReadmitted) {
  for (uint64_t seed = 1; seed <= 20; ++seed) {
    ControlSimulationOptions options;
    options.seed = seed;
    options.random_faults = false;
    options.client_load = false;
    options.founders = 1;
    ControlSimulation simulation(options);
    ASSERT_TRUE(simulation.run_until([&] { return leader_membership(simulation).voters.size() == 3; }, 10s));
    ASSERT_TRUE(simulation.put(1, "document"));
    const size_t wiped = 1 + seed % 2;
    simulation.member(wiped).wipe_disk();
    simulation.member(wiped).start();
    ASSERT_TRUE(simulation.wait_replaced(wiped)) << "seed " << seed;
    const Membership after_replacement = leader_membership(simulation);
    const auto changed = [&] {
      const Membership current = leader_membership(simulation);
      return !current.voters.empty() && current != after_replacement;
    };
    EXPECT_FALSE(simulation.run_until(changed, 3s)) << "seed " << seed << ": the member list changed again";
    EXPECT_TRUE(simulation.violations().empty()) << simulation.violations().front();
  }
}

}  // namespace
}  // namespace stoat::simulation
