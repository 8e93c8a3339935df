/// Which control member a router chooses for its feed.
#include "src/gateway/feed_choice.h"

#include <gtest/gtest.h>

#include <map>

namespace stoat {
namespace {

using gateway::choose_feed_member;
using gateway::FeedCandidate;

using topology::Distance;

FeedCandidate member(const std::string& address, bool same_zone = false) {
  FeedCandidate candidate;
  candidate.address = address;
  candidate.distance = same_zone ? Distance::kSameZone : Distance::kSameRegion;
  candidate.connected = true;
  candidate.time_since_message = 100ms;
  candidate.leader_confirmation_age = 100ms;
  return candidate;
}

TEST(FeedChoice, PrefersAMemberInTheRoutersZone) {
  EXPECT_EQ(choose_feed_member({member("a"), member("b", true), member("c")}, "", "r1"), "b");
  EXPECT_EQ(choose_feed_member({member("a"), member("b", true), member("c")}, "a", "r1"), "b");
}

// Routers came back to an overloaded member as soon as it answered, each with another full state.
TEST(FeedChoice, StaysAwayForAWhileFromANearerMemberThatItHasLeft) {
  std::vector<FeedCandidate> members = {member("a"), member("b", true)};
  for (int i = 0; i < 50; ++i) {
    const std::string router = "r" + std::to_string(i);
    members[1].time_since_left = gateway::kMinReturnDelay - 1ms;
    EXPECT_EQ(choose_feed_member(members, "a", router), "a");
    members[1].time_since_left = gateway::kMinReturnDelay + gateway::kReturnSpread;
    EXPECT_EQ(choose_feed_member(members, "a", router), "b");
  }
}

TEST(FeedChoice, RoutersReturnSpreadOverTime) {
  std::vector<FeedCandidate> members = {member("a"), member("b", true)};
  members[1].time_since_left = gateway::kMinReturnDelay + gateway::kReturnSpread / 2;
  int returned = 0;
  for (int i = 0; i < 300; ++i) {
    returned += choose_feed_member(members, "a", "r" + std::to_string(i)) == "b" ? 1 : 0;
  }
  EXPECT_GT(returned, 100);
  EXPECT_LT(returned, 200);
}

TEST(FeedChoice, UsesAMemberThatItHasLeftIfThereIsNoOther) {
  std::vector<FeedCandidate> members = {member("a"), member("b", true)};
  members[0].connected = false;
  members[1].time_since_left = 10ms;
  EXPECT_EQ(choose_feed_member(members, "a", "r1"), "b");
}

// Routers took their feeds over the link between regions while a member of their region answered again.
TEST(FeedChoice, PrefersAMemberOfItsRegionThatItHasLeftToAnotherRegion) {
  std::vector<FeedCandidate> members = {member("a"), member("b", true)};
  members[0].distance = Distance::kOtherRegion;
  members[1].time_since_left = 10ms;
  EXPECT_EQ(choose_feed_member(members, "a", "r1"), "b");
}

// After a member's restart all routers of its zone stayed with the other one for good.
TEST(FeedChoice, RoutersOfARestartedMemberReturnToIt) {
  std::vector<FeedCandidate> members = {member("a", true), member("b", true)};
  int returned = 0;
  constexpr int kRouters = 300;
  for (int i = 0; i < kRouters; ++i) {
    const std::string router = "r" + std::to_string(i);
    if (choose_feed_member(members, "", router) != "b") {
      continue;
    }
    members[1].time_since_left = gateway::kMinReturnDelay + gateway::kReturnSpread;
    EXPECT_EQ(choose_feed_member(members, "a", router), "b");
    members[1].time_since_left = std::nullopt;
    ++returned;
  }
  EXPECT_GT(returned, kRouters / 3);
}

TEST(FeedChoice, LeavesAMemberThatIsSilentOrCutOffFromTheLeader) {
  std::vector<FeedCandidate> members = {member("a"), member("b", true)};
  members[1].time_since_message = gateway::kFeedTimeout + 1ms;
  EXPECT_EQ(choose_feed_member(members, "b", "r1"), "a");
  members[1].time_since_message = 100ms;
  members[1].leader_confirmation_age =
      gateway::kMaxLeaderConfirmationAge + 1ms;  // the member receives no leader's confirmation
  EXPECT_EQ(choose_feed_member(members, "b", "r1"), "a");
  members[0].connected = false;
  EXPECT_EQ(choose_feed_member(members, "b", "r1"), "b");
}

TEST(FeedChoice, KeepsTheCurrentMemberWithoutAReasonToChange) {
  std::vector<FeedCandidate> members = {member("a"), member("b"), member("c")};
  for (const char* current : {"a", "b", "c"}) {
    EXPECT_EQ(choose_feed_member(members, current, "r1"), current);
  }
  for (FeedCandidate& candidate : members) {
    candidate.leader_confirmation_age = std::nullopt;  // as during an election
  }
  EXPECT_EQ(choose_feed_member(members, "c", "r1"), "c");
}

TEST(FeedChoice, RoutersWithoutAMemberInTheirZoneSpreadOverAllMembers) {
  std::map<std::string, int> chosen;
  for (int i = 0; i < 300; ++i) {
    ++chosen[choose_feed_member({member("a"), member("b"), member("c")}, "", "r" + std::to_string(i))];
  }
  ASSERT_EQ(chosen.size(), 3U);
  for (const auto& [address, count] : chosen) {
    EXPECT_GT(count, 60) << address;
  }
}

TEST(FeedChoice, ZoneWithoutAMemberUsesOneOfItsRegion) {
  std::map<std::string, int> chosen;
  std::vector<FeedCandidate> members = {member("a"), member("b"), member("c"), member("d")};
  members[0].distance = Distance::kOtherRegion;
  members[1].distance = Distance::kOtherRegion;
  for (int i = 0; i < 300; ++i) {
    ++chosen[choose_feed_member(members, "", "r" + std::to_string(i))];
  }
  ASSERT_EQ(chosen.size(), 2U);
  EXPECT_GT(chosen["c"], 90);
  EXPECT_GT(chosen["d"], 90);
  // A member of the other region is used only while none of the router's own region is usable.
  members[2].connected = false;
  members[3].connected = false;
  const std::string other_region = choose_feed_member(members, "c", "r1");
  EXPECT_TRUE(other_region == "a" || other_region == "b") << other_region;
  members[2].connected = true;
  EXPECT_EQ(choose_feed_member(members, other_region, "r1"), "c");
}

TEST(FeedChoice, PrefersANearMemberThatHasJustStarted) {
  std::vector<FeedCandidate> members = {member("far"), member("near")};
  members[0].distance = Distance::kOtherRegion;
  members[1].leader_confirmation_age = std::nullopt;  // the leader was just elected in the other region
  members[1].time_since_connect = 300ms;
  EXPECT_EQ(choose_feed_member(members, "", "r1"), "near");
  EXPECT_EQ(choose_feed_member(members, "near", "r1"), "near");
  members[1].time_since_connect =
      gateway::kMaxLeaderConfirmationAge + 1ms;  // it should have a leader's confirmation by now
  EXPECT_EQ(choose_feed_member(members, "near", "r1"), "far");
}

TEST(FeedChoice, ChoosesNoMemberWhenNoneResponds) {
  FeedCandidate unresponsive = member("a");
  unresponsive.time_since_message = gateway::kOtherMemberTimeout + 1ms;
  EXPECT_EQ(choose_feed_member({unresponsive}, "", "r1"), "");
}

}  // namespace
}  // namespace stoat
