/// The planner of the member list: one change at a time, a new voter before an old one goes.
#include "src/control/member_planner.h"

#include <gtest/gtest.h>

#include <algorithm>

#include "src/common/random.h"

namespace stoat::control {
namespace {

MemberView view(consensus::MemberId id, bool voter, bool caught_up, Duration silence,
                const std::string& address = "") {
  MemberView entry;
  entry.member = {id, "n" + std::to_string(id), address.empty() ? "a" + std::to_string(id) : address, voter};
  entry.caught_up = caught_up;
  entry.silence = silence;
  return entry;
}

size_t voters(const consensus::MemberList& list) {
  return static_cast<size_t>(std::count_if(list.members.begin(), list.members.end(),
                                           [](const auto& member) { return member.voter; }));
}

bool has(const consensus::MemberList& list, consensus::MemberId id) {
  return std::any_of(list.members.begin(), list.members.end(), [id](const auto& m) { return m.id == id; });
}

TEST(MemberPlanner, LeavesAHealthyListAlone) {
  const std::vector<MemberView> present = {view(1, true, true, 0s), view(2, true, true, 1ms),
                                           view(3, true, true, 1ms)};
  EXPECT_FALSE(plan_members(present, {}, 3, {}));
}

TEST(MemberPlanner, TakesANewcomerInAsALearner) {
  const auto list = plan_members({view(1, true, true, 0s)}, {{2, "n2", "a2", true}}, 3, {});
  ASSERT_TRUE(list);
  EXPECT_EQ(voters(*list), 1U);
  EXPECT_TRUE(has(*list, 2));
}

TEST(MemberPlanner, MakesACaughtUpLearnerAVoterWhileVotersAreMissing) {
  const auto list = plan_members({view(1, true, true, 0s), view(2, false, true, 1ms)}, {}, 3, {});
  ASSERT_TRUE(list);
  EXPECT_EQ(voters(*list), 2U);
  EXPECT_FALSE(plan_members({view(1, true, true, 0s), view(2, false, false, 1ms)}, {}, 3, {}));
}

TEST(MemberPlanner, NeverHasMoreVotersThanWantedWithoutAReason) {
  const std::vector<MemberView> present = {view(1, true, true, 0s), view(2, true, true, 1ms),
                                           view(3, true, true, 1ms), view(4, false, true, 1ms)};
  EXPECT_FALSE(plan_members(present, {}, 3, {}));
}

TEST(MemberPlanner, ReplacesASilentVoterByAddingFirst) {
  std::vector<MemberView> present = {view(1, true, true, 0s), view(2, true, true, 1ms),
                                     view(3, true, true, 2s), view(4, false, true, 1ms)};
  const auto grown = plan_members(present, {}, 3, {});
  ASSERT_TRUE(grown);
  EXPECT_EQ(voters(*grown), 4U);
  present[3].member.voter = true;
  const auto shrunk = plan_members(present, {}, 3, {});
  ASSERT_TRUE(shrunk);
  EXPECT_FALSE(has(*shrunk, 3));
  EXPECT_EQ(voters(*shrunk), 3U);
}

TEST(MemberPlanner, ASilentVoterStaysWhileNobodyCanReplaceIt) {
  const std::vector<MemberView> present = {view(1, true, true, 0s), view(2, true, true, 1ms),
                                           view(3, true, true, 60s)};
  EXPECT_FALSE(plan_members(present, {}, 3, {}));
}

TEST(MemberPlanner, AVoterWhoseDiskWasLostGoesFirst) {
  const std::vector<MemberView> present = {view(1, true, true, 0s), view(2, true, true, 3s),
                                           view(3, true, true, 2s, "same"), view(4, true, true, 1ms, "same")};
  const auto list = plan_members(present, {}, 3, {});
  ASSERT_TRUE(list);
  EXPECT_FALSE(has(*list, 3));
}

/// Whatever members come, fall silent and lose their disks: each plan changes one voter at most, never drops
/// below the wanted number of voters once it was reached, and comes to rest.
TEST(MemberPlanner, ChangesOneVoterAtATimeAndComesToRest) {
  for (uint64_t seed = 1; seed <= 500; ++seed) {
    Random random(seed);
    std::vector<MemberView> present;
    const size_t count = 3 + random.below(4);
    for (size_t id = 1; id <= count; ++id) {
      present.push_back(view(id, id <= 3, true, id == 1 ? 0us : Duration(random.below(4000) * 1000),
                             "a" + std::to_string(1 + random.below(6))));
    }
    int steps = 0;
    for (; steps < 40; ++steps) {
      const auto list = plan_members(present, {}, 3, {});
      if (!list) {
        break;
      }
      const size_t before = static_cast<size_t>(
          std::count_if(present.begin(), present.end(), [](const MemberView& v) { return v.member.voter; }));
      const size_t after = voters(*list);
      EXPECT_LE(before > after ? before - after : after - before, 1U) << "seed " << seed;
      EXPECT_GE(after, 3U) << "seed " << seed;
      EXPECT_TRUE(has(*list, 1)) << "the leader removed itself, seed " << seed;
      std::vector<MemberView> next;
      for (const auto& member : list->members) {
        const auto old = std::find_if(present.begin(), present.end(),
                                      [&](const MemberView& v) { return v.member.id == member.id; });
        next.push_back(*old);
        next.back().member = member;
      }
      present = next;
    }
    EXPECT_LT(steps, 40) << "seed " << seed;
  }
}

}  // namespace
}  // namespace stoat::control
