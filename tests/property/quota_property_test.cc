/// Quotas across the whole fleet: spending never exceeds the tolerated amount in any window, nothing is
/// refused below the limit, and the limit is used up when there is enough demand.
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "tests/support/quota_fleet.h"

namespace stoat {
namespace {

using test::QuotaFleet;
using test::QuotaFleetOptions;

constexpr double kMinUsedFraction = 0.97;

/// Idle time between the start of the members and the start of the traffic; longer than a window.
constexpr Duration kIdleTime = 9s;

/// Returns what a quota allows per second in the long run: the rate, plus one burst per window.
double limit_per_second(const QuotaFleetOptions& options) {
  return options.rate + options.burst / to_seconds(options.tolerance.window);
}

QuotaFleetOptions arbitrary_fleet_options() {
  QuotaFleetOptions options;
  options.routers = *rc::gen::inRange<size_t>(2, 300);
  options.members = *rc::gen::inRange<size_t>(1, 6);
  options.rate = *rc::gen::inRange(20000, 1000000);
  options.burst = options.rate;
  options.delay = Duration(*rc::gen::inRange(1000, 40000));
  options.seed = *rc::gen::arbitrary<uint64_t>();
  return options;
}

TEST(FleetQuota, LimitIsUsedUpUnderExcessDemand) {
  QuotaFleetOptions options;
  options.demand = 2 * options.rate;
  QuotaFleet fleet(options);
  fleet.run_idle_for(kIdleTime);
  fleet.run_for(24s);
  fleet.reset_counts();
  fleet.run_for(24s);
  EXPECT_GT(fleet.admitted_tokens(), kMinUsedFraction * limit_per_second(options) * 24);
  EXPECT_LE(fleet.max_fraction_of_bound(), 1.0);
}

TEST(FleetQuota, NothingIsRefusedBelowTheLimit) {
  QuotaFleetOptions options;
  options.demand = 0.9 * options.rate;
  QuotaFleet fleet(options);
  fleet.run_idle_for(kIdleTime);
  fleet.run_for(30s);
  EXPECT_EQ(fleet.refused_requests(), 0U);
}

TEST(FleetQuota, LowerLimitHoldsAfterOneWindow) {
  QuotaFleetOptions options;
  options.rate = options.burst = 600000;
  options.demand = 450000;
  QuotaFleet fleet(options);
  fleet.run_idle_for(kIdleTime);
  fleet.run_for(10s);
  EXPECT_EQ(fleet.refused_requests(), 0U);
  fleet.set_rate(150000);
  fleet.run_for(20s);
  EXPECT_LE(fleet.max_fraction_of_bound(), 1.0);
}

QuotaFleetOptions overload_options() {
  QuotaFleetOptions options;
  options.demand = 2 * options.rate;
  return options;
}

TEST(FleetQuota, RestartOfAllProcessesStaysWithinTheBound) {
  QuotaFleet fleet{overload_options()};
  fleet.run_for(12s);
  for (size_t index = 0; index < fleet.member_count(); ++index) {
    fleet.restart_member(index);
  }
  for (size_t index = 0; index < fleet.router_count(); ++index) {
    fleet.restart_router(index);
  }
  fleet.run_for(12s);
  EXPECT_LE(fleet.max_fraction_of_bound(), 1.0);
}

TEST(FleetQuota, IsolatedMembersTogetherStayWithinTheBound) {
  QuotaFleet fleet{overload_options()};
  fleet.run_for(12s);
  for (size_t index = 0; index < 2; ++index) {
    fleet.isolate_member(index, true);
  }
  fleet.run_for(5s);
  for (size_t index = 0; index < 2; ++index) {
    fleet.isolate_member(index, false);
  }
  fleet.run_for(8s);
  EXPECT_LE(fleet.max_fraction_of_bound(), 1.0);
}

TEST(FleetQuota, RoutersCutOffFromAllMembersTogetherStayWithinTheBound) {
  QuotaFleet fleet{overload_options()};
  fleet.run_for(12s);
  for (size_t index = 0; index < fleet.router_count(); ++index) {
    fleet.cut_router(index, true);
  }
  fleet.reset_counts();
  fleet.run_for(4s);
  EXPECT_GT(fleet.admitted_tokens(), 0.1 * 118000 * 4);
  for (size_t index = 0; index < fleet.router_count(); ++index) {
    fleet.cut_router(index, false);
  }
  fleet.run_for(8s);
  EXPECT_LE(fleet.max_fraction_of_bound(), 1.0);
}

RC_GTEST_PROP(FleetQuotaProperty, TheBoundHoldsUnderFaults, ()) {
  QuotaFleetOptions options = arbitrary_fleet_options();
  options.demand = options.rate * (0.2 + 0.1 * *rc::gen::inRange(0, 19));
  QuotaFleet fleet(options);
  fleet.run_idle_for(kIdleTime);
  fleet.run_for(3s);
  const int faults = *rc::gen::inRange(1, 5);
  for (int fault = 0; fault < faults; ++fault) {
    const size_t member = *rc::gen::inRange<size_t>(0, options.members);
    const size_t router = *rc::gen::inRange<size_t>(0, options.routers);
    switch (*rc::gen::inRange(0, 8)) {
      case 0:
        fleet.restart_member(member);
        break;
      case 1:
        fleet.restart_router(router);
        break;
      case 2:
        fleet.cut_member(member, true);
        fleet.run_for(2s);
        fleet.cut_member(member, false);
        break;
      case 3:
        for (size_t index = 0; index < options.routers / 3; ++index) {
          fleet.cut_router(index, true);
        }
        fleet.run_for(4s);
        for (size_t index = 0; index < options.routers / 3; ++index) {
          fleet.cut_router(index, false);
        }
        break;
      case 7:
        fleet.isolate_member(member, true);
        fleet.run_for(4s);
        fleet.isolate_member(member, false);
        break;
      case 4:
        fleet.set_loss(0.05);
        break;
      case 5:
        fleet.set_target_router(router);
        fleet.run_for(1s);
        fleet.set_target_router(SIZE_MAX);
        break;
      default:
        fleet.set_demand(options.demand * 1.7);
        fleet.run_for(3s);
        fleet.set_demand(options.demand);
        break;
    }
    fleet.run_for(Duration(1000 * *rc::gen::inRange(200, 4000)));
  }
  RC_ASSERT(fleet.max_fraction_of_bound() <= 1.0);
}

RC_GTEST_PROP(FleetQuotaProperty, NothingIsRefusedFarBelowTheLimit, ()) {
  QuotaFleetOptions options = arbitrary_fleet_options();
  options.demand = 0.45 * options.rate;
  options.mean_cost = options.rate / 100;
  options.max_cost = options.rate / 10;
  QuotaFleet fleet(options);
  fleet.run_idle_for(kIdleTime);
  fleet.run_for(10s);
  RC_ASSERT(fleet.refused_requests() == 0U);
}

// A member that was cut off receives what was spent meanwhile all at once, and counts it as spent at that
// moment.
RC_GTEST_PROP(FleetQuotaProperty, LittleIsRefusedFarBelowTheLimitAfterAMemberWasCutOff, ()) {
  QuotaFleetOptions options = arbitrary_fleet_options();
  options.members = *rc::gen::inRange<size_t>(2, 6);
  options.demand = 0.45 * options.rate;
  options.mean_cost = options.rate / 100;
  options.max_cost = options.rate / 10;
  QuotaFleet fleet(options);
  fleet.run_idle_for(kIdleTime);
  fleet.run_for(3s);
  fleet.cut_member(0, true);
  fleet.run_for(2s);
  fleet.cut_member(0, false);
  fleet.run_for(3s);
  constexpr double kMaxRefusedFraction = 0.05;
  const double requests = fleet.requested_tokens() / options.mean_cost;
  RC_ASSERT(static_cast<double>(fleet.refused_requests()) <= 1 + kMaxRefusedFraction * requests);
}

}  // namespace
}  // namespace stoat
