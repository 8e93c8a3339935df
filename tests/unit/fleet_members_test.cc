/// Control members that keep themselves: founding, growing to the wanted number of voters, lost disks,
/// members at new addresses, and what was acknowledged through all of it.
#include "tests/support/fleet_members.h"

namespace stoat {
namespace {

using FleetMembersTest = test::MembersFixture;

TEST_F(FleetMembersTest, FoundsAndAcknowledgesOnlyOnEnoughDisks) {
  start(0, true);
  std::this_thread::sleep_for(std::chrono::milliseconds(600));
  EXPECT_FALSE(members_[0]->commit(put(1)));  // one voter of three: a lost disk would lose it
  start(1, true);
  start(2, true);
  EXPECT_TRUE(commit_eventually(1, 2));  // through a follower as well
  EXPECT_EQ(members_[0]->voters(), 3U);
  EXPECT_TRUE(eventually([&] { return members_[1]->read() == std::optional<std::string>("v1"); }));
}

TEST_F(FleetMembersTest, AWriteThatComesWhenTheLeaderHasDiedIsAcknowledgedAtTheFirstAttempt) {
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
  // The others have not noticed yet; the call waits for the one that is elected.
  EXPECT_TRUE(members_.begin()->second->commit(put(2)));
  EXPECT_TRUE(members_.rbegin()->second->commit(put(3)));
}

TEST_F(FleetMembersTest, AMemberThatLostItsDiskTakesItsOwnPlaceAgain) {
  start_all();
  ASSERT_TRUE(commit_eventually(1, 0));
  members_.erase(1);
  std::filesystem::remove_all(folder(1));
  start(1, false);
  ASSERT_TRUE(commit_eventually(2, 1));
  ASSERT_TRUE(eventually([&] { return members_[1]->voters() == 3; }));
  // Its disk counts again: with the founder gone the other two go on, and know all.
  std::this_thread::sleep_for(std::chrono::milliseconds(300));
  members_.erase(0);
  EXPECT_TRUE(eventually([&] { return members_[1]->read() == std::optional<std::string>("v2"); }));
  EXPECT_TRUE(commit_eventually(3, 2));
}

TEST_F(FleetMembersTest, AMemberAtANewAddressReplacesOneThatIsGone) {
  start_all();
  ASSERT_TRUE(commit_eventually(1, 0));
  members_.erase(2);
  start(3, false);
  ASSERT_TRUE(eventually([&] { return members_[3]->read() == std::optional<std::string>("v1"); }));
  ASSERT_TRUE(eventually([&] { return members_[0]->voters() == 3; }));
  std::this_thread::sleep_for(std::chrono::milliseconds(2500));
  members_.erase(1);  // a second loss, after the repair
  EXPECT_TRUE(commit_eventually(2, 3));
}

TEST_F(FleetMembersTest, ABlankFleetThatDoesNotStartForTheFirstTimeFoundsNothing) {
  for (size_t i = 0; i < 3; ++i) {
    start(i, false);
  }
  std::this_thread::sleep_for(std::chrono::milliseconds(800));
  EXPECT_FALSE(members_[0]->commit(put(1)));
  EXPECT_EQ(members_[0]->read(), std::nullopt);
}

TEST_F(FleetMembersTest, TheNextLeaderOrdersWeightsFromWhatAllMembersKnow) {
  // Found on the large fleets: what the leader knew of engines and of the naming of weights went with it.
  start_all();
  ASSERT_TRUE(commit_eventually(1, 0));
  fleet::BackendRecord engine;
  engine.id = "e1";
  engine.service = "models";
  engine.address = "127.0.0.1:1";
  engine.sequence = 1;
  engine.models = {{"m", 1}};
  members_[0]->heartbeat(engine);  // the only one, and to one member only
  ASSERT_TRUE(eventually([&] { return members_[0]->commit(fleet::SetTargetWeights{"m", 2}); }));
  const auto leader = [&]() -> std::optional<size_t> {
    for (auto& [position, member] : members_) {
      if (member->orders() > 0) {
        return position;
      }
    }
    return std::nullopt;
  };
  ASSERT_TRUE(eventually([&] { return leader().has_value(); }));
  members_.erase(*leader());
  EXPECT_TRUE(eventually([&] { return leader().has_value(); }));
}

TEST_F(FleetMembersTest, AllThatWasAcknowledgedOutlivesALossOfPowerOfAll) {
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
