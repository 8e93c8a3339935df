// Distances between zones, and the setting that assigns zones to regions.
#include "src/topology/topology.h"

#include <gtest/gtest.h>

namespace stoat::topology {
namespace {

TEST(TopologyTest, DistinguishesSameZoneSameRegionAndOtherRegion) {
  const Topology topology({{"north-a", "north"}, {"north-b", "north"}, {"south-a", "south"}});
  EXPECT_EQ(topology.distance("north-a", "north-a"), Distance::kSameZone);
  EXPECT_EQ(topology.distance("north-a", "north-b"), Distance::kSameRegion);
  EXPECT_EQ(topology.distance("north-a", "south-a"), Distance::kOtherRegion);
  EXPECT_TRUE(topology.has_regions());
  EXPECT_EQ(topology.zones_of("north"), (std::vector<std::string>{"north-a", "north-b"}));
}

TEST(TopologyTest, UnknownZonesShareOneRegion) {
  const Topology topology;
  EXPECT_EQ(topology.distance("a", "b"), Distance::kSameRegion);
  EXPECT_EQ(topology.distance("a", "a"), Distance::kSameZone);
  EXPECT_FALSE(topology.has_regions());
}

TEST(TopologyTest, ReportsMalformedAndDuplicateZones) {
  Findings findings;
  SettingsReader reader =
      SettingsReader::load("", {R"(zones=["north/a", "a", "south/a", "/b", "c/"])"}, findings);
  const Topology topology = read_topology(reader);
  EXPECT_EQ(topology.region_of("a"), "north");
  EXPECT_EQ(findings.list().size(), 4U) << findings.to_text();
}

}  // namespace
}  // namespace stoat::topology
