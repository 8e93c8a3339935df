/// Random rollouts, simulated with the planner and the judge. Bounds how often a good version is rejected, a
/// bad one is accepted, and a bad one gets more requests than the operators allow.
#include <gtest/gtest.h>

#include <atomic>
#include <iostream>
#include <thread>

#include "tests/support/simulated_rollout.h"

namespace stoat {
namespace {

using test::random_rollout_conditions;
using test::SimulatedRollout;

constexpr uint64_t kRollouts = 100000;
constexpr unsigned kThreads = 4;
/// Number of bad answers before the switch from which a bad version must be detected.
constexpr double kClearlyBadResponses = 100;

struct Outcomes {
  std::atomic<uint64_t> good{0};
  std::atomic<uint64_t> good_completed{0};
  std::atomic<uint64_t> bad{0};
  std::atomic<uint64_t> bad_rolled_back{0};
  std::atomic<uint64_t> clearly_bad_completed{0};
  std::atomic<uint64_t> too_many{0};
  std::atomic<uint64_t> too_long{0};
};

void simulate(uint64_t seed, Outcomes& outcomes) {
  const bool bad = seed % 2 == 1;
  SimulatedRollout rollout(random_rollout_conditions(seed, bad), seed);
  rollout.run();
  if (!bad) {
    ++outcomes.good;
    outcomes.good_completed += rollout.completed_in_time() ? 1 : 0;
    return;
  }
  ++outcomes.bad;
  outcomes.bad_rolled_back += rollout.rolled_back_in_time() ? 1 : 0;
  const bool completed = rollout.rollout().phase == fleet::RolloutPhase::kCompleted;
  outcomes.clearly_bad_completed +=
      completed && rollout.bad_responses_before_switch() >= kClearlyBadResponses ? 1 : 0;
  outcomes.too_many += rollout.exceeded_exposure_bounds() ? 1 : 0;
  outcomes.too_long += rollout.rolled_back_too_late() ? 1 : 0;
}

TEST(ServiceRolloutProperty, HundredThousandRandomRollouts) {
  Outcomes outcomes;
  std::vector<std::thread> threads;
  for (unsigned thread = 0; thread < kThreads; ++thread) {
    threads.emplace_back([thread, &outcomes] {
      for (uint64_t seed = thread; seed < kRollouts; seed += kThreads) {
        simulate(seed, outcomes);
      }
    });
  }
  for (std::thread& thread : threads) {
    thread.join();
  }
  const auto part = [](uint64_t some, uint64_t all) {
    return static_cast<double>(some) / static_cast<double>(all);
  };
  std::cout << "good " << outcomes.good << ", completed in time " << outcomes.good_completed << "; bad "
            << outcomes.bad << ", rolled back in time " << outcomes.bad_rolled_back
            << "; clearly bad, completed " << outcomes.clearly_bad_completed << "; too many requests "
            << outcomes.too_many << ", for too long " << outcomes.too_long << "\n";
  EXPECT_GE(part(outcomes.good_completed, outcomes.good), 0.99);
  EXPECT_GE(part(outcomes.bad_rolled_back, outcomes.bad), 0.96);
  EXPECT_LE(part(outcomes.clearly_bad_completed, outcomes.bad), 0.005);
  EXPECT_EQ(outcomes.too_many, 0U);
  EXPECT_LE(part(outcomes.too_long, outcomes.bad), 0.002);
}

}  // namespace
}  // namespace stoat
