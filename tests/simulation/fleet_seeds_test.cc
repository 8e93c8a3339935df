// The whole request path under random faults, over many seeds, checked against the back ends' ledgers.
#include <gtest/gtest.h>

#include "simulation/fleet_simulation.h"

namespace stoat::simulation {
namespace {

constexpr uint64_t kSeedsPerTest = 20;
constexpr Duration kRun = 20s;

class FleetSeeds : public testing::TestWithParam<uint64_t> {};

TEST_P(FleetSeeds, HoldsAllChecksUnderRandomFaults) {
  const std::string workload = GetParam() % 2 == 0 ? "kavelwind" : "derwent";
  const uint64_t first_seed = 1 + GetParam() * kSeedsPerTest;
  size_t complete = 0;
  for (uint64_t seed = first_seed; seed < first_seed + kSeedsPerTest; ++seed) {
    const FleetReport report = FleetSimulation(faulty_fleet_options(seed, workload, kRun)).run();
    for (const std::string& violation : report.violations) {
      ADD_FAILURE() << violation << "\nreplay: stoat-simulate --set what='\"fleet\"' --set workload='\""
                    << workload << "\"' --set first_seed=" << seed << " --set seeds=1 --set duration_s=20";
    }
    complete += report.complete;
  }
  EXPECT_GT(complete, 5000U) << "most requests must get through, or the run tests nothing";
}

INSTANTIATE_TEST_SUITE_P(Seeds, FleetSeeds, testing::Range<uint64_t>(0, 10));

}  // namespace
}  // namespace stoat::simulation
