/// What connections carry, by purpose and by distance.
#include "src/wire/traffic.h"

#include <gtest/gtest.h>

#include "src/wire/channel.h"

namespace stoat {
namespace {

using topology::Distance;
using wire::Purpose;
using wire::PurposeBytes;

fleet::BackendRecord engine(const std::string& id) {
  fleet::BackendRecord record;
  record.id = id;
  record.address = id + ":1";
  record.models = {{"m", 1}};
  return record;
}

TEST(Traffic, NewsAreDividedByPurposeAndAddUpToTheFrame) {
  fleet::PeerUpdate news;
  news.sender = "10.0.0.1:7";
  news.heartbeats = {engine("e1"), engine("e2")};
  news.loads = {{"e1", 3, 100}};
  news.placements = {{"e1", 1, {1, 2, 3}}};
  const wire::Frame frame = wire::make_frame(news);
  EXPECT_EQ(frame.purposes.total(), frame.bytes.size());
  EXPECT_GT(frame.purposes[Purpose::kBackends], frame.purposes[Purpose::kLoads]);
  EXPECT_GT(frame.purposes[Purpose::kLoads], 0U);
  EXPECT_GT(frame.purposes[Purpose::kPlacements], 0U);
  EXPECT_EQ(frame.purposes[Purpose::kWholes], 0U);
}

TEST(Traffic, AWholeCountsAsOne) {
  fleet::PeerUpdate news;
  news.anew = true;
  news.heartbeats = {engine("e1")};
  const wire::Frame frame = wire::make_frame(news);
  EXPECT_EQ(frame.purposes[Purpose::kWholes], frame.bytes.size());
}

TEST(Traffic, TheFeedOfARouterIsDividedToo) {
  fleet::FleetFeedUpdate news;
  news.backends = {engine("e1")};
  news.loads = {{"e1", 3, 100}};
  news.quotas = {{"t1", 5, true}};
  const PurposeBytes purposes = wire::make_frame(news).purposes;
  EXPECT_GT(purposes[Purpose::kBackends], purposes[Purpose::kLoads]);
  EXPECT_GT(purposes[Purpose::kLevels], 0U);
}

TEST(Traffic, AMeterKeepsDistancesApartAndTellsDifferences) {
  wire::TrafficMeter meter;
  PurposeBytes log;
  log[Purpose::kLog] = 40;
  meter.count(log, Distance::kSameZone);
  meter.count(log, Distance::kOtherRegion);
  meter.count(log, Distance::kOtherRegion);
  EXPECT_EQ(meter.sent(Purpose::kLog, Distance::kOtherRegion), 80U);
  EXPECT_EQ(meter.sent(Purpose::kLog, Distance::kSameRegion), 0U);
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
