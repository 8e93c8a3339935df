/// Orders that move a service to another version, at three control members of which some fail.
#include "tests/support/fleet_members.h"

namespace stoat {
namespace {

using control::ResultCode;
using fleet::RolloutPhase;

constexpr int64_t kLongMs = 60000;
constexpr int64_t kShortMs = 3000;

class RolloutMembersTest : public test::MembersFixture {
 protected:
  /// Three members with a configuration that has service "s".
  void prepare() {
    start_all();
    fleet::PutConfiguration command = put(1);
    command.configuration.services.resize(1);
    command.configuration.services[0].name = "s";
    ASSERT_TRUE(eventually([&] { return members_[0]->commit(command); }));
    ASSERT_TRUE(eventually([&] { return members_[0]->voters() == 3; }));
  }
  bool order(size_t position, const std::string& version, int64_t duration_ms) {
    return eventually(
        [&] { return members_[position]->order_rollout(version, duration_ms) == ResultCode::kOk; });
  }
  size_t leader() {
    size_t found = 0;
    eventually([&] {
      for (auto& [position, member] : members_) {
        if (member->leads()) {
          found = position;
          return true;
        }
      }
      return false;
    });
    return found;
  }
  bool shows(size_t position, const std::string& version, RolloutPhase phase) {
    return eventually([&] {
      const auto rollout = members_[position]->rollout();
      return rollout && rollout->target_version == version && rollout->phase == phase;
    });
  }
};

TEST_F(RolloutMembersTest, TwoOperatorsAtTwoMembersOneOrderIsTaken) {
  prepare();
  ASSERT_TRUE(order(1, "v2", kLongMs));
  EXPECT_TRUE(eventually(
      [&] { return members_[2]->order_rollout("v3", kLongMs) == ResultCode::kRolloutInProgress; }));
  EXPECT_TRUE(order(2, "v2", kLongMs))
      << "the same order at another member, as when its acknowledgement was lost";
  EXPECT_TRUE(shows(0, "v2", RolloutPhase::kWaiting));
}

TEST_F(RolloutMembersTest, AnOrderOutlivesTheDiskThatAcknowledgedIt) {
  prepare();
  ASSERT_TRUE(order(1, "v2", kLongMs));
  members_.erase(1);
  std::filesystem::remove_all(folder(1));
  EXPECT_TRUE(shows(0, "v2", RolloutPhase::kWaiting));
  start(1, false);
  EXPECT_TRUE(shows(1, "v2", RolloutPhase::kWaiting));
}

TEST_F(RolloutMembersTest, AnotherLeaderEndsTheOrderByItsDeadline) {
  prepare();
  ASSERT_TRUE(order(0, "v2", kShortMs));
  const size_t gone = leader();
  members_.erase(gone);
  const size_t left = gone == 0 ? 1 : 0;
  EXPECT_TRUE(shows(left, "v2", RolloutPhase::kRolledBack)) << "no back end of the version came";
}

TEST_F(RolloutMembersTest, AllLosePowerAndTheOrderGoesOn) {
  prepare();
  ASSERT_TRUE(order(0, "v2", kShortMs));
  members_.clear();
  for (size_t position = 0; position < 3; ++position) {
    start(position, false);
  }
  EXPECT_TRUE(shows(2, "v2", RolloutPhase::kRolledBack));
  EXPECT_TRUE(order(2, "v2", kShortMs)) << "a late repeat of the order";
  EXPECT_TRUE(shows(2, "v2", RolloutPhase::kRolledBack));
}

TEST_F(RolloutMembersTest, WithoutAMajorityNothingIsToldOrTaken) {
  prepare();
  ASSERT_TRUE(order(0, "v2", kLongMs));
  members_.erase(1);
  members_.erase(2);
  std::this_thread::sleep_for(std::chrono::milliseconds(800));
  EXPECT_FALSE(members_[0]->rollout());
  EXPECT_EQ(members_[0]->order_rollout("v2", kLongMs), std::nullopt);
}

}  // namespace
}  // namespace stoat
