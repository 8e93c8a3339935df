// Failure scenarios of the control members, injected individually in the simulator.
#include <gtest/gtest.h>

#include "simulation/control_simulation.h"

namespace stoat::simulation {
namespace {

class ControlScenario : public testing::Test {
 protected:
  ControlScenario() : simulation_(options_without_faults()) {}

  static ControlSimulationOptions options_without_faults() {
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
    const auto has_other_leader = [&] {
      const int leader = simulation_.leader();
      return leader >= 0 && leader != static_cast<int>(position);
    };
    EXPECT_TRUE(simulation_.run_until(has_other_leader, 10s));
    return static_cast<size_t>(simulation_.leader());
  }

  void expect_put(uint64_t version, const std::string& source = "document") {
    EXPECT_TRUE(simulation_.put(version, source)) << "version " << version << " was not acknowledged";
  }

  void expect_put_range(uint64_t first, uint64_t last) {
    for (uint64_t version = first; version <= last; ++version) {
      expect_put(version, "document-" + std::to_string(version));
    }
  }

  uint64_t version_at(size_t position) { return simulation_.state_of(position).configuration().version; }

  void TearDown() override {
    EXPECT_TRUE(simulation_.violations().empty()) << simulation_.violations().front();
  }

  ControlSimulation simulation_;
};

TEST_F(ControlScenario, KilledLeaderIsReplacedWithoutLosingAcknowledgedChanges) {
  wait_for_leader();
  expect_put(1);
  const size_t killed = wait_for_leader();
  simulation_.member(killed).crash(true);
  wait_for_leader_other_than(killed);
  expect_put(2);
  simulation_.member(killed).start();
  simulation_.run_for(2s);
  EXPECT_EQ(version_at(killed), 2U);
}

TEST_F(ControlScenario, PausedLeaderThatResumesCommitsNothing) {
  const size_t paused = wait_for_leader();
  simulation_.member(paused).pause();
  wait_for_leader_other_than(paused);
  expect_put(1, "in force");
  simulation_.member(paused).resume();
  // Call the resumed member directly, while it may still consider itself the leader.
  simulation_.member(paused).run([](control::ControlCore& core, TimePoint now) {
    core.propose_command(999999, make_configuration(1, "of the paused leader"), now);
  });
  simulation_.run_for(3s);
  for (size_t position = 0; position < simulation_.member_count(); ++position) {
    EXPECT_EQ(simulation_.state_of(position).source(), "in force");
  }
}

TEST_F(ControlScenario, IsolatedMemberCatchesUpOnceTheNetworkHeals) {
  const size_t isolated = wait_for_leader();
  expect_put(1);
  simulation_.run_for(2s);
  simulation_.isolate(isolated);
  wait_for_leader_other_than(isolated);
  expect_put(2);
  EXPECT_EQ(version_at(isolated), 1U);
  simulation_.heal_network();
  EXPECT_TRUE(simulation_.run_until([&] { return version_at(isolated) == 2; }, 10s));
}

TEST_F(ControlScenario, IsolatedLeaderConfirmsNoRead) {
  const size_t isolated = wait_for_leader();
  expect_put(1);
  simulation_.isolate(isolated);
  EXPECT_FALSE(simulation_.member(isolated).core().replica().request_read(1, simulation_.events().now()) &&
               !simulation_.member(isolated).core().take_output().confirmed_reads.empty());
  simulation_.run_for(2s);
  EXPECT_FALSE(simulation_.member(isolated).core().replica().leads())
      << "a leader without contact to a majority must step down";
}

TEST_F(ControlScenario, LeaderWhoseOutgoingLinksAreCutIsReplaced) {
  const size_t leader = wait_for_leader();
  const size_t other = (leader + 1) % 3;
  const size_t third = (leader + 2) % 3;
  // The leader receives all messages, but none of its own arrives.
  simulation_.cut_link(leader, other);
  simulation_.cut_link(leader, third);
  wait_for_leader_other_than(leader);
  expect_put(1);
}

TEST_F(ControlScenario, ConcurrentPutsOfOneVersionApplyTheSameDocumentEverywhere) {
  wait_for_leader();
  expect_put(1, "one");
  expect_put(1, "two");
  simulation_.run_for(1s);
  for (size_t position = 0; position < simulation_.member_count(); ++position) {
    EXPECT_EQ(simulation_.state_of(position).source(), "one");
  }
}

TEST_F(ControlScenario, ResentPutAfterLeaderChangeAndRestartChangesNothing) {
  const size_t first_leader = wait_for_leader();
  expect_put(1, "one");
  expect_put(2, "two");
  simulation_.member(first_leader).crash(false);
  wait_for_leader_other_than(first_leader);
  expect_put(1, "one");
  for (size_t position = 0; position < 3; ++position) {
    simulation_.member(position).crash(false);
  }
  for (size_t position = 0; position < 3; ++position) {
    simulation_.member(position).start();
  }
  wait_for_leader();
  expect_put(1, "one");
  simulation_.run_for(1s);
  for (size_t position = 0; position < 3; ++position) {
    EXPECT_EQ(version_at(position), 2U);
    EXPECT_EQ(simulation_.state_of(position).source(), "two");
  }
}

TEST_F(ControlScenario, AcknowledgedRetirementSurvivesLeaderChangeAndResendOfAnEarlierState) {
  const size_t first_leader = wait_for_leader();
  ASSERT_TRUE(simulation_.call(fleet::RetireBackend{"b", fleet::BackendState::kGone}, 10s));
  simulation_.member(first_leader).crash(false);
  wait_for_leader_other_than(first_leader);
  ASSERT_TRUE(simulation_.call(fleet::RetireBackend{"b", fleet::BackendState::kDraining}, 10s));
  const size_t leader = wait_for_leader();
  EXPECT_EQ(simulation_.state_of(leader).retired_state("b"), fleet::BackendState::kGone);
}

TEST_F(ControlScenario, LowerWeightsVersionChangesNothing) {
  const size_t leader = wait_for_leader();
  ASSERT_TRUE(simulation_.call(fleet::SetTargetWeights{kModel, 3}, 10s));
  ASSERT_TRUE(simulation_.call(fleet::SetTargetWeights{kModel, 2}, 10s));
  EXPECT_EQ(simulation_.state_of(leader).weights().at(kModel), 3U);
}

TEST_F(ControlScenario, WipedMemberNeverVotesUnderItsOldIdentity) {
  const size_t leader = wait_for_leader();
  const size_t wiped = (leader + 1) % 3;
  expect_put(1);
  const consensus::MemberId old_identity = simulation_.member(wiped).id();
  simulation_.member(wiped).wipe_disk();
  simulation_.member(wiped).start();
  EXPECT_NE(simulation_.member(wiped).id(), old_identity);
  EXPECT_FALSE(simulation_.member(wiped).core().replica().is_voter());
  // With the leader down too, the wiped member and the one intact member must not form a majority.
  simulation_.member(leader).crash(false);
  simulation_.run_for(5s);
  EXPECT_LT(simulation_.leader(), 0) << "a member that lost its vote on disk was counted towards a majority";
  simulation_.member(leader).start();
  wait_for_leader();
  expect_put(2);
  EXPECT_EQ(version_at(wait_for_leader()), 2U) << "an acknowledged configuration was lost";
}

TEST_F(ControlScenario, LossOfASecondDiskRightAfterAReplacementLosesNothing) {
  const size_t leader = wait_for_leader();
  expect_put_range(1, 100);
  const size_t wiped = (leader + 1) % 3;
  const size_t second_wiped = (leader + 2) % 3;
  simulation_.member(wiped).wipe_disk();
  simulation_.member(wiped).start();
  ASSERT_TRUE(simulation_.wait_until_replaced(wiped));
  // As soon as the replacement is complete, a second member loses its disk.
  simulation_.member(second_wiped).wipe_disk();
  simulation_.member(leader).crash(true);
  simulation_.member(leader).start();
  EXPECT_EQ(version_at(wait_for_leader()), 100U);
  expect_put(101);
}

TEST_F(ControlScenario, ReplacedMemberIsListedOnceAndRemains) {
  const size_t leader = wait_for_leader();
  const size_t wiped = (leader + 1) % 3;
  simulation_.member(wiped).wipe_disk();
  simulation_.member(wiped).start();
  ASSERT_TRUE(simulation_.wait_until_replaced(wiped));
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

TEST_F(ControlScenario, FollowerAheadOfTheLeadersSnapshotContinuesFromItsOwnLog) {
  // The leader may offer a snapshot that is older than what the follower has already committed.
  const size_t leader = wait_for_leader();
  const size_t follower = (leader + 1) % 3;
  expect_put_range(1, 58);
  simulation_.cut_link(follower, leader);  // it receives the leader's messages, but its replies are lost
  expect_put_range(59, 70);
  EXPECT_GT(simulation_.member(leader).core().replica().snapshot_index(), 1U) << "no snapshot was taken";
  simulation_.heal_network();
  EXPECT_TRUE(simulation_.run_until([&] { return version_at(follower) == 70; }, 10s));
  expect_put(71);
}

TEST_F(ControlScenario, MemberThatMissedHundredsOfChangesCatchesUp) {
  const size_t leader = wait_for_leader();
  expect_put(1);
  simulation_.run_for(2s);
  const size_t down = (leader + 1) % 3;
  simulation_.member(down).crash(false);
  expect_put_range(2, 501);
  simulation_.member(down).start();
  EXPECT_TRUE(simulation_.run_until([&] { return version_at(down) == 501; }, 5s));
  EXPECT_EQ(simulation_.state_of(down).source(), simulation_.state_of(leader).source());
}

TEST_F(ControlScenario, TornLogTailIsTruncatedAndTheMemberContinues) {
  const size_t leader = wait_for_leader();
  expect_put(1);
  const size_t torn = (leader + 1) % 3;
  for (int round = 0; round < 10; ++round) {
    // Crash the member while writes are in progress, so that some of them are torn.
    simulation_.call(fleet::RetireBackend{"b" + std::to_string(round), fleet::BackendState::kGone}, 200ms);
    simulation_.member(torn).crash(true);
    simulation_.member(torn).start();
    ASSERT_EQ(simulation_.member(torn).start_error(), "");
    simulation_.run_for(500ms);
  }
  expect_put(2);
}

TEST_F(ControlScenario, CorruptionBeforeTheLogTailFailsTheStartAndNamesTheOffset) {
  const size_t leader = wait_for_leader();
  const size_t damaged = (leader + 1) % 3;
  expect_put_range(1, 20);
  simulation_.run_for(1s);
  simulation_.member(damaged).crash(false);
  ASSERT_TRUE(simulation_.member(damaged).disk().flip_bit("log", 20));
  simulation_.member(damaged).start();
  EXPECT_FALSE(simulation_.member(damaged).running());
  EXPECT_NE(simulation_.member(damaged).start_error().find("log: offset 17"), std::string::npos)
      << simulation_.member(damaged).start_error();
}

TEST_F(ControlScenario, MemberWithAFailingDiskStopsBeforeAcknowledging) {
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

TEST_F(ControlScenario, PlannedStopTransfersLeadership) {
  const size_t leader = wait_for_leader();
  expect_put(1);
  simulation_.member(leader).run(
      [](control::ControlCore& core, TimePoint now) { core.replica().transfer_leadership(now); });
  const TimePoint requested_at = simulation_.events().now();
  wait_for_leader_other_than(leader);
  EXPECT_LT(simulation_.events().now() - requested_at, Duration(200ms))
      << "leadership transfer must not wait for an election timeout";
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
TEST(ControlMembership, AMemberWipedRightAfterJoiningIsReplacedOnceAndItsOldIdentityIsNotReadmitted) {
  for (uint64_t seed = 1; seed <= 20; ++seed) {
    ControlSimulationOptions options;
    options.seed = seed;
    options.random_faults = false;
    options.client_load = false;
    options.initial_voters = 1;
    ControlSimulation simulation(options);
    ASSERT_TRUE(simulation.run_until([&] { return leader_membership(simulation).voters.size() == 3; }, 10s));
    ASSERT_TRUE(simulation.put(1, "document"));
    const size_t wiped = 1 + seed % 2;
    simulation.member(wiped).wipe_disk();
    simulation.member(wiped).start();
    ASSERT_TRUE(simulation.wait_until_replaced(wiped)) << "seed " << seed;
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
