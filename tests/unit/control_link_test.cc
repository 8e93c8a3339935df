// A router's connections to control members.
#include "src/gateway/control_link.h"

#include <gtest/gtest.h>

#include "tests/support/small_fleet.h"

namespace stoat {
namespace {

/// Whether a router asks a leader that states this protocol version for permits.
bool asks_for_permits(fleet::ProtocolVersion version) {
  EventLoop loop;
  const Endpoint endpoint{"127.0.0.1", test::free_port()};
  wire::ChannelServer leader(
      loop, endpoint,
      [version](const std::shared_ptr<wire::Channel>& channel, const wire::Message& message) {
        fleet::FleetUpdate update;
        update.answers = std::get<fleet::RouterStatus>(message.value).sequence;
        update.leads = true;
        update.protocol_version = version;
        channel->send(update);
      },
      [](const std::shared_ptr<wire::Channel>&) {});
  gateway::ControlLinkOptions options;
  options.seeds = {endpoint};
  bool answered = false;
  gateway::ControlLink link(
      loop, options, [] { return fleet::RouterStatus{}; },
      [&](const fleet::FleetUpdate&) {
        answered = true;
        loop.stop();
      },
      [](const fleet::FleetFeedUpdate&) {});
  loop.after(5s, [&] { loop.stop(); });
  loop.run();
  EXPECT_TRUE(answered);
  EXPECT_TRUE(link.has_leader());
  return link.leader_grants_permits();
}

// A permit request closes the connection to a leader of a build that does not know the message.
TEST(ControlLinkTest, OnlyALeaderThatGrantsPermitsIsAskedForThem) {
  EXPECT_FALSE(asks_for_permits(0));
  EXPECT_TRUE(asks_for_permits(fleet::kFirstStatedVersion));
}

}  // namespace
}  // namespace stoat
