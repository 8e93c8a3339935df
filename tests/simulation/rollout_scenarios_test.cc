/// Rollouts of weights to a large fleet of modelled engines, in simulated time: several versions in quick
/// succession, a leader change during a rollout, and crashes of many engines.
#include <gtest/gtest.h>

#include <algorithm>

#include "src/common/random.h"
#include "src/control/weight_rollout.h"

namespace stoat {
namespace {

using control::OrderAnswer;
using control::RolloutStep;
using Kind = RolloutStep::Kind;

constexpr Duration kStep = 20ms;
constexpr Duration kLoadTime = 630ms;
constexpr Duration kStartDelay = 2500ms;
/// Time from the last message of a leader until the next leader may send orders: the default of the setting
/// holder_lease (3 s) plus kOrderLease (400 ms) as a margin.
constexpr Duration kLeaderGap = 3400ms;

/// One engine: accepts an order, and has the version after the load time.
struct ModelEngine {
  fleet::BackendRecord record;
  uint64_t order_sequence = 0;
  uint64_t loading_version = 0;
  TimePoint loaded_at{0};
  TimePoint down_until{0};
};

class RolloutScenario : public ::testing::Test {
 protected:
  void add_engines(size_t count) {
    for (size_t i = 0; i < count; ++i) {
      start(engines_.emplace_back());
    }
  }
  /// Starts an engine under a new identity with the weights that it had.
  void start(ModelEngine& engine) {
    const std::vector<fleet::ModelVersion> models = engine.record.models;
    engine = {};
    engine.record.id = "e" + std::to_string(++started_);
    engine.record.service = "models";
    engine.record.models = models.empty() ? std::vector<fleet::ModelVersion>{{"m", 1}} : models;
  }
  void name(uint64_t version) { named_["m"].record_version(version, now_); }
  /// Replaces the leader; the new one does not know the orders in progress of the old one.
  void change_leader() {
    rollout_ = std::make_unique<control::WeightRollout>(options());
    orders_from_ = now_ + kLeaderGap;
  }
  void crash(double share, Duration downtime) {
    for (ModelEngine& engine : engines_) {
      if (random_.chance(share)) {
        start(engine);
        engine.down_until = now_ + downtime;
      }
    }
  }
  void run_until(TimePoint end) {
    for (; now_ < end; now_ += kStep) {
      for (ModelEngine& engine : engines_) {
        finish_load(engine);
      }
      if (now_ >= orders_from_) {
        plan();
      }
      const auto loading = std::count_if(engines_.begin(), engines_.end(), [](const ModelEngine& engine) {
        return engine.loading_version > 0;
      });
      most_loading_ = std::max(most_loading_, static_cast<size_t>(loading));
    }
  }
  size_t engines_below(uint64_t version) const {
    return static_cast<size_t>(
        std::count_if(engines_.begin(), engines_.end(),
                      [&](const ModelEngine& engine) { return engine.record.version_of("m") < version; }));
  }

  std::vector<ModelEngine> engines_;
  TimePoint now_ = 100s;
  size_t most_loading_ = 0;

 private:
  static control::RolloutOptions options() {
    control::RolloutOptions options;
    options.start_delay = kStartDelay;
    return options;
  }
  void finish_load(ModelEngine& engine) const {
    if (engine.loading_version > 0 && now_ >= engine.loaded_at) {
      engine.record.models[0].version = engine.loading_version;
      engine.loading_version = 0;
    }
  }
  void plan() {
    std::vector<fleet::BackendRecord> records;
    for (const ModelEngine& engine : engines_) {
      if (now_ >= engine.down_until) {
        records.push_back(engine.record);
      }
    }
    for (const RolloutStep& step : rollout_->plan(records, named_, now_)) {
      take(step);
    }
  }
  void take(const RolloutStep& step) {
    const auto found = std::find_if(engines_.begin(), engines_.end(), [&](const ModelEngine& engine) {
      return engine.record.id == step.engine.id;
    });
    if (found == engines_.end()) {
      return;
    }
    if (step.kind == Kind::kOrder) {
      rollout_->on_order_answer(step.engine.id, order(*found, step), now_);
    } else if (step.kind == Kind::kCheck) {
      rollout_->on_report(step.engine.id,
                          {found->loading_version > 0, found->order_sequence, found->record.models}, now_);
    }
  }
  OrderAnswer order(ModelEngine& engine, const RolloutStep& step) const {
    if (engine.loading_version > 0 || step.expected_sequence != engine.order_sequence) {
      return OrderAnswer::kConflict;
    }
    ++engine.order_sequence;
    engine.loading_version = step.version;
    engine.loaded_at = now_ + kLoadTime;
    return OrderAnswer::kTaken;
  }

  Random random_{7};
  fleet::TargetWeights named_;
  std::unique_ptr<control::WeightRollout> rollout_ = std::make_unique<control::WeightRollout>(options());
  TimePoint orders_from_{0};
  size_t started_ = 0;
};

TEST_F(RolloutScenario, EachVersionReachesAllEnginesWithinTheLimit) {
  add_engines(240);
  const TimePoint begin = now_;
  constexpr Duration kLimit = 10s;
  for (uint64_t version = 2; version <= 5; ++version) {
    run_until(begin + static_cast<int64_t>(version - 2) * 4s);
    name(version);
  }
  for (uint64_t version = 2; version <= 5; ++version) {
    run_until(begin + static_cast<int64_t>(version - 2) * 4s + kLimit);
    EXPECT_EQ(engines_below(version), 0U) << "version " << version;
  }
  EXPECT_LE(most_loading_, 40U);
}

TEST_F(RolloutScenario, NewLeaderResumesAfterItsOrderingGap) {
  add_engines(240);
  name(2);
  run_until(now_ + kStartDelay + 2s);
  change_leader();
  const TimePoint orders_from = now_ + kLeaderGap;
  run_until(now_ + 1s);  // loads ordered by the last leader finish
  const size_t before = engines_below(2);
  ASSERT_GT(before, 0U);
  run_until(orders_from + 1s);  // an announcement and a load after the gap
  EXPECT_LT(engines_below(2), before);
  run_until(now_ + 6s);
  EXPECT_EQ(engines_below(2), 0U);
}

TEST_F(RolloutScenario, CrashedEnginesWithOldWeightsGetTheNewestVersion) {
  add_engines(240);
  name(2);
  run_until(now_ + 4s);
  crash(0.3, 1s);
  run_until(now_ + 3s);
  name(3);
  crash(0.3, 1s);
  change_leader();
  run_until(now_ + kLeaderGap + 8s);
  EXPECT_EQ(engines_below(3), 0U);
}

}  // namespace
}  // namespace stoat
