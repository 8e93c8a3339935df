#include "src/placement/first_event_model.h"

#include <algorithm>
#include <cmath>

namespace stoat::placement {

namespace {

/// What is left of older samples' weight after each new one. Engines: some ten sends, since a router sends to
/// one engine seldom and it may turn slow at once. Services: some two hundred.
constexpr double kEngineMemory = 0.9;
constexpr double kServiceMemory = 0.995;
/// Prompts of fewer tokens show the time that is not spent on reading.
constexpr uint64_t kShortPrompt = 500;
/// A first event that took more than so many times what was expected, and more than the allowance above it,
/// counts as this much: engines that were frozen or lost say nothing about their speed.
constexpr double kMostTimesExpected = 4;
constexpr double kAllowanceMs = 100;
/// Runs longer than so many times the mean count as that: streams that callers read slowly.
constexpr double kMostTimesRun = 10;

double bounded(double observed_ms, double expected_ms) {
  return std::min(observed_ms, kMostTimesExpected * expected_ms + kAllowanceMs);
}

}  // namespace

void EngineSpeed::observe(double observed_ms, double expected_ms) {
  observed_ms_ = kEngineMemory * observed_ms_ + bounded(observed_ms, expected_ms);
  expected_ms_ = kEngineMemory * expected_ms_ + expected_ms;
}

void ServiceSpeed::observe_first_event(const FirstEventSample& sample) {
  if (!sample.engine_was_idle()) {
    return;
  }
  const uint64_t tokens = sample.waiting_tokens + sample.own_tokens;
  const double observed_ms = bounded(sample.observed_ms, idle_ms(tokens));
  if (tokens < kShortPrompt) {
    const double prefill_ms = static_cast<double>(tokens) * ms_per_token();
    base_ms_.add(std::max(0.0, observed_ms - prefill_ms), kServiceMemory);
    return;
  }
  // Sums, not means of ratios: a long prompt shows the speed better than many of middle length.
  read_tokens_ = kServiceMemory * read_tokens_ + static_cast<double>(tokens);
  reading_ms_ = kServiceMemory * reading_ms_ + std::max(0.0, observed_ms - base_ms());
}

void ServiceSpeed::observe_run(double slot_ms) {
  run_ms_.add(std::min(slot_ms, kMostTimesRun * run_ms()), kServiceMemory);
}

void ServiceSpeed::record_expected_answer(double expected_ms) {
  long_answer_ms_ = std::max(expected_ms, kServiceMemory * long_answer_ms_);
}

double estimate_outstanding(const EngineQueue& queue, double run_ms) {
  const double still_known = std::exp(-to_seconds(queue.age) * 1000 / std::max(1.0, run_ms));
  const double others =
      queue.others_outstanding * still_known + queue.mean_others_outstanding * (1 - still_known);
  return queue.own_outstanding + others;
}

FirstEventForecast expect_first_event(const ServiceSpeed& service, const EngineSpeed& engine,
                                      const EngineQueue& queue, uint64_t missing_tokens) {
  FirstEventForecast forecast;
  const double slowness = engine.slowness();
  const double slots = std::max(1U, queue.slots);
  // A full engine frees a slot each run_ms / slots; with k requests waiting it takes k + 1 of them.
  const double ahead = estimate_outstanding(queue, service.run_ms()) - slots + 1;
  forecast.slot_wait_ms = std::max(0.0, ahead) * service.run_ms() * slowness / slots;
  const double ms_per_token = service.ms_per_token() * slowness;
  forecast.reading_wait_ms = static_cast<double>(queue.waiting_tokens) * ms_per_token;
  forecast.prefill_ms = static_cast<double>(missing_tokens) * ms_per_token;
  forecast.base_ms = service.base_ms() * slowness;
  return forecast;
}

}  // namespace stoat::placement
