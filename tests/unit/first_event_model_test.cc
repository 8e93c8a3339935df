/// Forecasts of the time to the first event, compared with fake engines under a load of long and short
/// prompts.
#include "src/placement/first_event_model.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <cmath>
#include <queue>

#include "src/common/random.h"
#include "src/placement/prompt_placement.h"
#include "tests/support/fake_engine.h"

namespace stoat::placement {
namespace {

using test::FakeEngine;
using test::FakeRequestTimes;

constexpr size_t kSlots = 16;
constexpr double kFastTokensPerMs = 93;
/// Factor by which every third engine is slower.
constexpr double kSlowEngineFactor = 1.3;
constexpr size_t kEngines = 12;
constexpr double kAnswerMs = 250;
/// One long prompt per 22 short ones, as in the load profiles.
constexpr double kLongShare = 0.044;
constexpr double kLongTokens = 3720;
constexpr double kShortTokens = 291;

bool is_slow(size_t engine) { return engine % 3 == 0; }

/// Simulates the requests of a router, their forecasts, and what the engines then do.
class Replay {
 public:
  Replay(double per_second, uint64_t seed) : per_second_(per_second), random_(seed) {
    for (size_t engine = 0; engine < kEngines; ++engine) {
      engines_.emplace_back(kSlots, kFastTokensPerMs / (is_slow(engine) ? kSlowEngineFactor : 1));
    }
  }

  /// Runs the simulation up to `until_ms` and records forecast errors from `measured_from_ms` on.
  void play(double until_ms, double measured_from_ms) {
    while (now_ms_ < until_ms) {
      now_ms_ += random_.exponential(1000 / per_second_);
      observe_completed();
      send(now_ms_ >= measured_from_ms);
    }
  }
  double median_error() { return median(errors_); }
  double median_error_of_constants() { return median(constant_errors_); }
  double mean_slowness(bool slow) const {
    double sum = 0;
    double count = 0;
    for (size_t engine = 0; engine < kEngines; ++engine) {
      sum += is_slow(engine) == slow ? speeds_[engine].slowness() : 0;
      count += is_slow(engine) == slow ? 1 : 0;
    }
    return sum / count;
  }
  const ServiceSpeed& service() const { return service_; }

 private:
  struct SentRequest {
    double first_event_at_ms = 0;
    size_t engine = 0;
    uint64_t waiting_tokens = 0;
    uint64_t own_tokens = 0;
    bool slot_free = false;
    double sent_ms = 0;
    double end_ms = 0;
    bool operator>(const SentRequest& other) const { return first_event_at_ms > other.first_event_at_ms; }
  };
  static double median(std::vector<double>& values) {
    std::sort(values.begin(), values.end());
    return values.at(values.size() / 2);
  }
  void send(bool measured) {
    const size_t engine = random_.below(kEngines);
    const double mean = random_.chance(kLongShare) ? kLongTokens : kShortTokens;
    const double tokens = std::min(random_.exponential(mean), 10 * mean);
    EngineQueue queue;
    queue.slots = kSlots;
    queue.own_outstanding = static_cast<uint32_t>(engines_[engine].outstanding(now_ms_));
    queue.waiting_tokens = static_cast<uint64_t>(engines_[engine].waiting_tokens(now_ms_));
    const auto own_tokens = static_cast<uint64_t>(tokens);
    const double expected = expect_first_event(service_, speeds_[engine], queue, own_tokens).total_ms();
    const FakeRequestTimes run = engines_[engine].enqueue(now_ms_, tokens, random_.exponential(kAnswerMs));
    sent_.push({run.first_event_ms, engine, queue.waiting_tokens, own_tokens, queue.own_outstanding < kSlots,
                now_ms_, run.end_ms});
    if (measured) {
      errors_.push_back(std::abs(run.first_event_ms - now_ms_ - expected));
      const double constant = static_cast<double>(queue.waiting_tokens + own_tokens) / 38.0 +
                              (queue.own_outstanding >= kSlots ? 400 : 0);
      constant_errors_.push_back(std::abs(run.first_event_ms - now_ms_ - constant));
    }
  }
  void observe_completed() {
    for (; !sent_.empty() && sent_.top().first_event_at_ms <= now_ms_; sent_.pop()) {
      const SentRequest& sent = sent_.top();
      const FirstEventSample sample{sent.waiting_tokens, sent.own_tokens,
                                    sent.first_event_at_ms - sent.sent_ms};
      if (!sent.slot_free) {
        continue;
      }
      service_.observe_run(sent.end_ms - sent.sent_ms);
      if (sample.engine_was_idle()) {
        speeds_[sent.engine].observe(sample.observed_ms, service_.idle_ms(sample.own_tokens));
        service_.observe_first_event(sample);
      }
    }
  }

