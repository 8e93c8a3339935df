// Randomized simulation of the control members: all invariants of ControlSimulation must hold over many
// seeds.
#include <gtest/gtest.h>

#include "simulation/control_simulation.h"

namespace stoat::simulation {
namespace {

constexpr uint64_t kSeedsPerTest = 50;

class ControlSeeds : public testing::TestWithParam<uint64_t> {};

TEST_P(ControlSeeds, AllChecksPassUnderRandomFaults) {
  const uint64_t first_seed = 1 + GetParam() * kSeedsPerTest;
  for (uint64_t seed = first_seed; seed < first_seed + kSeedsPerTest; ++seed) {
    ControlSimulationOptions options;
    options.seed = seed;
    // Every fifth run uses five voters instead of three.
    options.voters = seed % 5 == 0 ? 5 : 3;
    options.duration = 20s;
    const SimulationResult result = ControlSimulation(options).run();
    for (const std::string& violation : result.violations) {
      ADD_FAILURE() << violation << "\nreplay: stoat-simulate --set first_seed=" << seed
                    << " --set seeds=1 --set duration_s=20 --set voters=" << options.voters;
    }
    EXPECT_GT(result.configurations_accepted, 0U) << "seed " << seed << " had no configuration";
    EXPECT_GT(result.retirements_accepted, 0U) << "seed " << seed << " had no retirement";
    EXPECT_GT(result.reads_confirmed, 0U) << "seed " << seed << " had no confirmed read";
    EXPECT_GT(result.faults, 0U) << "seed " << seed << " had no faults";
  }
}

INSTANTIATE_TEST_SUITE_P(Seeds, ControlSeeds, testing::Range<uint64_t>(0, 10));

}  // namespace
}  // namespace stoat::simulation
