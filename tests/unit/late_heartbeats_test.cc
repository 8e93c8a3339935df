/// Heartbeats that a cut has delayed: they come after another incarnation of the back end has registered at
/// the same address.
#include <gtest/gtest.h>

#include "src/fleet/backend_registry.h"

namespace stoat {
namespace {

constexpr Duration kHeartbeat = 1200ms;

fleet::BackendRecord incarnation(const std::string& id, uint64_t sequence) {
  fleet::BackendRecord record;
  record.id = id;
  record.service = "models";
  record.address = "10.0.0.1:80";
  record.sequence = sequence;
  return record;
}

class LateHeartbeatsTest : public ::testing::Test {
 protected:
  bool serves(const std::string& id) const { return registry_.find(id) != nullptr; }
  fleet::BackendRegistry registry_{fleet::RegistryOptions{}};
};

TEST_F(LateHeartbeatsTest, TheLivingOneIsBackWithItsNextHeartbeatWhereTheDeadOneWasNotKnown) {
  registry_.on_heartbeat(incarnation("living", 1), 1s);
  registry_.on_heartbeat(incarnation("dead", 40), 1500ms);
  registry_.on_heartbeat(incarnation("living", 2), 1s + kHeartbeat);
  EXPECT_TRUE(serves("living"));
  EXPECT_FALSE(serves("dead"));
}

TEST_F(LateHeartbeatsTest, SeveralLateHeartbeatsOfTheDeadOneKeepTheLivingOneAwayNoLonger) {
  registry_.on_heartbeat(incarnation("living", 1), 1s);
  for (uint64_t late = 0; late < 3; ++late) {
    registry_.on_heartbeat(incarnation("dead", 40 + late), 1500ms + Duration(late));
  }
  for (uint64_t beat = 2; beat < 6; ++beat) {
    registry_.on_heartbeat(incarnation("living", beat), 1s + (beat - 1) * kHeartbeat);
    EXPECT_TRUE(serves("living"));
    EXPECT_FALSE(serves("dead"));
  }
  registry_.on_heartbeat(incarnation("dead", 43), 1s + 5 * kHeartbeat);
  EXPECT_TRUE(serves("living")) << "it has lived on for longer than a heartbeat";
}

TEST_F(LateHeartbeatsTest, ARestartedBackEndTakesItsAddressAtOnce) {
  registry_.on_heartbeat(incarnation("before", 40), 1s);
  registry_.on_heartbeat(incarnation("after", 1), 3s);
  EXPECT_TRUE(serves("after"));
  EXPECT_FALSE(serves("before"));
  registry_.on_heartbeat(incarnation("before", 40), 3s + 10ms);  // the same heartbeat again
  EXPECT_TRUE(serves("after"));
  registry_.on_heartbeat(incarnation("after", 2), 3s + kHeartbeat);
  registry_.on_heartbeat(incarnation("after", 3), 3s + 2 * kHeartbeat);
  registry_.on_heartbeat(incarnation("before", 41), 3s + 2 * kHeartbeat + 10ms);
  EXPECT_TRUE(serves("after"));
  EXPECT_FALSE(serves("before"));
}

TEST_F(LateHeartbeatsTest, ARetiredOneNeverReturns) {
  registry_.on_heartbeat(incarnation("before", 40), 1s);
  registry_.retire("before", fleet::BackendState::kGone);
  registry_.on_heartbeat(incarnation("after", 1), 2s);
  registry_.on_heartbeat(incarnation("before", 41), 2s + 10ms);
  EXPECT_TRUE(serves("after"));
  EXPECT_FALSE(serves("before"));
}

}  // namespace
}  // namespace stoat
