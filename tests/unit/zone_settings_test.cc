// Routers and control members read the zones from their settings.
#include <gtest/gtest.h>

#include "src/control/fleet_server.h"
#include "src/gateway/gateway_server.h"

namespace stoat {
namespace {

constexpr char kZones[] = R"(zones = ["north/a", "south/b"])";

TEST(ZoneSettingsTest, RouterAndItsControlLinkReadTheZones) {
  Findings findings;
  SettingsReader reader = SettingsReader::load("", {"name = \"r1\"", kZones}, findings);
  const gateway::GatewaySettings settings = gateway::read_gateway_settings(reader);
  EXPECT_TRUE(findings.empty()) << findings.to_text();
  EXPECT_EQ(settings.topology.distance("a", "b"), topology::Distance::kOtherRegion);
  EXPECT_EQ(settings.link.topology.distance("a", "b"), topology::Distance::kOtherRegion);
}

TEST(ZoneSettingsTest, ControlMemberReadsTheZones) {
  Findings findings;
  SettingsReader reader =
      SettingsReader::load("", {"name = \"m1\"", "data_folder = \"/tmp\"", kZones}, findings);
  const control::FleetControlSettings settings = control::read_fleet_control_settings(reader);
  EXPECT_TRUE(findings.empty()) << findings.to_text();
  EXPECT_EQ(settings.topology.distance("a", "b"), topology::Distance::kOtherRegion);
}

}  // namespace
}  // namespace stoat
