/// Permits under the limits of back ends: whatever the number of routers, no window sees more requests than
/// the back end is to get at the most, and what it takes is used when it is asked for.
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <cmath>

#include "tests/support/permit_fleet.h"

namespace stoat {
namespace {

using test::PermitFleet;
using test::PermitFleetOptions;

/// What a back end with a limit may get in a window: so many times what the limit allows, and a few besides.
constexpr double kTolerance = 1.5;
constexpr double kSlackRequests = 5;
constexpr double kUsedShare = 0.7;

double bound_of(double limit) {
  return kTolerance * limit * to_seconds(PermitFleet::kWindow) + kSlackRequests;
}

RC_GTEST_PROP(PermitProperty, TheBoundHoldsUnderFaults, ()) {
  PermitFleetOptions options;
  options.routers = *rc::gen::inRange<size_t>(1, 300);
  options.limit = 0.25 * std::pow(2.0, *rc::gen::inRange(0, 10));
  options.demand = *rc::gen::element(0.2, 1.0, 5.0, 20.0);
  options.most_delay = Duration(*rc::gen::inRange(2000, 400000));
  options.loss = *rc::gen::element(0.0, 0.05, 0.3);
  options.seed = *rc::gen::arbitrary<uint64_t>();
  PermitFleet fleet(options);
  Random faults(options.seed + 1);
  for (int round = 0; round < 20; ++round) {
    fleet.run_for(Duration(faults.between(50000, 1500000)));
    const size_t router = faults.below(options.routers);
    switch (faults.below(4)) {
      case 0:
        fleet.change_leader();
        break;
      case 1:
        fleet.restart_router(router);
        break;
      case 2:
        fleet.freeze_router(router, Duration(faults.between(100000, 4000000)));
        break;
      default:
        break;
    }
  }
  RC_LOG() << "sent " << fleet.sent() << ", most in a window " << fleet.most_in_window() << "\n";
  RC_ASSERT(static_cast<double>(fleet.most_in_window()) <= bound_of(options.limit));
}

class PermitFleetTest : public ::testing::TestWithParam<size_t> {};

TEST_P(PermitFleetTest, ALimitIsUsedWhenMoreIsAskedForAndAskedForAtTheRateOfTheLimit) {
  for (const double limit : {0.5, 1.2, 30.0}) {
    PermitFleetOptions options;
    options.routers = GetParam();
    options.limit = limit;
    options.demand = std::max(3.0, 3 * limit / static_cast<double>(options.routers));
    PermitFleet fleet(options);
    fleet.run_for(5s);  // a leader that has just begun waits for the permits of its predecessor to end
    const size_t before = fleet.sent();
    const size_t asked_before = fleet.questions();
    constexpr Duration kSpan = 40s;
    fleet.run_for(kSpan);
    const auto sent = static_cast<double>(fleet.sent() - before);
    EXPECT_GT(sent, kUsedShare * limit * to_seconds(kSpan)) << limit;
    EXPECT_LE(static_cast<double>(fleet.most_in_window()), bound_of(limit)) << limit;
    const double asked = static_cast<double>(fleet.questions() - asked_before) / to_seconds(kSpan);
    // Each grant takes a question or two, and each router without one asks once in the longest wait.
    const double longest_wait_s = to_seconds(admission::kLongestPermitWait);
    EXPECT_LT(asked, 3 * limit + 2 * static_cast<double>(options.routers) / longest_wait_s + 2) << limit;
  }
}

INSTANTIATE_TEST_SUITE_P(Routers, PermitFleetTest, ::testing::Values(1, 7, 60, 1000));

}  // namespace
}  // namespace stoat
