/// What a router concludes from its own links, and which routers relay for it.
#include "src/dispatch/link_monitor.h"

#include <gtest/gtest.h>

#include "src/control/relay_selection.h"
#include "src/relay/relay_protocol.h"

namespace stoat {
namespace {

using dispatch::LinkMonitor;

LinkMonitor monitor_of(const std::vector<std::string>& backends) {
  LinkMonitor links;
  for (const std::string& backend : backends) {
    links.track(backend);
  }
  return links;
}

TEST(LinkMonitor, OneDeadBackendIsNoCut) {
  LinkMonitor links = monitor_of({"a", "b", "c"});
  links.on_connect_failure("a", 1s);
  EXPECT_FALSE(links.cut_off());
  EXPECT_FALSE(links.prefers_relay("a"));
  links.on_relay_reached("a");
  EXPECT_TRUE(links.prefers_relay("a"));
  EXPECT_FALSE(links.prefers_relay("b"));
}

TEST(LinkMonitor, FailuresWithoutAnySignOfLifeAreACut) {
  LinkMonitor links = monitor_of({"a", "b", "c"});
  links.on_connect_failure("a", 1s);
  links.on_broken("b", 2s);
  EXPECT_TRUE(links.cut_off());
  EXPECT_TRUE(links.prefers_relay("c"));
  EXPECT_FALSE(links.cut_off_for(500ms, 2s + 499ms));
  EXPECT_TRUE(links.cut_off_for(500ms, 2s + 500ms));
  links.on_heard("c", 3s);
  EXPECT_FALSE(links.cut_off());
  EXPECT_FALSE(links.prefers_relay("b"));
}

TEST(LinkMonitor, OpenConnectionsAreUsedWhileNewOnesAreRefused) {
  LinkMonitor links = monitor_of({"a", "b"});
  links.on_connect_failure("a", 1s);
  links.on_relay_reached("a");
  EXPECT_FALSE(links.open_connections_live("a"));
  links.on_heard("a", 2s);
  EXPECT_TRUE(links.open_connections_live("a"));
  EXPECT_TRUE(links.prefers_relay("a"));
  links.on_connected("a", 3s);
  EXPECT_FALSE(links.prefers_relay("a"));
}

TEST(LinkMonitor, ABackendProvesNothingAboutItself) {
  LinkMonitor links = monitor_of({"a", "b"});
  links.on_heard("a", 2s);
  EXPECT_FALSE(links.heard_other_since("a", 1s));
  EXPECT_TRUE(links.heard_other_since("b", 1s));
  EXPECT_FALSE(links.heard_other_since("b", 3s));
}

fleet::RouterRecord router(const std::string& name, const std::string& zone) {
  fleet::RouterRecord record;
  record.name = name;
  record.zone = zone;
  record.ready = true;
  record.relay_address = name + ":1";
  return record;
}

TEST(RelaySelection, HalfOfTheRelaysLieInOtherZones) {
  std::vector<fleet::RouterRecord> routers;
  for (int number = 0; number < 10; ++number) {
    routers.push_back(router("a" + std::to_string(number), "a"));
    routers.push_back(router("b" + std::to_string(number), "b"));
  }
  control::RelaySelection selection{topology::Topology({{"a", "r"}, {"b", "r"}})};
  selection.update(routers);
  const std::vector<std::string> relays = selection.select(routers.front(), 6);
  ASSERT_EQ(relays.size(), 6U);
  EXPECT_EQ(std::count_if(relays.begin(), relays.end(), [](const auto& relay) { return relay[0] == 'a'; }),
            3);
  EXPECT_EQ(std::count(relays.begin(), relays.end(), "a0:1"), 0);
}

TEST(RelaySelection, RoutersThatAreCutOffOrDoNotRelayAreLeftOut) {
  std::vector<fleet::RouterRecord> routers = {router("a", "z"), router("b", "z"), router("c", "z")};
  routers[1].cut_off = true;
  control::RelaySelection selection;
  selection.update(routers);
  EXPECT_EQ(selection.select(routers[0], 6), std::vector<std::string>{"c:1"});
  const uint64_t revision = selection.revision();
  selection.update(routers);
  EXPECT_EQ(selection.revision(), revision);
  routers[2].relay_address = "";
  selection.update(routers);
  EXPECT_NE(selection.revision(), revision);
  EXPECT_TRUE(selection.select(routers[0], 6).empty());
}

TEST(RelayProtocol, MalformedFramesAreRejected) {
  using relay::FrameType;
  EXPECT_TRUE(relay::decode_header(relay::encode_header(FrameType::kData, 7)));
  EXPECT_FALSE(relay::decode_header(relay::encode_header(static_cast<FrameType>(99), 0)));
  EXPECT_FALSE(relay::decode_header(relay::encode_header(FrameType::kEnd, 0)));
  EXPECT_FALSE(relay::decode_header(relay::encode_header(FrameType::kData, relay::kMaxPayloadBytes + 1)));
  EXPECT_FALSE(relay::decode_request("not a message"));
}

}  // namespace
}  // namespace stoat
