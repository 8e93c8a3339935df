/// The planner's steps of a service rollout, including failures in every phase.
#include "src/rollout/rollout_planner.h"

#include <gtest/gtest.h>

#include "tests/support/rollouts.h"

namespace stoat {
namespace {

using fleet::RolloutPhase;
using fleet::ServiceRollout;
using test::make_rollout;

class PlannerTest : public ::testing::Test {
 protected:
  PlannerTest() {
    view_.rollout = &rollout_;
    view_.target_ready = 45;
    view_.others_ready = 45;
    view_.longest_run = 2s;
    view_.time_in_step = 900ms;
    view_.all_sent = 3000;
    view_.target_sent = 200;
    view_.judgement.answers = 200;
    view_.judgement.covered = true;
  }
  std::optional<fleet::StepServiceRollout> next(RolloutPhase phase, Duration age) {
    rollout_ = make_rollout(phase);
    rollout_.all_backends = phase != RolloutPhase::kWaiting;
    view_.age = age;
    return rollout::next_step(view_, options_);
  }
  bool next_phase_is(RolloutPhase phase, Duration age, RolloutPhase expected) {
    const auto step = next(phase, age);
    return step && step->phase == expected;
  }
  ServiceRollout rollout_;
  rollout::RolloutView view_;
  rollout::PlannerOptions options_;
};

TEST_F(PlannerTest, WaitsForBackendsThenStartsTheTrialThenSwitches) {
  view_.target_ready = 0;
  EXPECT_FALSE(next(RolloutPhase::kWaiting, 1s));
  view_.target_ready = 45;
  const auto trial = next(RolloutPhase::kWaiting, 1s);
  ASSERT_TRUE(trial);
  EXPECT_EQ(trial->phase, RolloutPhase::kTrial);
  EXPECT_GT(trial->share, 0.05);
  EXPECT_LT(trial->share, 0.09);
  EXPECT_FALSE(next(RolloutPhase::kTrial, 5s)) << "the trial should last as long as possible";
  EXPECT_TRUE(next_phase_is(RolloutPhase::kTrial, 8s, RolloutPhase::kSwitching));
}

TEST_F(PlannerTest, CompletesOnlyWhenNoRouterUsesOtherVersions) {
  view_.time_in_step = 1500ms;
  view_.all_applied = false;
  EXPECT_FALSE(next(RolloutPhase::kSwitching, 10s));
  view_.all_applied = true;
  view_.others_running = 1;
  EXPECT_FALSE(next(RolloutPhase::kSwitching, 10s));
  EXPECT_FALSE(next(RolloutPhase::kSwitching, 13s))
      << "completion would cut off running requests; missing the deadline is preferred";
  view_.others_running = 0;
  EXPECT_TRUE(next_phase_is(RolloutPhase::kSwitching, 10s, RolloutPhase::kCompleted));
}

TEST_F(PlannerTest, BadVersionIsRolledBackFromTrialAndSwitch) {
  view_.judgement.bad = true;
  EXPECT_TRUE(next_phase_is(RolloutPhase::kTrial, 3s, RolloutPhase::kRollingBack));
  EXPECT_TRUE(next_phase_is(RolloutPhase::kSwitching, 9s, RolloutPhase::kRollingBack));
  view_.all_applied = false;
  EXPECT_FALSE(next(RolloutPhase::kRollingBack, 4s));
  view_.all_applied = true;
  EXPECT_TRUE(next_phase_is(RolloutPhase::kRollingBack, 4s, RolloutPhase::kRolledBack));
}

TEST_F(PlannerTest, RollsBackBeforeTheDeadlineWithTooFewBackends) {
  view_.target_ready = 0;
  EXPECT_TRUE(next_phase_is(RolloutPhase::kWaiting, 11s, RolloutPhase::kRollingBack));
  view_.target_ready = 3;
  EXPECT_FALSE(next(RolloutPhase::kTrial, 8s)) << "more backends may become available";
  EXPECT_TRUE(next_phase_is(RolloutPhase::kTrial, 11s, RolloutPhase::kRollingBack));
}

TEST_F(PlannerTest, RollsBackWithTooFewAnswersOrInDoubt) {
  view_.judgement.answers = 3;
  EXPECT_FALSE(next(RolloutPhase::kTrial, 8s));
  EXPECT_TRUE(next_phase_is(RolloutPhase::kTrial, 11s, RolloutPhase::kRollingBack));
  view_.judgement.answers = 200;
  view_.judgement.doubt = 0.7;
  EXPECT_TRUE(next_phase_is(RolloutPhase::kTrial, 11s, RolloutPhase::kRollingBack));
}

TEST_F(PlannerTest, TestedVersionTakesOverWhenAllOthersAreGone) {
  view_.others_ready = 0;
  view_.time_without_others = 200ms;
  EXPECT_FALSE(next(RolloutPhase::kTrial, 5s)) << "the other backends may return at once";
  view_.time_without_others = 2s;
  EXPECT_TRUE(next_phase_is(RolloutPhase::kTrial, 5s, RolloutPhase::kSwitching));
  view_.judgement.bad = true;
  EXPECT_TRUE(next_phase_is(RolloutPhase::kTrial, 5s, RolloutPhase::kRollingBack))
      << "a bad version must not take over";
}

TEST_F(PlannerTest, RollsBackWhenTheServiceIsRemoved) {
  view_.service_known = false;
  EXPECT_TRUE(next_phase_is(RolloutPhase::kWaiting, 2s, RolloutPhase::kRollingBack));
  EXPECT_TRUE(next_phase_is(RolloutPhase::kTrial, 2s, RolloutPhase::kRollingBack));
  EXPECT_TRUE(next_phase_is(RolloutPhase::kSwitching, 9s, RolloutPhase::kRollingBack));
}

TEST_F(PlannerTest, LeaderElectedAfterTheDeadlineEndsTheRollout) {
  EXPECT_TRUE(next_phase_is(RolloutPhase::kWaiting, 30s, RolloutPhase::kRollingBack));
  view_.judgement.answers = 0;
  EXPECT_TRUE(next_phase_is(RolloutPhase::kTrial, 30s, RolloutPhase::kRollingBack));
  view_.all_applied = true;
  EXPECT_TRUE(next_phase_is(RolloutPhase::kSwitching, 30s, RolloutPhase::kCompleted));
}

TEST_F(PlannerTest, HoldsAVersionThatHasUsedItsShare) {
  view_.target_sent = 0.09 * view_.all_sent + 40;
  const auto on_hold = next(RolloutPhase::kTrial, 5s);
  ASSERT_TRUE(on_hold);
  EXPECT_EQ(on_hold->share, 0);
}

TEST_F(PlannerTest, OneOfFewBackendsGetsFullLoadInBursts) {
  view_.target_ready = view_.others_ready = 4;
  view_.target_sent = 50;
  const auto burst = next(RolloutPhase::kTrial, 5s);
  ASSERT_TRUE(burst);
  EXPECT_DOUBLE_EQ(burst->share, 0.25);
  view_.target_sent = 240;
  const auto over_budget = next(RolloutPhase::kTrial, 5s);
  EXPECT_TRUE(!over_budget || over_budget->share < 0.2)
      << "the requests sent so far leave no budget for a burst";
}

TEST_F(PlannerTest, OnlyAvailableVersionSwitchesAtOnce) {
  rollout_ = make_rollout(RolloutPhase::kWaiting);
  rollout_.active_versions.clear();
  view_.others_ready = 0;
  view_.age = 1s;
  const auto step = rollout::next_step(view_, options_);
  ASSERT_TRUE(step);
  EXPECT_EQ(step->phase, RolloutPhase::kSwitching);
}

TEST(PlannerOptionsTest, StayBelowTheOperatorsBounds) {
  const rollout::PlannerOptions usual = rollout::planner_options({0.1, 50});
  EXPECT_DOUBLE_EQ(usual.share, rollout::PlannerOptions{}.share);
  EXPECT_DOUBLE_EQ(usual.extra_requests, rollout::PlannerOptions{}.extra_requests);
  EXPECT_DOUBLE_EQ(usual.hold_share, rollout::PlannerOptions{}.hold_share);
  EXPECT_DOUBLE_EQ(usual.hold_extra_requests, rollout::PlannerOptions{}.hold_extra_requests);
  const rollout::PlannerOptions strict = rollout::planner_options({0.02, 10});
  EXPECT_LT(strict.share, strict.hold_share);
  EXPECT_LT(strict.hold_share, 0.02);
  EXPECT_LT(strict.hold_extra_requests, 10);
}

TEST(PlannerOptionsTest, InvalidBoundsAreReported) {
  Findings findings;
  SettingsReader reader =
      SettingsReader::load("", {"rollout_exposure_share=1.5", "rollout_exposure_slack=-1"}, findings);
  rollout::read_exposure_bounds(reader);
  EXPECT_EQ(findings.list().size(), 2U) << findings.to_text();
}

}  // namespace
}  // namespace stoat
