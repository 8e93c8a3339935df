/// Flow control toward a member on a slow connection.
#include "src/control/peer_flow_control.h"

#include <gtest/gtest.h>

namespace stoat {
namespace {

constexpr size_t kCongestedBytes = 64U << 20U;

TEST(PeerFlowControl, FullStateReplacesMissedUpdates) {
  control::PeerFlowControl feeds;
  EXPECT_TRUE(feeds.accepts_update("a", 0));
  EXPECT_FALSE(feeds.full_state_due("a", 0, 1s));
  EXPECT_FALSE(feeds.accepts_update("a", kCongestedBytes));
  EXPECT_FALSE(feeds.accepts_update("a", 0)) << "updates after a gap are of no use";
  EXPECT_TRUE(feeds.accepts_update("b", 0));
  EXPECT_FALSE(feeds.full_state_due("a", kCongestedBytes, 1s))
      << "it would only be queued behind the data that waits";
  EXPECT_TRUE(feeds.full_state_due("a", 0, 1s));
  feeds.on_full_state_sent("a", 1000, 1s);
  EXPECT_TRUE(feeds.accepts_update("a", 1000));
  EXPECT_FALSE(feeds.full_state_due("a", 0, 1s));
}

TEST(PeerFlowControl, RequestsMadeBeforeAFullStateArrivesAreIgnored) {
  control::PeerFlowControl feeds;
  feeds.on_full_state_request("a", 1s);
  EXPECT_TRUE(feeds.full_state_due("a", 0, 1s));
  feeds.on_full_state_sent("a", 2000000, 1s);
  feeds.on_full_state_request("a", 1s + 300ms);
  feeds.on_full_state_request("a", 3s);
  EXPECT_FALSE(feeds.full_state_due("a", 0, 3s));
  feeds.on_full_state_request("a", 4s);  // 3 s after sending its 2 MB, the full state counts as lost
  EXPECT_TRUE(feeds.full_state_due("a", 0, 4s));
}

TEST(PeerFlowControl, LargeFullStateLeavesRoomForUpdates) {
  control::PeerFlowControl feeds;
  feeds.on_full_state_sent("a", 8U << 20U, 1s);
  EXPECT_TRUE(feeds.accepts_update("a", 8U << 20U));
}

}  // namespace
}  // namespace stoat