  double per_second_;
  Random random_;
  double now_ms_ = 0;
  std::vector<FakeEngine> engines_;
  std::vector<EngineSpeed> speeds_ = std::vector<EngineSpeed>(kEngines);
  ServiceSpeed service_;
  std::priority_queue<SentRequest, std::vector<SentRequest>, std::greater<>> sent_;
  std::vector<double> errors_;
  std::vector<double> constant_errors_;
};

TEST(FirstEventModel, LearnsSpeedOfServiceAndOfSlowEngines) {
  Replay replay(400, 1);
  replay.play(30000, 20000);
  EXPECT_NEAR(1 / replay.service().ms_per_token(), kFastTokensPerMs / 1.1, 25);
  EXPECT_NEAR(replay.service().base_ms(), 15, 5);
  EXPECT_GT(replay.mean_slowness(true), replay.mean_slowness(false));
}

TEST(FirstEventModel, PredictsBetterThanConstantsBelowAndAboveCapacity) {
  // 12 engines with 16 slots complete about 700 such requests per second.
  for (const double per_second : {200.0, 600.0, 780.0}) {
    Replay replay(per_second, 2);
    replay.play(20000, 8000);
    EXPECT_LT(replay.median_error(), replay.median_error_of_constants()) << per_second;
  }
}

TEST(FirstEventModel, FullEngineIsExpectedToFreeSlotsOneByOne) {
  const ServiceSpeed service;
  const EngineSpeed engine;
  EngineQueue queue;
  queue.slots = 10;
  queue.own_outstanding = 9;
  EXPECT_EQ(expect_first_event(service, engine, queue, 0).slot_wait_ms, 0);
  queue.own_outstanding = 10;
  EXPECT_DOUBLE_EQ(expect_first_event(service, engine, queue, 0).slot_wait_ms, service.run_ms() / 10);
  queue.own_outstanding = 19;
  EXPECT_DOUBLE_EQ(expect_first_event(service, engine, queue, 0).slot_wait_ms, service.run_ms());
}

TEST(FirstEventModel, OlderReportsLoseWeightAgainstTheMean) {
  EngineQueue queue;
  queue.others_outstanding = 30;
  queue.mean_others_outstanding = 6;
  EXPECT_DOUBLE_EQ(estimate_outstanding(queue, 300), 30);
  queue.age = 300ms;
  EXPECT_NEAR(estimate_outstanding(queue, 300), 6 + 24 / std::exp(1), 0.01);
  queue.age = 10s;
  EXPECT_NEAR(estimate_outstanding(queue, 300), 6, 0.01);
  queue.own_outstanding = 2;
  EXPECT_NEAR(estimate_outstanding(queue, 300), 8, 0.01);
}

TEST(FirstEventModel, FrozenEngineDoesNotDistortServiceSpeed) {
  ServiceSpeed service;
  for (int sample = 0; sample < 100; ++sample) {
    service.observe_first_event({0, 10000, 15 + 10000 / kFastTokensPerMs});
  }
  const double before = service.ms_per_token();
  service.observe_first_event({0, 10000, 60000});
  EXPECT_LT(service.ms_per_token(), before * 1.15);
}

TEST(FirstEventModel, SingleLateEventHasLittleEffectOnFastEngine) {
  EngineSpeed engine;
  for (int send = 0; send < 100; ++send) {
    engine.observe(1, 1);
  }
  engine.observe(100, 1);
  EXPECT_LT(engine.slowness(), 1.6);
  EngineSpeed slow;
  for (int send = 0; send < 20; ++send) {
    slow.observe(300, 100);
  }
  EXPECT_GT(slow.slowness(), 2.3);
}

TEST(FirstEventModel, BusyEngineWithoutSharedPartLosesToFasterEngine) {
  PromptChain chain;
  chain.prompt_parts = {{1, 2000}, {2, 500}};
  chain.prompt_tokens = 2500;
  std::vector<EngineView> engines(2);
  for (size_t engine = 0; engine < engines.size(); ++engine) {
    engines[engine].name_hash = engine + 1;
    engines[engine].slots = 16;
    engines[engine].ms_per_token = 1 / kFastTokensPerMs;
  }
  const Placement idle = choose_placement(chain, engines, nullptr, {}, TimePoint(0));
  engines[idle.target].wait_ms = 300;
  EXPECT_NE(choose_placement(chain, engines, nullptr, {}, TimePoint(0)).target, idle.target);
}

}  // namespace
}  // namespace stoat::placement
