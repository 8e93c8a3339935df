/// Permits for backends with rate limits: regardless of the number of routers, no window contains more
/// requests than the backend may receive, and the limit is used up when there is enough demand.
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <cmath>

#include "tests/support/permit_fleet.h"

namespace stoat {
namespace {

using test::PermitFleet;
using test::PermitFleetOptions;

/// Upper bound for the requests to a limited backend in a window: kTolerance times what the limit allows,
/// plus kSlackRequests.
constexpr double kTolerance = 1.5;
constexpr double kSlackRequests = 5;
constexpr double kMinUsedFraction = 0.7;

double bound_of(double limit) {
  return kTolerance * limit * to_seconds(PermitFleet::kWindow) + kSlackRequests;
}

RC_GTEST_PROP(PermitProperty, TheBoundHoldsUnderFaults, ()) {
  PermitFleetOptions options;
  options.routers = *rc::gen::inRange<size_t>(1, 300);
  options.limit = 0.25 * std::pow(2.0, *rc::gen::inRange(0, 10));
  options.demand = *rc::gen::element(0.2, 1.0, 5.0, 20.0);
  options.max_message_delay = Duration(*rc::gen::inRange(2000, 400000));
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
  RC_LOG() << "sent " << fleet.sent() << ", maximum in a window " << fleet.max_in_window() << "\n";
  RC_ASSERT(static_cast<double>(fleet.max_in_window()) <= bound_of(options.limit));
}

class PermitFleetTest : public ::testing::TestWithParam<size_t> {};

TEST_P(PermitFleetTest, LimitIsUsedUpAndPermitRequestsScaleWithTheLimit) {
  for (const double limit : {0.5, 1.2, 30.0}) {
    PermitFleetOptions options;
    options.routers = GetParam();
    options.limit = limit;
    options.demand = std::max(3.0, 3 * limit / static_cast<double>(options.routers));
    PermitFleet fleet(options);
    fleet.run_for(5s);  // a new leader first waits for its predecessor's permits to expire
    const size_t before = fleet.sent();
    const size_t requests_before = fleet.received_permit_requests();
    constexpr Duration kSpan = 40s;
    fleet.run_for(kSpan);
    const auto sent = static_cast<double>(fleet.sent() - before);
    EXPECT_GT(sent, kMinUsedFraction * limit * to_seconds(kSpan)) << limit;
    EXPECT_LE(static_cast<double>(fleet.max_in_window()), bound_of(limit)) << limit;
    const double permit_requests =
        static_cast<double>(fleet.received_permit_requests() - requests_before) / to_seconds(kSpan);
    // Each grant takes one or two permit requests, and each router without a permit asks once in the maximum
    // wait.
    const double max_wait_s = to_seconds(admission::kMaxPermitWait);
    EXPECT_LT(permit_requests, 3 * limit + 2 * static_cast<double>(options.routers) / max_wait_s + 2)
        << limit;
  }
}

INSTANTIATE_TEST_SUITE_P(Routers, PermitFleetTest, ::testing::Values(1, 7, 60, 1000));

}  // namespace
}  // namespace stoat
