/// Quotas over the whole fleet: never above what the users allow in any window, nothing refused below the
/// limit, and the limit used up when more is asked for.
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "tests/support/quota_fleet.h"

namespace stoat {
namespace {

using test::QuotaFleet;
using test::QuotaFleetOptions;

constexpr double kUsedShare = 0.97;

/// From the start of the members until the traffic's: longer than a window.
constexpr Duration kRest = 9s;

/// What a quota allows a second over long: the rate, and a burst in each window.
double limit_per_second(const QuotaFleetOptions& options) {
  return options.rate + options.burst / to_seconds(options.tolerance.window);
}

QuotaFleetOptions any_fleet() {
  QuotaFleetOptions options;
  options.routers = *rc::gen::inRange<size_t>(2, 300);
  options.members = *rc::gen::inRange<size_t>(1, 6);
  options.rate = *rc::gen::inRange(20000, 1000000);
  options.burst = options.rate;
  options.delay = Duration(*rc::gen::inRange(1000, 40000));
  options.seed = *rc::gen::arbitrary<uint64_t>();
  return options;
}

TEST(FleetQuota, AllOfTheLimitIsUsedWhenMoreIsAskedFor) {
  QuotaFleetOptions options;
  options.demand = 2 * options.rate;
  QuotaFleet fleet(options);
  fleet.run_idle_for(kRest);
  fleet.run_for(24s);
  fleet.reset_counts();
  fleet.run_for(24s);
  EXPECT_GT(fleet.served(), kUsedShare * limit_per_second(options) * 24);
  EXPECT_LE(fleet.max_fraction_of_bound(), 1.0);
}

TEST(FleetQuota, NothingIsRefusedBelowTheLimit) {
  QuotaFleetOptions options;
  options.demand = 0.9 * options.rate;
  QuotaFleet fleet(options);
  fleet.run_idle_for(kRest);
  fleet.run_for(30s);
  EXPECT_EQ(fleet.refused(), 0U);
}

TEST(FleetQuota, ALowerLimitHoldsOneWindowLater) {
  QuotaFleetOptions options;
  options.rate = options.burst = 600000;
  options.demand = 450000;
  QuotaFleet fleet(options);
  fleet.run_idle_for(kRest);
  fleet.run_for(10s);
  EXPECT_EQ(fleet.refused(), 0U);
  fleet.set_rate(150000);
  fleet.run_for(20s);
  EXPECT_LE(fleet.max_fraction_of_bound(), 1.0);
}

QuotaFleetOptions busy() {
  QuotaFleetOptions options;
  options.demand = 2 * options.rate;
  return options;
}

TEST(FleetQuota, ARestartOfAllSpendsNoMoreThanTheBound) {
  QuotaFleet fleet{busy()};
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

TEST(FleetQuota, MembersThatDoNotHearEachOtherTogetherKeepTheBound) {
  QuotaFleet fleet{busy()};
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

TEST(FleetQuota, RoutersThatReachNoMemberTogetherKeepTheBound) {
  QuotaFleet fleet{busy()};
  fleet.run_for(12s);
  for (size_t index = 0; index < fleet.router_count(); ++index) {
    fleet.cut_router(index, true);
  }
  fleet.reset_counts();
  fleet.run_for(4s);
  EXPECT_GT(fleet.served(), 0.1 * 118000 * 4);
  for (size_t index = 0; index < fleet.router_count(); ++index) {
    fleet.cut_router(index, false);
  }
  fleet.run_for(8s);
  EXPECT_LE(fleet.max_fraction_of_bound(), 1.0);
}

RC_GTEST_PROP(FleetQuotaProperty, TheBoundHoldsUnderFaults, ()) {
  QuotaFleetOptions options = any_fleet();
  options.demand = options.rate * (0.2 + 0.1 * *rc::gen::inRange(0, 19));
  QuotaFleet fleet(options);
  fleet.run_idle_for(kRest);
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
  QuotaFleetOptions options = any_fleet();
  options.demand = 0.45 * options.rate;
  options.mean_cost = options.rate / 100;
  options.max_cost = options.rate / 10;
  QuotaFleet fleet(options);
  fleet.run_idle_for(kRest);
  fleet.run_for(10s);
  RC_ASSERT(fleet.refused() == 0U);
}

// A member that was cut off hears at once what was spent meanwhile, and takes it for spent just then.
RC_GTEST_PROP(FleetQuotaProperty, LittleIsRefusedFarBelowTheLimitWhenAMemberWasCutOff, ()) {
  QuotaFleetOptions options = any_fleet();
  options.members = *rc::gen::inRange<size_t>(2, 6);
  options.demand = 0.45 * options.rate;
  options.mean_cost = options.rate / 100;
  options.max_cost = options.rate / 10;
  QuotaFleet fleet(options);
  fleet.run_idle_for(kRest);
  fleet.run_for(3s);
  fleet.cut_member(0, true);
  fleet.run_for(2s);
  fleet.cut_member(0, false);
  fleet.run_for(3s);
  constexpr double kMostRefusedShare = 0.05;
  const double requests = fleet.asked() / options.mean_cost;
  RC_ASSERT(static_cast<double>(fleet.refused()) <= 1 + kMostRefusedShare * requests);
}

}  // namespace
}  // namespace stoat
