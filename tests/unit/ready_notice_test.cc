/// How soon the control plane learns that a router is ready.
#include "tests/support/small_fleet.h"

namespace stoat {
namespace {

/// Interval of periodic statuses. Longer than the test, so that the control plane can learn that the router
/// is ready only from a status sent at once.
constexpr Duration kStatusInterval = 60s;

class ReadyNoticeTest : public test::SmallFleet {
 protected:
  ReadyNoticeTest() : SmallFleet(100, kStatusInterval) {}
};

TEST_F(ReadyNoticeTest, RouterReportsReadinessImmediately) {
  ASSERT_TRUE(configure(make_configuration(1)));
  const auto ready = [this] {
    return test::run_on(control_loop_, [this] { return control_->ready_routers("z1", 64).size(); });
  };
  EXPECT_TRUE(wait_for([&] { return ready() == 1; }));
}

}  // namespace
}  // namespace stoat
