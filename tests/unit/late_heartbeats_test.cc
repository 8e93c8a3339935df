/// Heartbeats delayed by a network partition: they arrive after another incarnation of the backend has
/// registered at the same address, and must not displace that incarnation permanently.
#include <gtest/gtest.h>

#include "src/fleet/backend_registry.h"

namespace stoat {
namespace {

constexpr Duration kHeartbeat = 1200ms;

fleet::BackendRecord make_heartbeat(const std::string& id, uint64_t sequence) {
  fleet::BackendRecord record;
  record.id = id;
  record.service = "models";
  record.address = "10.0.0.1:80";
  record.sequence = sequence;
  return record;
}

class LateHeartbeatsTest : public ::testing::Test {
 protected:
  bool is_registered(const std::string& id) const { return registry_.find(id) != nullptr; }
  fleet::BackendRegistry registry_{fleet::RegistryOptions{}};
};

TEST_F(LateHeartbeatsTest, LiveBackendReturnsWithItsNextHeartbeat) {
  registry_.on_heartbeat(make_heartbeat("living", 1), 1s);
  registry_.on_heartbeat(make_heartbeat("dead", 40), 1500ms);
  registry_.on_heartbeat(make_heartbeat("living", 2), 1s + kHeartbeat);
  EXPECT_TRUE(is_registered("living"));
  EXPECT_FALSE(is_registered("dead"));
}

TEST_F(LateHeartbeatsTest, SeveralLateHeartbeatsDisplaceNoLongerThanOne) {
  registry_.on_heartbeat(make_heartbeat("living", 1), 1s);
  for (uint64_t late = 0; late < 3; ++late) {
    registry_.on_heartbeat(make_heartbeat("dead", 40 + late), 1500ms + Duration(late));
  }
  for (uint64_t beat = 2; beat < 6; ++beat) {
    registry_.on_heartbeat(make_heartbeat("living", beat), 1s + (beat - 1) * kHeartbeat);
    EXPECT_TRUE(is_registered("living"));
    EXPECT_FALSE(is_registered("dead"));
  }
  registry_.on_heartbeat(make_heartbeat("dead", 43), 1s + 5 * kHeartbeat);
  EXPECT_TRUE(is_registered("living")) << "it has sent heartbeats for longer than one interval";
}

TEST_F(LateHeartbeatsTest, RestartedBackendClaimsItsAddressAtOnce) {
  registry_.on_heartbeat(make_heartbeat("before", 40), 1s);
  registry_.on_heartbeat(make_heartbeat("after", 1), 3s);
  EXPECT_TRUE(is_registered("after"));
  EXPECT_FALSE(is_registered("before"));
  registry_.on_heartbeat(make_heartbeat("before", 40), 3s + 10ms);  // a duplicate of the same heartbeat
  EXPECT_TRUE(is_registered("after"));
  registry_.on_heartbeat(make_heartbeat("after", 2), 3s + kHeartbeat);
  registry_.on_heartbeat(make_heartbeat("after", 3), 3s + 2 * kHeartbeat);
  registry_.on_heartbeat(make_heartbeat("before", 41), 3s + 2 * kHeartbeat + 10ms);
  EXPECT_TRUE(is_registered("after"));
  EXPECT_FALSE(is_registered("before"));
}

TEST_F(LateHeartbeatsTest, RetiredBackendNeverReturns) {
  registry_.on_heartbeat(make_heartbeat("before", 40), 1s);
  registry_.retire("before", fleet::BackendState::kGone);
  registry_.on_heartbeat(make_heartbeat("after", 1), 2s);
  registry_.on_heartbeat(make_heartbeat("before", 41), 2s + 10ms);
  EXPECT_TRUE(is_registered("after"));
  EXPECT_FALSE(is_registered("before"));
}

}  // namespace
}  // namespace stoat
