/// Which routers callers are given: near ones, evenly distributed, and enough that the loss of one is no
/// outage.
#include "src/control/router_directory.h"

#include <gtest/gtest.h>

#include <set>

#include "src/control/caller_assignment.h"

namespace stoat::control {
namespace {

using Routers = std::vector<fleet::RouterRecord>;

constexpr size_t kLimit = 64;

/// Two regions of three zones each; all routers report their status at 1 s.
class TwoRegionsTest : public ::testing::Test {
 protected:
  TwoRegionsTest() {
    for (const auto& [zone, count] : sizes_) {
      for (int number = 0; number < count; ++number) {
        report_status(zone, number, true, 1s);
      }
    }
  }
  void report_status(const std::string& zone, int number, bool ready, TimePoint now) {
    const std::string name = zone + "-" + std::to_string(number);
    directory_.on_status({name, name + ":80", zone, topology_.region_of(zone), ready}, now);
  }
  /// All routers except those in the zones `lost` report their status again.
  void report_all_except(const std::set<std::string>& lost, TimePoint now) {
    for (const auto& [zone, count] : sizes_) {
      for (int number = 0; number < count && lost.count(zone) == 0; ++number) {
        report_status(zone, number, true, now);
      }
    }
  }
  size_t count_in(const Routers& routers, topology::Distance distance, const std::string& zone) const {
    return static_cast<size_t>(std::count_if(routers.begin(), routers.end(), [&](const auto& router) {
      return topology_.distance(zone, router.zone) == distance;
    }));
  }

