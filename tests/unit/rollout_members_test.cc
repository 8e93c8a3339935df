/// Rollout orders at three control members, some of which fail.
#include "tests/support/fleet_members.h"

namespace stoat {
namespace {

using test::eventually;

using control::ResultCode;
using fleet::RolloutPhase;

constexpr int64_t kLongDurationMs = 60000;
constexpr int64_t kShortDurationMs = 3000;

class RolloutMembersTest : public test::MembersFixture {
 protected:
  /// Starts three members with a configuration that contains the service "s".
  void start_members_with_service() {
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
  bool rollout_reaches(size_t position, const std::string& version, RolloutPhase phase) {
    return eventually([&] {
      const auto rollout = members_[position]->rollout();
      return rollout && rollout->target_version == version && rollout->phase == phase;
    });
  }
};

TEST_F(RolloutMembersTest, OnlyOneOfTwoConflictingOrdersIsAccepted) {
  start_members_with_service();
  ASSERT_TRUE(order(1, "v2", kLongDurationMs));
  EXPECT_TRUE(eventually(
      [&] { return members_[2]->order_rollout("v3", kLongDurationMs) == ResultCode::kRolloutInProgress; }));
  EXPECT_TRUE(order(2, "v2", kLongDurationMs))
      << "a retry at another member, as after a lost acknowledgement";
  EXPECT_TRUE(rollout_reaches(0, "v2", RolloutPhase::kWaiting));
}

TEST_F(RolloutMembersTest, OrderSurvivesLossOfTheAcknowledgingDisk) {
  start_members_with_service();
  ASSERT_TRUE(order(1, "v2", kLongDurationMs));
  members_.erase(1);
  std::filesystem::remove_all(folder(1));
  EXPECT_TRUE(rollout_reaches(0, "v2", RolloutPhase::kWaiting));
  start(1, false);
  EXPECT_TRUE(rollout_reaches(1, "v2", RolloutPhase::kWaiting));
}

TEST_F(RolloutMembersTest, NewLeaderFinishesTheOrderByItsDeadline) {
  start_members_with_service();
  ASSERT_TRUE(order(0, "v2", kShortDurationMs));
  const size_t gone = leader();
  members_.erase(gone);
  const size_t left = gone == 0 ? 1 : 0;
  EXPECT_TRUE(rollout_reaches(left, "v2", RolloutPhase::kRolledBack))
      << "no backend of the version became available";
}

TEST_F(RolloutMembersTest, OrderSurvivesAPowerLossOfAllMembers) {
  start_members_with_service();
  ASSERT_TRUE(order(0, "v2", kShortDurationMs));
  members_.clear();
  for (size_t position = 0; position < 3; ++position) {
    start(position, false);
  }
  EXPECT_TRUE(rollout_reaches(2, "v2", RolloutPhase::kRolledBack));
  EXPECT_TRUE(order(2, "v2", kShortDurationMs)) << "a late retry of the order";
  EXPECT_TRUE(rollout_reaches(2, "v2", RolloutPhase::kRolledBack));
}

TEST_F(RolloutMembersTest, NoReadsOrOrdersWithoutAQuorum) {
  start_members_with_service();
  ASSERT_TRUE(order(0, "v2", kLongDurationMs));
  members_.erase(1);
  members_.erase(2);
  std::this_thread::sleep_for(std::chrono::milliseconds(800));
  EXPECT_FALSE(members_[0]->rollout());
  EXPECT_EQ(members_[0]->order_rollout("v2", kLongDurationMs), std::nullopt);
}

}  // namespace
}  // namespace stoat
