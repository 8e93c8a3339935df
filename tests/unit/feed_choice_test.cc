/// Which control member a router takes its feed from.
#include "src/gateway/feed_choice.h"

#include <gtest/gtest.h>

#include <map>

namespace stoat {
namespace {

using gateway::choose_feed;
using gateway::MemberView;

using topology::Distance;

MemberView member(const std::string& address, bool same_zone = false) {
  MemberView view;
  view.address = address;
  view.distance = same_zone ? Distance::kSameZone : Distance::kSameRegion;
  view.connected = true;
  view.silence = 100ms;
  view.vouched = 100ms;
  return view;
}

TEST(FeedChoice, TheMemberOfTheOwnZoneComesFirst) {
  EXPECT_EQ(choose_feed({member("a"), member("b", true), member("c")}, "", "r1"), "b");
  EXPECT_EQ(choose_feed({member("a"), member("b", true), member("c")}, "a", "r1"), "b");
}

TEST(FeedChoice, ASilentOrCutOffMemberIsLeft) {
  std::vector<MemberView> members = {member("a"), member("b", true)};
  members[1].silence = gateway::kFeedSilence + 1ms;
  EXPECT_EQ(choose_feed(members, "b", "r1"), "a");
  members[1].silence = 100ms;
  members[1].vouched = gateway::kVouchLimit + 1ms;  // it hears no leader
  EXPECT_EQ(choose_feed(members, "b", "r1"), "a");
  members[0].connected = false;
  EXPECT_EQ(choose_feed(members, "b", "r1"), "b");
}

TEST(FeedChoice, StaysWithoutAReasonToChange) {
  std::vector<MemberView> members = {member("a"), member("b"), member("c")};
  for (const char* present : {"a", "b", "c"}) {
    EXPECT_EQ(choose_feed(members, present, "r1"), present);
  }
  for (MemberView& view : members) {
    view.vouched = std::nullopt;  // as during an election
  }
  EXPECT_EQ(choose_feed(members, "c", "r1"), "c");
}

TEST(FeedChoice, RoutersWithoutAMemberInTheirZoneSpread) {
  std::map<std::string, int> chosen;
  for (int i = 0; i < 300; ++i) {
    ++chosen[choose_feed({member("a"), member("b"), member("c")}, "", "r" + std::to_string(i))];
  }
  ASSERT_EQ(chosen.size(), 3U);
  for (const auto& [address, count] : chosen) {
    EXPECT_GT(count, 60) << address;
  }
}

TEST(FeedChoice, AZoneWithoutAMemberTakesOneOfItsRegion) {
  std::map<std::string, int> chosen;
  std::vector<MemberView> members = {member("a"), member("b"), member("c"), member("d")};
  members[0].distance = Distance::kOtherRegion;
  members[1].distance = Distance::kOtherRegion;
  for (int i = 0; i < 300; ++i) {
    ++chosen[choose_feed(members, "", "r" + std::to_string(i))];
  }
  ASSERT_EQ(chosen.size(), 2U);
  EXPECT_GT(chosen["c"], 90);
  EXPECT_GT(chosen["d"], 90);
  // One of the other region serves only while none of the own one does, and is left then.
  members[2].connected = false;
  members[3].connected = false;
  const std::string far = choose_feed(members, "c", "r1");
  EXPECT_TRUE(far == "a" || far == "b") << far;
  members[2].connected = true;
  EXPECT_EQ(choose_feed(members, far, "r1"), "c");
}

TEST(FeedChoice, ANearMemberThatHasJustStartedIsWaitedFor) {
  std::vector<MemberView> members = {member("far"), member("near")};
  members[0].distance = Distance::kOtherRegion;
  members[1].vouched = std::nullopt;  // the leader was elected in the other region, a moment ago
  members[1].known = 300ms;
  EXPECT_EQ(choose_feed(members, "", "r1"), "near");
  EXPECT_EQ(choose_feed(members, "near", "r1"), "near");
  members[1].known = gateway::kVouchLimit + 1ms;  // it should have heard of a leader by now
  EXPECT_EQ(choose_feed(members, "near", "r1"), "far");
}

TEST(FeedChoice, NobodyHeardNobodyChosen) {
  MemberView deaf = member("a");
  deaf.silence = gateway::kOtherSilence + 1ms;
  EXPECT_EQ(choose_feed({deaf}, "", "r1"), "");
}

}  // namespace
}  // namespace stoat
