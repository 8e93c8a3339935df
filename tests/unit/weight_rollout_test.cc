/// The rollout of weights: the order of engines, limits, and lost or late orders.
#include "src/control/weight_rollout.h"

#include <gtest/gtest.h>

#include <algorithm>

namespace stoat::control {
namespace {

using Kind = RolloutStep::Kind;

fleet::BackendRecord engine(const std::string& id, uint64_t version) {
  fleet::BackendRecord record;
  record.id = id;
  record.service = "s";
  record.models = {{"m", version}};
  return record;
}

std::vector<std::string> engine_ids(const std::vector<RolloutStep>& steps, Kind kind) {
  std::vector<std::string> list;
  for (const RolloutStep& step : steps) {
    if (step.kind == kind) {
      list.push_back(step.engine.id);
    }
  }
  return list;
}

/// Records `now` as the time at which each version was announced, unless an earlier time is already recorded.
void record_versions(fleet::TargetWeights& named, const std::map<std::string, uint64_t>& weights,
                     TimePoint now) {
  for (const auto& [model, version] : weights) {
    named[model].record_version(version, now);
  }
}

class WeightRolloutTest : public ::testing::Test {
 protected:
  std::vector<RolloutStep> plan(TimePoint now) {
    record_versions(named_, weights_, now);
    return rollout_.plan(engines_, named_, now);
  }
  std::vector<fleet::BackendRecord> engines_;
  std::map<std::string, uint64_t> weights_ = {{"m", 2}};
  fleet::TargetWeights named_;
  WeightRollout rollout_{RolloutOptions{}};
};

TEST_F(WeightRolloutTest, LimitsConcurrentLoads) {
  for (int i = 0; i < 8; ++i) {
    engines_.push_back(engine("e" + std::to_string(i), 1));
  }
  // 2 of 8 engines load at a time; one more is announced, so that it has drained when a load ends.
  EXPECT_EQ(engine_ids(plan(1s), Kind::kAnnounce).size(), 3U);
  EXPECT_EQ(engine_ids(plan(1s + 1ms), Kind::kAnnounce).size(), 0U);
  const std::vector<std::string> first = engine_ids(plan(2s), Kind::kOrder);
  EXPECT_EQ(first, (std::vector<std::string>{"e0", "e1"}));
  EXPECT_TRUE(engine_ids(plan(2s + 1ms), Kind::kOrder).empty());
  rollout_.on_order_answer("e0", OrderAnswer::kTaken, 2s + 5ms);
  rollout_.on_order_answer("e1", OrderAnswer::kTaken, 2s + 5ms);
  EXPECT_TRUE(engine_ids(plan(2s + 10ms), Kind::kOrder).empty());
  engines_[0] = engine("e0", 2);
  plan(3s);  // e0 is released
  const auto next = plan(3s + 1ms);
  EXPECT_EQ(engine_ids(next, Kind::kOrder), std::vector<std::string>{"e2"});
  EXPECT_EQ(engine_ids(next, Kind::kAnnounce), std::vector<std::string>{"e3"});
}

TEST_F(WeightRolloutTest, AnnouncedEngineIsNotCountedAsLoading) {
  for (int i = 0; i < 8; ++i) {
    engines_.push_back(engine("e" + std::to_string(i), 1));
  }
  plan(1s);
  plan(2s);
  rollout_.on_order_answer("e0", OrderAnswer::kRefused, 2s + 5ms);
  EXPECT_EQ(engine_ids(plan(2s + 6ms), Kind::kOrder), std::vector<std::string>{"e2"});
}

TEST_F(WeightRolloutTest, UpdatesTheOldestWeightsFirst) {
  // Guards against ordering engines that had just loaded version 2 to load 3 before others had 2.
  engines_ = {engine("a", 2), engine("b", 2), engine("c", 1), engine("d", 2)};
  weights_["m"] = 3;
  EXPECT_EQ(engine_ids(plan(1s), Kind::kAnnounce).at(0), "c");
  EXPECT_EQ(engine_ids(plan(2s), Kind::kOrder), std::vector<std::string>{"c"});
}

TEST_F(WeightRolloutTest, AnnouncesThenOrdersThenChecksThenReleases) {
  engines_ = {engine("a", 1)};
  EXPECT_EQ(engine_ids(plan(1s), Kind::kAnnounce).size(), 1U);
  EXPECT_TRUE(plan(1s + 10ms).empty());
  EXPECT_TRUE(plan(1s + 290ms).empty());
  const auto order_steps = plan(1s + 310ms);
  ASSERT_EQ(engine_ids(order_steps, Kind::kOrder).size(), 1U);
  EXPECT_EQ(order_steps[0].version, 2U);
  EXPECT_EQ(order_steps[0].expected_sequence, 0U);
  EXPECT_TRUE(plan(1s + 320ms).empty());
  rollout_.on_order_answer("a", OrderAnswer::kTaken, 1s + 170ms);
  EXPECT_EQ(engine_ids(plan(2s), Kind::kCheck).size(), 1U);
  rollout_.on_report("a", EngineReport{false, 1, {{"m", 2}}}, 2s);
  engines_ = {engine("a", 2)};
  EXPECT_EQ(engine_ids(plan(2s + 1ms), Kind::kRelease).size(), 1U);
  EXPECT_EQ(rollout_.in_progress(), 0U);
}

TEST_F(WeightRolloutTest, SkipsSupersededVersions) {
  engines_ = {engine("a", 1)};
  weights_["m"] = 7;
  EXPECT_EQ(plan(1s).at(0).version, 7U);
}

TEST_F(WeightRolloutTest, OrdersTheVersionThatIsNewestAtTheOrder) {
  engines_ = {engine("a", 1)};
  plan(1s);
  weights_["m"] = 3;
  const auto order_steps = plan(2s);
  ASSERT_EQ(engine_ids(order_steps, Kind::kOrder).size(), 1U);
  EXPECT_EQ(order_steps[0].version, 3U);
}

TEST(WeightRolloutDelay, NewLeaderDoesNotRestartTheDelay) {
  // Guards against a new leader that counts the delay from its own first plan: no engine got an order for six
  // seconds, and some kept their weights beyond the limit.
  RolloutOptions options;
  options.start_delay = 2s;
  const std::vector<fleet::BackendRecord> engines = {engine("a", 1)};
  fleet::TargetWeights named;
  record_versions(named, {{"m", 2}}, 5s);
  WeightRollout new_leader(options);
  EXPECT_EQ(engine_ids(new_leader.plan(engines, named, 8s), Kind::kAnnounce).size(), 1U);
}

TEST(WeightRolloutDelay, LoadsVersionsInQuickSuccessionAsOne) {
  RolloutOptions options;
  options.start_delay = 2s;
  WeightRollout rollout(options);
  const std::vector<fleet::BackendRecord> engines = {engine("a", 1)};
  fleet::TargetWeights named;
  const auto plan = [&](uint64_t version, TimePoint now) {
    record_versions(named, {{"m", version}}, now);
    return rollout.plan(engines, named, now);
  };
  EXPECT_TRUE(plan(1, 1s).empty());
  EXPECT_TRUE(plan(2, 5s).empty());
  EXPECT_TRUE(plan(3, 6s).empty());
  // The delay counts from the first of these versions, so that its limit is kept.
  const auto steps = plan(3, 7s);
  ASSERT_EQ(engine_ids(steps, Kind::kAnnounce).size(), 1U);
  EXPECT_EQ(steps.front().version, 3U);
}

TEST_F(WeightRolloutTest, RepeatsAnUnansweredOrderWithTheReportedSequence) {
  engines_ = {engine("a", 1)};
  plan(1s);
  plan(1s + 310ms);
  rollout_.on_order_answer("a", OrderAnswer::kNone, 1s + 340ms);
  EXPECT_EQ(engine_ids(plan(1s + 400ms), Kind::kCheck).size(), 1U);
  rollout_.on_report("a", EngineReport{false, 3, {{"m", 1}}}, 1s + 410ms);
  const auto repeated = plan(2s);
  ASSERT_EQ(engine_ids(repeated, Kind::kOrder).size(), 1U);
  EXPECT_EQ(repeated[0].expected_sequence, 3U);
}

TEST_F(WeightRolloutTest, BacksOffFromAnUnreachableEngine) {
  // Guards against a missing backoff: an engine that had crashed was sent 15 orders in a second.
  engines_ = {engine("a", 1)};
  plan(1s);
  plan(1s + 310ms);
  rollout_.on_order_answer("a", OrderAnswer::kRefused, 1s + 320ms);
  EXPECT_EQ(engine_ids(plan(1s + 330ms), Kind::kRelease).size(), 1U);
  EXPECT_TRUE(plan(1s + 500ms).empty());
  EXPECT_EQ(engine_ids(plan(1s + 1400ms), Kind::kAnnounce).size(), 1U);
}

TEST_F(WeightRolloutTest, StopsAfterAHigherFenceWasSeen) {
  engines_ = {engine("a", 1)};
  plan(1s);
  plan(1s + 310ms);
  rollout_.on_order_answer("a", OrderAnswer::kFenced, 1s + 320ms);
  EXPECT_TRUE(rollout_.fenced_off());
}

TEST_F(WeightRolloutTest, SendsNoOrdersToDrainingOrLostEngines) {
  engines_ = {engine("a", 1), engine("b", 1)};
  engines_[0].state = fleet::BackendState::kDraining;
  engines_[1].lost = true;
  EXPECT_TRUE(plan(1s).empty());
}

}  // namespace
}  // namespace stoat::control
