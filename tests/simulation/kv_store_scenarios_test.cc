// The store of kept blocks: exports of what is shared, imports where they are sooner, and its loss.
#include <gtest/gtest.h>

#include "simulation/fleet_simulation.h"

namespace stoat::simulation {
namespace {

using tools::PlannedRequest;
using wire::Outcome;

class KvStoreScenario : public testing::Test {
 protected:
  static FleetSimulationOptions with_store() {
    FleetSimulationOptions options = faulty_fleet_options(21, "derwent", 0s);
    options.random_faults = false;
    options.engine.feed.gap_probability = 0;
    options.engine.cache_blocks = 2000;
    options.kv_store_blocks = 10000;
    return options;
  }

  void start(const FleetSimulationOptions& options) {
    simulation_ = std::make_unique<FleetSimulation>(options);
  }

  /// A request of 4,000 shared tokens and a few of its own.
  static PlannedRequest check(const std::string& tenant, const std::string& text) {
    PlannedRequest request;
    request.tenant = tenant;
    request.serves = "notation-llm";
    request.prompt = std::string(16000, 'g') + text;
    request.max_tokens = 5;
    return request;
  }

  void serve(const PlannedRequest& request) {
    const size_t sent = simulation_->send(request);
    ASSERT_TRUE(simulation_->run_until_ended(sent));
    EXPECT_EQ(simulation_->records()[sent].result.outcome, Outcome::kComplete);
    simulation_->run_for(1s);  // exports, feeds
  }

  /// Every engine comes back empty.
  void empty_engines() {
    for (size_t engine = 0; engine < simulation_->engine_count(); ++engine) {
      simulation_->crash_engine(engine);
      simulation_->start_engine(engine);
    }
    simulation_->run_for(1s);
  }

  FleetReport finish() {
    FleetReport report = simulation_->finish();
    EXPECT_TRUE(report.violations.empty()) << report.violations.front();
    return report;
  }

  std::unique_ptr<FleetSimulation> simulation_;
};

TEST_F(KvStoreScenario, WhatRequestsShareIsExportedAndImportedAfterTheEnginesLostIt) {
  start(with_store());
  serve(check("publisher-1", "first"));
  serve(check("publisher-1", "second"));
  empty_engines();
  serve(check("publisher-1", "third"));
  EXPECT_GE(finish().imported_tokens, 3900U);
}

TEST_F(KvStoreScenario, BlocksOfAnotherTenantOrOfOlderWeightsAreNeverImported) {
  start(with_store());
  serve(check("publisher-1", "first"));
  serve(check("publisher-1", "second"));
  serve(check("publisher-2", "of another tenant"));
  simulation_->order_weights("v2");
  simulation_->run_for(8s);
  serve(check("publisher-1", "under new weights"));
  EXPECT_EQ(finish().imported_tokens, 0U);
}

TEST_F(KvStoreScenario, AStoreThatCameBackEmptyIsNotReliedOn) {
  start(with_store());
  serve(check("publisher-1", "first"));
  serve(check("publisher-1", "second"));
  simulation_->crash_kv_store();
  simulation_->start_kv_store();
  empty_engines();
  serve(check("publisher-1", "third"));
  EXPECT_EQ(finish().imported_tokens, 0U);
}

TEST_F(KvStoreScenario, ImportsThatAreSlowerThanPrefillAreGivenUpAndTriedAgainLater) {
  FleetSimulationOptions options = with_store();
  options.engine.import_us_per_token = 200;  // prefill: 10
  start(options);
  serve(check("publisher-1", "first"));
  serve(check("publisher-1", "second"));
  for (int round = 0; round < 12; ++round) {
    empty_engines();
    serve(check("publisher-1", "round " + std::to_string(round)));
  }
  // Each import would be 3,968 tokens; a router stops after the first ones.
  const FleetReport report = finish();
  EXPECT_GT(report.imported_tokens, 0U);
  EXPECT_LE(report.imported_tokens, 6U * 3968U);
}

/// Random faults, the store's loss among them.
class KvStoreSeeds : public testing::TestWithParam<uint64_t> {};

TEST_P(KvStoreSeeds, HoldsAllChecksUnderRandomFaults) {
  constexpr uint64_t kSeedsOfTest = 10;
  for (uint64_t seed = GetParam() * kSeedsOfTest; seed < (GetParam() + 1) * kSeedsOfTest; ++seed) {
    FleetSimulationOptions options = faulty_fleet_options(seed, seed % 2 == 0 ? "derwent" : "kavelwind", 20s);
    options.kv_store_blocks = 400;
    const FleetReport report = FleetSimulation(options).run();
    EXPECT_TRUE(report.violations.empty())
        << report.violations.front()
        << "; replay: stoat-simulate --set what='\"fleet\"' --set kv_store_blocks=400 --set workload='\""
        << options.workload.name << "\"' --set seeds=1 --set first_seed=" << seed;
  }
}

INSTANTIATE_TEST_SUITE_P(Seeds, KvStoreSeeds, testing::Range(uint64_t{0}, uint64_t{6}));

}  // namespace
}  // namespace stoat::simulation
