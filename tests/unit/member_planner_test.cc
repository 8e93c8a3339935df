/// Changes of the member list: one at a time, and a new voter is added before an old one is removed.
#include "src/control/member_planner.h"

#include <gtest/gtest.h>

#include <algorithm>

#include "src/common/random.h"

namespace stoat::control {
namespace {

MemberView member_view(consensus::MemberId id, bool voter, bool caught_up, Duration silence,
                       const std::string& address = "") {
  MemberView entry;
  entry.member = {id, "n" + std::to_string(id), address.empty() ? "a" + std::to_string(id) : address, voter};
  entry.caught_up = caught_up;
  entry.silence = silence;
  return entry;
}

size_t count_voters(const consensus::MemberList& list) {
  return static_cast<size_t>(std::count_if(list.members.begin(), list.members.end(),
                                           [](const auto& member) { return member.voter; }));
}

bool contains(const consensus::MemberList& list, consensus::MemberId id) {
  return std::any_of(list.members.begin(), list.members.end(), [id](const auto& m) { return m.id == id; });
}

TEST(MemberPlanner, KeepsAHealthyList) {
  const std::vector<MemberView> current = {member_view(1, true, true, 0s), member_view(2, true, true, 1ms),
                                           member_view(3, true, true, 1ms)};
  EXPECT_FALSE(plan_members(current, {}, 3, {}));
}

TEST(MemberPlanner, AddsAJoiningMemberAsALearner) {
  const auto list = plan_members({member_view(1, true, true, 0s)}, {{2, "n2", "a2", true}}, 3, {});
  ASSERT_TRUE(list);
  EXPECT_EQ(count_voters(*list), 1U);
  EXPECT_TRUE(contains(*list, 2));
}

TEST(MemberPlanner, PromotesACaughtUpLearnerWhileVotersAreMissing) {
  const auto list =
      plan_members({member_view(1, true, true, 0s), member_view(2, false, true, 1ms)}, {}, 3, {});
  ASSERT_TRUE(list);
  EXPECT_EQ(count_voters(*list), 2U);
  EXPECT_FALSE(plan_members({member_view(1, true, true, 0s), member_view(2, false, false, 1ms)}, {}, 3, {}));
}

TEST(MemberPlanner, DoesNotExceedTheTargetWithoutAReason) {
  const std::vector<MemberView> current = {member_view(1, true, true, 0s), member_view(2, true, true, 1ms),
                                           member_view(3, true, true, 1ms), member_view(4, false, true, 1ms)};
  EXPECT_FALSE(plan_members(current, {}, 3, {}));
}

TEST(MemberPlanner, AddsAVoterBeforeRemovingASilentOne) {
  std::vector<MemberView> current = {member_view(1, true, true, 0s), member_view(2, true, true, 1ms),
                                     member_view(3, true, true, 2s), member_view(4, false, true, 1ms)};
  const auto with_added_voter = plan_members(current, {}, 3, {});
  ASSERT_TRUE(with_added_voter);
  EXPECT_EQ(count_voters(*with_added_voter), 4U);
  current[3].member.voter = true;
  const auto with_removed_voter = plan_members(current, {}, 3, {});
  ASSERT_TRUE(with_removed_voter);
  EXPECT_FALSE(contains(*with_removed_voter, 3));
  EXPECT_EQ(count_voters(*with_removed_voter), 3U);
}

TEST(MemberPlanner, KeepsASilentVoterWithoutAReplacement) {
  const std::vector<MemberView> current = {member_view(1, true, true, 0s), member_view(2, true, true, 1ms),
                                           member_view(3, true, true, 60s)};
  EXPECT_FALSE(plan_members(current, {}, 3, {}));
}

TEST(MemberPlanner, RemovesAVoterWithALostDiskFirst) {
  const std::vector<MemberView> current = {member_view(1, true, true, 0s), member_view(2, true, true, 3s),
                                           member_view(3, true, true, 2s, "same"),
                                           member_view(4, true, true, 1ms, "same")};
  const auto list = plan_members(current, {}, 3, {});
  ASSERT_TRUE(list);
  EXPECT_FALSE(contains(*list, 3));
}

/// With random members that fall silent and lose their disks, each plan changes one voter at most, never
/// drops below the target number of voters once it was reached, and planning ends in a stable list.
TEST(MemberPlanner, ChangesOneVoterAtATimeUntilStable) {
  for (uint64_t seed = 1; seed <= 500; ++seed) {
    Random random(seed);
    std::vector<MemberView> current;
    const size_t count = 3 + random.below(4);
    for (size_t id = 1; id <= count; ++id) {
      current.push_back(member_view(id, id <= 3, true, id == 1 ? 0us : Duration(random.below(4000) * 1000),
                                    "a" + std::to_string(1 + random.below(6))));
    }
    int steps = 0;
    for (; steps < 40; ++steps) {
      const auto list = plan_members(current, {}, 3, {});
      if (!list) {
        break;
      }
      const size_t before = static_cast<size_t>(
          std::count_if(current.begin(), current.end(), [](const MemberView& v) { return v.member.voter; }));
      const size_t after = count_voters(*list);
      EXPECT_LE(before > after ? before - after : after - before, 1U) << "seed " << seed;
      EXPECT_GE(after, 3U) << "seed " << seed;
      EXPECT_TRUE(contains(*list, 1)) << "the leader removed itself, seed " << seed;
      std::vector<MemberView> next;
      for (const auto& member : list->members) {
        const auto previous = std::find_if(current.begin(), current.end(),
                                           [&](const MemberView& v) { return v.member.id == member.id; });
        next.push_back(*previous);
        next.back().member = member;
      }
      current = next;
    }
    EXPECT_LT(steps, 40) << "seed " << seed;
  }
}

}  // namespace
}  // namespace stoat::control
