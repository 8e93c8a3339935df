/// Accounting of traffic by purpose and by distance.
#include "src/wire/traffic.h"

#include <gtest/gtest.h>

#include "src/wire/channel.h"

namespace stoat {
namespace {

using topology::Distance;
using wire::Purpose;
using wire::PurposeBytes;

fleet::BackendRecord backend_record(const std::string& id) {
  fleet::BackendRecord record;
  record.id = id;
  record.address = id + ":1";
  record.models = {{"m", 1}};
  return record;
}

TEST(Traffic, BytesOfAPeerUpdateAreSplitByPurposeAndAddUpToTheFrame) {
  fleet::PeerUpdate update;
  update.sender = "10.0.0.1:7";
  update.heartbeats = {backend_record("e1"), backend_record("e2")};
  update.loads = {{"e1", 3, 100}};
  update.placements = {{"e1", 1, {1, 2, 3}}};
  const wire::Frame frame = wire::make_frame(update);
  EXPECT_EQ(frame.purposes.total(), frame.bytes.size());
  EXPECT_GT(frame.purposes[Purpose::kBackends], frame.purposes[Purpose::kLoads]);
  EXPECT_GT(frame.purposes[Purpose::kLoads], 0U);
  EXPECT_GT(frame.purposes[Purpose::kPlacements], 0U);
  EXPECT_EQ(frame.purposes[Purpose::kFullStates], 0U);
}

TEST(Traffic, AFullStateUpdateIsCountedUnderOnePurpose) {
  fleet::PeerUpdate update;
  update.is_full_state = true;
  update.heartbeats = {backend_record("e1")};
  const wire::Frame frame = wire::make_frame(update);
  EXPECT_EQ(frame.purposes[Purpose::kFullStates], frame.bytes.size());
}

TEST(Traffic, BytesOfARouterUpdateAreSplitByPurpose) {
  fleet::FleetFeedUpdate update;
  update.backends = {backend_record("e1")};
  update.loads = {{"e1", 3, 100}};
  update.quotas = {{"t1", 5, true}};
  const PurposeBytes purposes = wire::make_frame(update).purposes;
  EXPECT_GT(purposes[Purpose::kBackends], purposes[Purpose::kLoads]);
  EXPECT_GT(purposes[Purpose::kQuotaLevels], 0U);
}

TEST(Traffic, AMeterCountsPerDistanceAndPublishesIncrements) {
  wire::TrafficMeter meter;
  PurposeBytes log;
  log[Purpose::kReplication] = 40;
  meter.count(log, Distance::kSameZone);
  meter.count(log, Distance::kOtherRegion);
  meter.count(log, Distance::kOtherRegion);
  EXPECT_EQ(meter.sent(Purpose::kReplication, Distance::kOtherRegion), 80U);
  EXPECT_EQ(meter.sent(Purpose::kReplication, Distance::kSameRegion), 0U);
  const auto lines = meter.take_lines();
  ASSERT_EQ(lines.size(), 2U);
  EXPECT_EQ(lines[1].bytes, "log=80");
  EXPECT_TRUE(meter.take_lines().empty());
  Metrics metrics;
  meter.publish(metrics, "sent_bytes_total");
  meter.publish(metrics, "sent_bytes_total");  // adds nothing
  EXPECT_NE(metrics.to_text().find("sent_bytes_total{distance=\"regions\",kind=\"log\"} 80"),
            std::string::npos)
      << metrics.to_text();
}

}  // namespace
}  // namespace stoat
