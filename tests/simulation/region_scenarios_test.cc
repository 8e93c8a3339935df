// Fleets of several regions: requests stay in theirs, go to another where they must, and regions lose each
// other.
#include <gtest/gtest.h>

#include "simulation/fleet_simulation.h"

namespace stoat::simulation {
namespace {

using tools::PlannedRequest;
using tools::RequestClass;
using wire::FailureReason;
using wire::Outcome;

/// The sidecar of the region that has no control members.
constexpr size_t kFarSidecar = 1;

class RegionScenario : public testing::Test {
 protected:
  static FleetSimulationOptions two_regions(Duration traffic = 0s) {
    FleetSimulationOptions options = faulty_fleet_options(11, "kavelwind", traffic);
    options.random_faults = false;
    options.engine.feed.gap_probability = 0;
    options.regions = 2;
    options.routers = 4;
    options.sidecars = 2;
    options.engines = 6;
    return options;
  }

  void start(const FleetSimulationOptions& options) {
    simulation_ = std::make_unique<FleetSimulation>(options);
  }

  static PlannedRequest question(const std::string& text) {
    PlannedRequest request;
    request.tenant = "owner-1";
    request.serves = "bidmodel";
    request.prompt = std::string(2000, 'p') + text;
    request.max_tokens = 20;
    return request;
  }

  static PlannedRequest bid(const std::string& key) {
    PlannedRequest request = question("bid " + key);
    request.request_class = RequestClass::kDecision;
    request.repeatable = false;
    request.idempotency_key = key;
    return request;
  }

  const wire::RequestFinished& result_of(const PlannedRequest& request, size_t sidecar) {
    const size_t sent = simulation_->send(request, sidecar);
    EXPECT_TRUE(simulation_->run_until_ended(sent));
    return simulation_->records()[sent].result;
  }

  void TearDown() override {
    const FleetReport report = simulation_->finish();
    EXPECT_TRUE(report.violations.empty()) << report.violations.front();
  }

  std::unique_ptr<FleetSimulation> simulation_;
};

TEST_F(RegionScenario, RequestsStayInTheRegionOfTheirCaller) {
  start(two_regions(4s));
  const FleetReport report = simulation_->run();
  EXPECT_GT(report.complete, 100U);
  EXPECT_EQ(simulation_->cross_region_dispatches(), 0U);
}

TEST_F(RegionScenario, AModelThatOnlyAnotherRegionHasIsServedThere) {
  FleetSimulationOptions options = two_regions();
  options.models_in_last_region_only = true;
  start(options);
  EXPECT_EQ(result_of(question("from afar"), 0).outcome, Outcome::kComplete);
  // The router that chose the engine knows its caches and load: it stands in the same region.
  EXPECT_EQ(simulation_->cross_region_dispatches(), 0U);
}

TEST_F(RegionScenario, ARegionThatLostItsRoutersIsServedByTheOther) {
  start(two_regions());
  for (size_t position = kFarSidecar; position < simulation_->router_count(); position += 2) {
    simulation_->crash_router(position);
  }
  EXPECT_EQ(result_of(question("after the loss"), kFarSidecar).outcome, Outcome::kComplete);
}

TEST_F(RegionScenario, RegionsThatLoseEachOtherServeOnAndRunNothingTwice) {
  start(two_regions());
  simulation_->cut_regions();
  simulation_->run_for(6s);  // leases run out
  EXPECT_EQ(result_of(question("far side"), kFarSidecar).outcome, Outcome::kComplete);
  EXPECT_EQ(result_of(question("near side"), 0).outcome, Outcome::kComplete);
  EXPECT_EQ(result_of(bid("near bid"), 0).outcome, Outcome::kComplete);
  const wire::RequestFinished refused = result_of(bid("far bid"), kFarSidecar);
  EXPECT_EQ(refused.outcome, Outcome::kNotRun);
  EXPECT_EQ(refused.reason, FailureReason::kClaimUnavailable);
  EXPECT_GT(refused.retry_after_ms, 0);
  simulation_->join_regions();
  simulation_->run_for(6s);
  EXPECT_EQ(result_of(bid("far bid"), kFarSidecar).outcome, Outcome::kComplete);
  EXPECT_EQ(result_of(bid("near bid"), kFarSidecar).outcome, Outcome::kComplete);
  EXPECT_EQ(simulation_->checks().runs_of_key("near bid"), 1U);
  EXPECT_EQ(simulation_->checks().runs_of_key("far bid"), 1U);
}

}  // namespace
}  // namespace stoat::simulation
