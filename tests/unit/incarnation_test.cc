/// Backends that restart under the same name, and heartbeats that are malformed or sent under a foreign id.
#include "src/fleet/incarnation.h"

#include <gtest/gtest.h>

#include "platform/names.h"
#include "src/control/fleet_bodies.h"
#include "src/fleet/backend_registry.h"

namespace stoat {
namespace {

using fleet::BackendState;

constexpr uint64_t kFirstStart = 1767225600000;
constexpr uint64_t kSecondStart = kFirstStart + 5000;

fleet::BackendRecord make_heartbeat(uint64_t started_ms, uint64_t sequence,
                                    const std::string& address = "10.0.0.1:80") {
  fleet::BackendRecord record;
  record.id = fleet::incarnation_id("e1", started_ms);
  record.service = "models";
  record.address = address;
  record.sequence = sequence;
  record.models = {{"m", 1}};
  return record;
}

TEST(Incarnation, ParsesNameAndStartTime) {
  const std::string id = fleet::incarnation_id("e1", kFirstStart);
  EXPECT_EQ(fleet::backend_name(id), "e1");
  EXPECT_EQ(fleet::started_ms(id), kFirstStart);
  EXPECT_EQ(fleet::incarnation_id("e1", 0), "e1");
  EXPECT_EQ(fleet::started_ms("e1"), 0U);
}

TEST(Incarnation, NameWithSeparatorIsPreserved) {
  const std::string id = fleet::incarnation_id("e1@7", 0);
  EXPECT_EQ(fleet::backend_name(id), "e1@7");
  EXPECT_EQ(fleet::started_ms(id), 0U);
}

class RestartedBackendTest : public testing::Test {
 protected:
  std::string registered_ids() const {
    std::string ids;
    for (const fleet::BackendRecord& record : registry_.records()) {
      ids += record.id + (record.state == BackendState::kReady ? "" : " retired");
    }
    return ids;
  }
  const std::string first_ = fleet::incarnation_id("e1", kFirstStart);
  const std::string second_ = fleet::incarnation_id("e1", kSecondStart);
  fleet::BackendRegistry registry_{fleet::RegistryOptions{}};
};

TEST_F(RestartedBackendTest, ReplacesThePreviousIncarnationAtOnce) {
  registry_.on_heartbeat(make_heartbeat(kFirstStart, 40), 1s);
  EXPECT_TRUE(registry_.on_heartbeat(make_heartbeat(kSecondStart, 1), 2s));
  EXPECT_EQ(registered_ids(), second_);
}

TEST_F(RestartedBackendTest, ReplacesThePreviousIncarnationAtAnotherAddress) {
  registry_.on_heartbeat(make_heartbeat(kFirstStart, 40), 1s);
  registry_.on_heartbeat(make_heartbeat(kSecondStart, 3, "10.0.0.2:80"), 2s);
  EXPECT_EQ(registered_ids(), second_);
  EXPECT_FALSE(registry_.address_taken("10.0.0.1:80", "other"));
}

TEST_F(RestartedBackendTest, LateHeartbeatOfThePreviousIncarnationIsIgnored) {
  registry_.on_heartbeat(make_heartbeat(kFirstStart, 40), 1s);
  registry_.on_heartbeat(make_heartbeat(kSecondStart, 1), 2s);
  EXPECT_FALSE(registry_.on_heartbeat(make_heartbeat(kFirstStart, 41), 3s));
  EXPECT_EQ(registry_.on_compact_heartbeat(fleet::backend_id_hash(first_), 42, 3s),
            fleet::CompactHeartbeatResult::kUnknown);
  EXPECT_TRUE(registry_.on_heartbeat(make_heartbeat(kSecondStart, 2), 4s));
  EXPECT_EQ(registered_ids(), second_);
}

TEST_F(RestartedBackendTest, RetirementOfThePreviousIncarnationDoesNotApply) {
  registry_.on_heartbeat(make_heartbeat(kFirstStart, 40), 1s);
  registry_.retire(first_, BackendState::kDraining);
  registry_.on_heartbeat(make_heartbeat(kSecondStart, 1), 2s);
  EXPECT_EQ(registered_ids(), second_);
}

TEST_F(RestartedBackendTest, MayHaveOlderWeightsThanThePreviousIncarnation) {
  registry_.on_heartbeat(make_heartbeat(kFirstStart, 40), 1s);
  registry_.set_version(first_, "m", 7);
  registry_.on_heartbeat(make_heartbeat(kSecondStart, 1), 2s);
  EXPECT_EQ(registry_.find(second_)->version_of("m"), 1U);
  EXPECT_EQ(registry_.find_by_name("e1")->id, second_);
}

TEST(ForeignWriters, HeartbeatUnderAForeignIdIsIgnored) {
  fleet::BackendRegistry registry{fleet::RegistryOptions{}};
  registry.on_heartbeat(make_heartbeat(0, 4), 1s);
  fleet::BackendRecord foreign = make_heartbeat(0, 900);
  foreign.service = "other";
  EXPECT_FALSE(registry.on_heartbeat(foreign, 2s));
  EXPECT_TRUE(registry.on_heartbeat(make_heartbeat(0, 5), 3s));
  EXPECT_EQ(registry.find("e1")->service, "models");
}

struct MalformedHeartbeat {
  const char* description;
  const char* body;
};

class MalformedHeartbeatTest : public testing::TestWithParam<MalformedHeartbeat> {};

TEST_P(MalformedHeartbeatTest, IsRejected) {
  EXPECT_FALSE(control::read_heartbeat("e1", GetParam().body, platform::body_names()))
      << GetParam().description;
}

INSTANTIATE_TEST_SUITE_P(
    Bodies, MalformedHeartbeatTest,
    testing::Values(
        MalformedHeartbeat{"no state", R"({"service":"s","address":"a:1","sequence":1})"},
        MalformedHeartbeat{"unknown state",
                           R"({"service":"s","address":"a:1","sequence":1,"state":"sleeping"})"},
        MalformedHeartbeat{"state of another type",
                           R"({"service":"s","address":"a:1","sequence":1,"state":7})"},
        MalformedHeartbeat{"start as a text",
                           R"({"service":"s","address":"a:1","sequence":1,"state":"ready","born":"x"})"},
        MalformedHeartbeat{"start as a fraction",
                           R"({"service":"s","address":"a:1","sequence":1,"state":"ready","born":1.5})"},
        MalformedHeartbeat{"sequence beyond all numbers",
                           R"({"service":"s","address":"a:1","sequence":1e300,"state":"ready"})"},
        MalformedHeartbeat{
            "models of another type",
            R"({"service":"s","address":"a:1","sequence":1,"state":"ready","models":{"a":1}})"},
        MalformedHeartbeat{"bytes that are no text", "\xff\xfe{\"service\":"}));

}  // namespace
}  // namespace stoat
