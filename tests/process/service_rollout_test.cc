/// Rollouts of a plain service with real processes, while callers send requests.
#include <fstream>

#include "tests/process/fleet_process_test.h"

namespace stoat::tools {
namespace {

class ServiceRolloutTest : public FleetProcessTest {
 protected:
  void SetUp() override {
    options_.software = "v1";
    FleetProcessTest::SetUp();
  }
  void start_new_version(uint32_t fails_each) {
    fleet_->start_service_backend("service-new-1", "v2", fails_each);
    fleet_->start_service_backend("service-new-2", "v2", fails_each);
  }
  std::string state() {
    const nlohmann::json page = nlohmann::json::parse(stoatctl("rollout status search").text, nullptr, false);
    return page.is_object() ? page.value("state", "") : "";
  }
  /// Number of requests that started to run at a backend.
  size_t runs_at(const std::string& name) const { return fleet_->runs_at(name).size(); }
};

TEST_F(ServiceRolloutTest, GoodVersionCompletesDespiteALeaderCrash) {
  start_new_version(0);
  const CommandOutput order = stoatctl("rollout start search v2 14");
  ASSERT_EQ(order.status, 0) << order.text;
  EXPECT_EQ(stoatctl("rollout start search v2 14").status, 0) << "a repeated order is acknowledged again";
  EXPECT_EQ(stoatctl("rollout start search v3 14").status, 1) << "an order for another version conflicts";
  const std::string killed = fleet_->leader();
  const std::vector<RequestRecord> records =
      send(13s, {{3s, [&] { processes_->kill(killed); }}, {5s, [&] { processes_->start(killed); }}});
  expect_guarantees(records);
  EXPECT_EQ(complete(records), records.size()) << "a rollout must not lose requests";
  EXPECT_TRUE(LoopbackFleet::wait_until([this] { return state() == "completed"; }, 3s)) << state();
  // The old backends are stopped without draining.
  processes_->kill("service-1");
  processes_->kill("service-2");
  const std::vector<RequestRecord> later = send(2s);
  expect_guarantees(later);
  EXPECT_EQ(complete(later), later.size());
}

TEST_F(ServiceRolloutTest, FailingVersionIsRolledBack) {
  start_new_version(2);
  ASSERT_EQ(stoatctl("rollout start search v2 12").status, 0);
  const std::vector<RequestRecord> records = send(11s);
  EXPECT_TRUE(LoopbackFleet::wait_until([this] { return state() == "rolled_back"; }, 3s)) << state();
  const size_t tried = runs_at("service-new-1") + runs_at("service-new-2");
  EXPECT_GT(tried, 0U) << "the version got no requests";
  constexpr size_t kAllowed = 50;
  EXPECT_LE(tried, records.size() / 10 + kAllowed);
  const std::vector<RequestRecord> later = send(2s);
  EXPECT_EQ(runs_at("service-new-1") + runs_at("service-new-2"), tried)
      << "the version got requests after the rollback";
  EXPECT_EQ(complete(later), later.size());
}

TEST_F(ServiceRolloutTest, InvalidOrdersAreRejectedWithAReason) {
  EXPECT_EQ(stoatctl("rollout status search").status, 1) << "no rollout was ordered";
  EXPECT_EQ(stoatctl("rollout start search v2 0").status, 2);
  EXPECT_EQ(stoatctl("rollout start search v2").status, 2);
  const CommandOutput unknown = stoatctl("rollout start nobody v2 10");
  EXPECT_EQ(unknown.status, 1) << unknown.text;
  EXPECT_NE(unknown.text.find("nobody"), std::string::npos) << unknown.text;
}

}  // namespace
}  // namespace stoat::tools