  const std::map<std::string, int> sizes_ = {{"s-a", 10}, {"s-b", 10}, {"s-c", 8},
                                             {"c-a", 11}, {"c-b", 10}, {"c-c", 9}};
  topology::Topology topology_{
      {{"s-a", "s"}, {"s-b", "s"}, {"s-c", "s"}, {"c-a", "c"}, {"c-b", "c"}, {"c-c", "c"}}};
  RouterDirectory directory_{topology_};
};

TEST_F(TwoRegionsTest, CallersGetRoutersOfTheirZoneAndAFewOfTheRegion) {
  for (const auto& [zone, count] : sizes_) {
    const Routers selected = directory_.select_for_callers(zone, kLimit, 2s);
    EXPECT_EQ(count_in(selected, topology::Distance::kOtherRegion, zone), 0U) << zone;
    EXPECT_GE(count_in(selected, topology::Distance::kSameRegion, zone), kMinReserveRouters) << zone;
    EXPECT_LE(count_in(selected, topology::Distance::kSameRegion, zone), kMinReserveRouters + 1) << zone;
    EXPECT_EQ(selected, directory_.select_for_callers(zone, kLimit, 3s))
        << "callers leave a router that is no longer listed";
  }
}

TEST_F(TwoRegionsTest, EachRouterServesOneZoneAndZonesHaveEquallyMany) {
  std::set<std::string> seen;
  for (const auto& [zone, count] : sizes_) {
    const Routers selected = directory_.select_for_callers(zone, kLimit, 2s);
    EXPECT_GE(selected.size(), 9U) << zone;
    EXPECT_LE(selected.size(), 10U) << zone;
    for (const fleet::RouterRecord& router : selected) {
      EXPECT_TRUE(seen.insert(router.name).second) << router.name;
    }
  }
  EXPECT_EQ(seen.size(), 58U);
}

TEST_F(TwoRegionsTest, CallersOfALostZoneReachOthersAtOnceAndThenAllOfTheRegion) {
  const Routers before = directory_.select_for_callers("s-a", kLimit, 1s);
  EXPECT_GE(before.size() - count_in(before, topology::Distance::kSameZone, "s-a"), kMinReserveRouters);
  report_all_except({"s-a"}, 3400ms);
  const Routers after = directory_.select_for_callers("s-a", kLimit, 3600ms);
  EXPECT_EQ(after.size(), 18U);  // all remaining routers of the region
  EXPECT_EQ(count_in(after, topology::Distance::kOtherRegion, "s-a"), 0U);
  // Callers in the other region keep their routers.
  EXPECT_EQ(directory_.select_for_callers("c-a", kLimit, 3600ms),
            directory_.select_for_callers("c-a", kLimit, 1s));
}

TEST_F(TwoRegionsTest, OtherRegionIsUsedOnlyWhenTheOwnHasNoRouter) {
  report_all_except({"s-a", "s-b", "s-c"}, 3400ms);
  report_status("s-c", 3, true, 3400ms);
  EXPECT_EQ(directory_.select_for_callers("s-a", kLimit, 3600ms).size(), 1U);
  report_status("s-c", 3, false, 3400ms);
  EXPECT_EQ(directory_.select_for_callers("s-a", kLimit, 3600ms).size(), 30U);
}

TEST_F(TwoRegionsTest, RestartOfARouterMovesNoOthers) {
  const Routers before = directory_.select_for_callers("s-a", kLimit, 1s);
  directory_.forget(before.front().name);
  Routers remaining(before.begin() + 1, before.end());
  EXPECT_EQ(directory_.select_for_callers("s-a", kLimit, 2s), remaining);
  directory_.on_status(before.front(), 3s);
  EXPECT_EQ(directory_.select_for_callers("s-a", kLimit, 3s), before);
}

TEST_F(TwoRegionsTest, CallersOfAnUnknownZoneGetAllRouters) {
  EXPECT_EQ(directory_.select_for_callers("elsewhere", kLimit, 2s).size(), 58U);
  EXPECT_EQ(directory_.select_for_callers("", kLimit, 2s).size(), 58U);
}

TEST(RouterDirectoryTest, CallersGetAllRoutersWhenAZoneHasFew) {
  RouterDirectory directory;
  for (const char* name : {"a1", "a2", "a3", "b1", "b2", "c1", "c2"}) {
    directory.on_status({name, std::string(name) + ":80", std::string(1, name[0]), "r", true}, 1s);
  }
  EXPECT_EQ(directory.select_for_callers("a", kLimit, 2s).size(), 7U);
}

TEST(RouterDirectoryTest, LargeRegionUsesAllRoutersAndKeepsMostCallersInTheirZone) {
  RouterDirectory directory;
  for (int number = 0; number < 300; ++number) {
    const std::string name = "r" + std::to_string(number);
    directory.on_status({name, name + ":80", "z" + std::to_string(number % 5), "r", true}, 1s);
  }
  std::map<std::string, int> seen;
  for (int number = 0; number < 5; ++number) {
    const std::string zone = "z" + std::to_string(number);
    const Routers selected = directory.select_for_callers(zone, kLimit, 1s);
    EXPECT_EQ(selected, directory.select_for_callers(zone, kLimit, 2s));
    EXPECT_EQ(selected.size(), 60U);
    size_t own_zone_count = 0;
    for (const fleet::RouterRecord& router : selected) {
      own_zone_count += router.zone == zone ? 1 : 0;
      EXPECT_EQ(++seen[router.name], 1) << "it would get twice as many callers as the others";
    }
    EXPECT_EQ(own_zone_count, 53U);
  }
  EXPECT_EQ(seen.size(), 300U);
}

TEST(RouterDirectoryTest, TruncatesToTheLimitWithTheOwnZoneFirst) {
  RouterDirectory directory;
  for (int number = 0; number < 300; ++number) {
    const std::string name = "r" + std::to_string(number);
    directory.on_status({name, name + ":80", "z" + std::to_string(number % 2), "r", true}, 1s);
  }
  const Routers selected = directory.select_for_callers("z1", kLimit, 1s);
  EXPECT_EQ(selected.size(), kLimit);
  EXPECT_TRUE(
      std::all_of(selected.begin(), selected.end(), [](const auto& router) { return router.zone == "z1"; }));
}

TEST(CallerAssignmentTest, BalancesZonesOfDifferentSizes) {
  std::map<std::string, std::string> zones;
  for (int number = 0; number < 16; ++number) {
    zones["r" + std::to_string(number)] = number < 13 ? "large" : "small";
  }
  std::map<std::string, size_t> counts;
  for (const auto& [router, zone] : assign_routers_to_zones(zones)) {
    ++counts[zone];
  }
  EXPECT_EQ(counts["large"], 8U);
  EXPECT_EQ(counts["small"], 8U);
}

TEST(CallerAssignmentTest, HandlesNoRoutersAndASingleZone) {
  EXPECT_TRUE(assign_routers_to_zones({}).empty());
  EXPECT_EQ(assign_routers_to_zones({{"r1", "z"}, {"r2", "z"}}).size(), 2U);
}

}  // namespace
}  // namespace stoat::control
