/// What another member is sent over a slow connection.
#include "src/control/peer_flow_control.h"

#include <gtest/gtest.h>

namespace stoat {
namespace {

constexpr size_t kFull = 64U << 20U;

TEST(PeerFlowControl, NewsThatWereMissedAreMadeUpForByAWhole) {
  control::PeerFlowControl feeds;
  EXPECT_TRUE(feeds.accepts_update("a", 0));
  EXPECT_FALSE(feeds.full_state_due("a", 0, 1s));
  EXPECT_FALSE(feeds.accepts_update("a", kFull));
  EXPECT_FALSE(feeds.accepts_update("a", 0)) << "what comes after a gap is of no use";
  EXPECT_TRUE(feeds.accepts_update("b", 0));
  EXPECT_FALSE(feeds.full_state_due("a", kFull, 1s)) << "while much waits it would only wait as well";
  EXPECT_TRUE(feeds.full_state_due("a", 0, 1s));
  feeds.on_full_state_sent("a", 1000, 1s);
  EXPECT_TRUE(feeds.accepts_update("a", 1000));
  EXPECT_FALSE(feeds.full_state_due("a", 0, 1s));
}

TEST(PeerFlowControl, QuestionsThatCrossAWholeOnItsWayGetNoSecondOne) {
  control::PeerFlowControl feeds;
  feeds.on_request("a", 1s);
  EXPECT_TRUE(feeds.full_state_due("a", 0, 1s));
  feeds.on_full_state_sent("a", 2000000, 1s);
  feeds.on_request("a", 1s + 300ms);
  feeds.on_request("a", 3s);
  EXPECT_FALSE(feeds.full_state_due("a", 0, 3s));
  feeds.on_request("a", 4s);  // it had 3 s for 2 MB: the whole was lost
  EXPECT_TRUE(feeds.full_state_due("a", 0, 4s));
}

TEST(PeerFlowControl, ALargeWholeLeavesRoomForNewsBehindIt) {
  control::PeerFlowControl feeds;
  feeds.on_full_state_sent("a", 8U << 20U, 1s);
  EXPECT_TRUE(feeds.accepts_update("a", 8U << 20U));
}

}  // namespace
}  // namespace stoat
