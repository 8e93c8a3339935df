#include "src/placement/first_event_model.h"

#include <algorithm>
#include <cmath>

namespace stoat::placement {

namespace {

/// Factor by which the weight of older samples shrinks with each new one. An engine's estimate averages about
/// ten requests, since a router sends to one engine rarely and the engine's speed may drop suddenly. A
/// service's estimate averages about two hundred.
constexpr double kEngineDecay = 0.9;
constexpr double kServiceDecay = 0.995;
/// Prompts with fewer tokens are used to measure the time not spent on prefill.
constexpr uint64_t kShortPromptTokens = 500;
/// Upper bound on an observed time: this multiple of the expected time plus the allowance. Engines that froze
/// or were lost say nothing about their speed.
constexpr double kMaxExpectedRatio = 4;
constexpr double kAllowanceMs = 100;
/// Upper bound on the duration of a run, as a multiple of the mean. Longer runs are streams that callers read
/// slowly.
constexpr double kMaxRunRatio = 10;

double limit_outlier(double observed_ms, double expected_ms) {
  return std::min(observed_ms, kMaxExpectedRatio * expected_ms + kAllowanceMs);
}

}  // namespace

void EngineSpeed::observe(double observed_ms, double expected_ms) {
  observed_ms_ = kEngineDecay * observed_ms_ + limit_outlier(observed_ms, expected_ms);
  expected_ms_ = kEngineDecay * expected_ms_ + expected_ms;
}

void ServiceSpeed::observe_first_event(const FirstEventSample& sample) {
  if (!sample.engine_was_idle()) {
    return;
  }
  const uint64_t tokens = sample.waiting_tokens + sample.own_tokens;
  const double observed_ms = limit_outlier(sample.observed_ms, idle_ms(tokens));
  if (tokens < kShortPromptTokens) {
    const double prefill_ms = static_cast<double>(tokens) * ms_per_token();
    base_ms_.add(std::max(0.0, observed_ms - prefill_ms), kServiceDecay);
    return;
  }
  // Sums are kept instead of a mean of ratios, because a long prompt shows the speed better than many of
  // medium length.
  prefilled_tokens_ = kServiceDecay * prefilled_tokens_ + static_cast<double>(tokens);
  prefill_ms_ = kServiceDecay * prefill_ms_ + std::max(0.0, observed_ms - base_ms());
}

void ServiceSpeed::observe_run(double slot_ms) {
  run_ms_.add(std::min(slot_ms, kMaxRunRatio * run_ms()), kServiceDecay);
}

void ServiceSpeed::record_expected_answer(double expected_ms) {
  long_answer_ms_ = std::max(expected_ms, kServiceDecay * long_answer_ms_);
}

double estimate_outstanding(const EngineQueue& queue, double run_ms) {
  const double still_valid = std::exp(-to_seconds(queue.age) * 1000 / std::max(1.0, run_ms));
  const double others =
      queue.others_outstanding * still_valid + queue.mean_others_outstanding * (1 - still_valid);
  return queue.own_outstanding + others;
}

FirstEventForecast expect_first_event(const ServiceSpeed& service, const EngineSpeed& engine,
                                      const EngineQueue& queue, uint64_t missing_tokens) {
  FirstEventForecast forecast;
  const double slowness = engine.slowness();
  const double slots = std::max(1U, queue.slots);
  // A full engine frees a slot every run_ms / slots; with k requests waiting, the next one needs k + 1 of
  // them.
  const double slots_needed = estimate_outstanding(queue, service.run_ms()) - slots + 1;
  forecast.slot_wait_ms = std::max(0.0, slots_needed) * service.run_ms() * slowness / slots;
  const double ms_per_token = service.ms_per_token() * slowness;
  forecast.prefill_wait_ms = static_cast<double>(queue.waiting_tokens) * ms_per_token;
  forecast.prefill_ms = static_cast<double>(missing_tokens) * ms_per_token;
  forecast.base_ms = service.base_ms() * slowness;
  return forecast;
}

}  // namespace stoat::placement
