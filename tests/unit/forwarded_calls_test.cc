/// Calls that wait for a leader, and calls that were sent to a leader that failed.
#include "src/control/forwarded_calls.h"

#include <gtest/gtest.h>

namespace stoat {
namespace {

using control::ForwardedCalls;

wire::Message make_read(uint64_t token) { return fleet::ConfirmedRead{token}; }

TEST(ForwardedCalls, SendsACallToEachLeaderOnce) {
  ForwardedCalls calls;
  calls.on_leader("a", 1s);
  ASSERT_TRUE(calls.add(7, make_read(7), 1s));
  ASSERT_EQ(calls.take_due().size(), 1U);
  EXPECT_TRUE(calls.take_due().empty());
  calls.on_leader("", 1200ms);  // the leader has failed
  EXPECT_TRUE(calls.take_due().empty());
  calls.on_leader("b", 1600ms);
  ASSERT_EQ(calls.take_due().size(), 1U);
  calls.erase(7);
  calls.on_leader("c", 2s);
  EXPECT_TRUE(calls.take_due().empty());
}

TEST(ForwardedCalls, CallDuringAnElectionWaits) {
  ForwardedCalls calls;
  calls.on_leader("a", 1s);
  calls.on_leader("", 2s);
  EXPECT_TRUE(calls.add(7, make_read(7), 2300ms));
  EXPECT_TRUE(calls.expired_without_leader(3s).empty());
  EXPECT_EQ(calls.expired_without_leader(3300ms), std::vector<uint64_t>{7});
}

TEST(ForwardedCalls, RefusesCallsAtOnceWithoutALeaderForLongerThanAnElection) {
  ForwardedCalls calls;
  calls.on_leader("a", 1s);
  calls.on_leader("", 2s);
  EXPECT_FALSE(calls.add(7, make_read(7), 4s));
  EXPECT_FALSE(calls.contains(7));
}

}  // namespace
}  // namespace stoat
