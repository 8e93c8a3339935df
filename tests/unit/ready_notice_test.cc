/// When control hears that a router may serve.
#include "tests/support/small_fleet.h"

namespace stoat {
namespace {

/// Statuses that are due come so rarely that none comes during a test.
constexpr Duration kNoStatusDue = 60s;

class ReadyNoticeTest : public test::SmallFleet {
 protected:
  ReadyNoticeTest() : SmallFleet(100, kNoStatusDue) {}
};

TEST_F(ReadyNoticeTest, ARouterTellsAtOnceThatItMayServe) {
  ASSERT_TRUE(configure(make_configuration(1)));
  const auto ready = [this] {
    return test::run_on(control_loop_, [this] { return control_->routers_for("z1", 64).size(); });
  };
  EXPECT_TRUE(wait_for([&] { return ready() == 1; }));
}

}  // namespace
}  // namespace stoat
