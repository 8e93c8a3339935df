/// Membership of control members: bootstrap, growth to the target number of voters, lost disks and members at
/// new addresses. Acknowledged writes must survive all of these.
#include "tests/support/fleet_members.h"

namespace stoat {
namespace {

using test::eventually;

using FleetMembersTest = test::MembersFixture;

TEST_F(FleetMembersTest, BootstrapsAndAcknowledgesOnlyWithEnoughVoters) {
  start(0, true);
  std::this_thread::sleep_for(std::chrono::milliseconds(600));
  EXPECT_FALSE(members_[0]->commit(put(1)));  // one voter of three: the loss of its disk would lose the write
  start(1, true);
  start(2, true);
  EXPECT_TRUE(commit_eventually(1, 2));  // also through a follower
  EXPECT_EQ(members_[0]->voters(), 3U);
  EXPECT_TRUE(eventually([&] { return members_[1]->read() == std::optional<std::string>("v1"); }));
}

TEST_F(FleetMembersTest, WriteDuringLeaderFailureIsAcknowledgedWithoutRetry) {
  start_all();
  ASSERT_TRUE(commit_eventually(1, 0));
  ASSERT_TRUE(eventually([&] { return members_[1]->voters() == 3 && members_[2]->voters() == 3; }));
  for (const size_t position : {0, 1, 2}) {
    if (members_.count(position) == 0 || !members_[position]->leads()) {
      continue;
    }
    members_.erase(position);
    break;
  }
  ASSERT_EQ(members_.size(), 2U);
  // The others have not noticed yet; the calls wait until one of them is elected.
  EXPECT_TRUE(members_.begin()->second->commit(put(2)));
  EXPECT_TRUE(members_.rbegin()->second->commit(put(3)));
}

TEST_F(FleetMembersTest, MemberThatLostItsDiskRejoins) {
  start_all();
  ASSERT_TRUE(commit_eventually(1, 0));
  members_.erase(1);
  std::filesystem::remove_all(folder(1));
  start(1, false);
  ASSERT_TRUE(commit_eventually(2, 1));
  ASSERT_TRUE(eventually([&] { return members_[1]->voters() == 3; }));
  // The disk of the rejoined member counts towards the quorum again: without the member that bootstrapped the
  // fleet, the other two continue with the complete state.
  std::this_thread::sleep_for(std::chrono::milliseconds(300));
  members_.erase(0);
  EXPECT_TRUE(eventually([&] { return members_[1]->read() == std::optional<std::string>("v2"); }));
  EXPECT_TRUE(commit_eventually(3, 2));
}

TEST_F(FleetMembersTest, MemberAtANewAddressReplacesALostOne) {
  start_all();
  ASSERT_TRUE(commit_eventually(1, 0));
  members_.erase(2);
  start(3, false);
  ASSERT_TRUE(eventually([&] { return members_[3]->read() == std::optional<std::string>("v1"); }));
  ASSERT_TRUE(eventually([&] { return members_[0]->voters() == 3; }));
  std::this_thread::sleep_for(std::chrono::milliseconds(2500));
  members_.erase(1);  // a second loss, after the first member was replaced
  EXPECT_TRUE(commit_eventually(2, 3));
}

TEST_F(FleetMembersTest, EmptyMembersDoNotBootstrapWithoutFirstStart) {
  for (size_t i = 0; i < 3; ++i) {
    start(i, false);
  }
  std::this_thread::sleep_for(std::chrono::milliseconds(800));
  EXPECT_FALSE(members_[0]->commit(put(1)));
  EXPECT_EQ(members_[0]->read(), std::nullopt);
}

TEST_F(FleetMembersTest, NextLeaderOrdersWeightsFromReplicatedSoftState) {
  // Regression test from runs with large fleets: when a leader failed, what it knew of engines and of
  // announced weight versions was lost.
  start_all();
  ASSERT_TRUE(commit_eventually(1, 0));
  fleet::BackendRecord engine;
  engine.id = "e1";
  engine.service = "models";
  engine.address = "127.0.0.1:1";
  engine.sequence = 1;
  engine.models = {{"m", 1}};
  members_[0]->heartbeat(engine);  // a single heartbeat, to one member
  ASSERT_TRUE(eventually([&] { return members_[0]->commit(fleet::SetTargetWeights{"m", 2}); }));
  const auto leader = [&]() -> std::optional<size_t> {
    for (auto& [position, member] : members_) {
      if (member->order_count() > 0) {
        return position;
      }
    }
    return std::nullopt;
  };
  ASSERT_TRUE(eventually([&] { return leader().has_value(); }));
  members_.erase(*leader());
  EXPECT_TRUE(eventually([&] { return leader().has_value(); }));
}

TEST_F(FleetMembersTest, AcknowledgedWritesSurviveARestartOfAllMembers) {
  start_all();
  for (uint64_t version = 1; version <= 25; ++version) {
    ASSERT_TRUE(commit_eventually(version, version % 3));
  }
  members_.clear();
  for (size_t i = 0; i < 3; ++i) {
    start(i, false);
  }
  EXPECT_TRUE(eventually([&] { return members_[2]->read() == std::optional<std::string>("v25"); }));
}

}  // namespace
}  // namespace stoat
