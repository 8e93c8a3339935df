/// Predicts the time from sending a request to its first response event (time to first token), learned from a
/// router's own requests.
///
/// Load and speed differ between engines and services. The prediction lets a router avoid an engine that
/// processes prompts slowly, has many tokens waiting or has no free slot, before any request had to wait
/// there. It relies on three sources, each being the fallback of the previous one: requests to the engine
/// itself, requests to its service, and defaults.
#pragma once

#include <algorithm>
#include <cstdint>

#include "src/common/time.h"

namespace stoat::placement {

/// The load of one engine, as known to a router.
struct EngineQueue {
  uint32_t slots = 1;
  uint32_t own_outstanding = 0;        ///< requests of this router in flight there
  uint32_t others_outstanding = 0;     ///< requests of the other routers, as last reported
  double mean_others_outstanding = 0;  ///< mean of others_outstanding over the engines of the service
  uint64_t waiting_tokens = 0;         ///< prompt tokens of requests there without a first event
  Duration age{0};                     ///< age of the other routers' reports
};

/// The expected time to the first event and its components, in milliseconds.
struct FirstEventForecast {
  double slot_wait_ms = 0;     ///< until a slot is free
  double prefill_wait_ms = 0;  ///< until the prompt tokens waiting there are processed
  double prefill_ms = 0;       ///< to process the missing tokens of the request's prompt
  double base_ms = 0;          ///< minimum even for a short prompt at an idle engine
  /// Time until the prompt is processed. The longer wait counts, since an engine processes waiting prompts
  /// while slots become free.
  double wait_ms() const { return std::max(slot_wait_ms, prefill_wait_ms); }
  double total_ms() const { return wait_ms() + prefill_ms + base_ms; }
};

/// A request that reached its first event at an engine that had a free slot and to which no KV cache was
/// transferred.
struct FirstEventSample {
  uint64_t waiting_tokens = 0;  ///< of other requests there
  uint64_t own_tokens = 0;      ///< tokens of the request that were not cached there
  double observed_ms = 0;
  /// Returns whether the observed time is due to the request itself. Waiting tokens of other requests may
  /// already be partly processed; counting them in full would make the engine seem up to twice as fast as it
  /// is.
  bool engine_was_idle() const { return waiting_tokens <= own_tokens / 4; }
};

/// How an engine's speed compares with its service: observed divided by expected time.
class EngineSpeed {
 public:
  /// `expected_ms`: the expectation for the service as a whole.
  void observe(double observed_ms, double expected_ms);
  double slowness() const { return (kPriorMs + observed_ms_) / (kPriorMs + expected_ms_); }

 private:
  /// Weight of the prior assumption that the engine is as fast as its service, in expected milliseconds
  /// (worth a few first events). With it, one event that is 100 ms late at an engine that answers within 1 ms
  /// makes the engine 1.5 times as slow, not 11 times.
  static constexpr double kPriorMs = 200;
  double observed_ms_ = 0;
  double expected_ms_ = 0;
};

/// A mean that starts at a default value and in which older samples lose weight slowly.
class DecayingMean {
 public:
  /// `prior_weight`: the number of samples the default is worth.
  DecayingMean(double default_value, double prior_weight) : value_(default_value), weight_(prior_weight) {}
  /// `decay`: the factor by which the weight of the older samples shrinks.
  void add(double sample, double decay) {
    weight_ = decay * weight_ + 1;
    value_ += (sample - value_) / weight_;
  }
  double value() const { return value_; }

 private:
  double value_;
  double weight_;
};

/// Speed estimates for the engines of one service.
class ServiceSpeed {
 public:
  void observe_first_event(const FirstEventSample& sample);
  /// Records the duration of a completed run at an engine that had a free slot for it. Runs that had to wait
  /// for a slot must not be included: they would increase the expected wait of later runs without bound.
  void observe_run(double slot_ms);

  /// Records the expected time from a request getting a slot to its first event.
  void record_expected_answer(double expected_ms);

  double ms_per_token() const { return prefill_ms_ / prefilled_tokens_; }
  double base_ms() const { return base_ms_.value(); }
  double run_ms() const { return run_ms_.value(); }
  /// Expected time from getting a slot to the first event, for the slowest of the service's recent requests.
  double long_answer_ms() const { return long_answer_ms_; }
  /// Time to the first event at an engine with a free slot.
  double idle_ms(uint64_t tokens) const { return base_ms() + static_cast<double>(tokens) * ms_per_token(); }

 private:
  /// Initial prefill speed, in tokens per millisecond: that of the slowest known engines.
  static constexpr double kDefaultTokensPerMs = 38;
  /// Weight of that default: one or two prompts are enough to replace it.
  static constexpr double kPriorTokens = 20000;
  /// Initial values for the time to the first event of a very short prompt, for the duration of a run, and
  /// their weight in samples.
  static constexpr double kDefaultBaseMs = 20;
  static constexpr double kDefaultRunMs = 300;
  static constexpr double kPriorSamples = 4;

  double prefilled_tokens_ = kPriorTokens;
  double prefill_ms_ = kPriorTokens / kDefaultTokensPerMs;
  DecayingMean base_ms_{kDefaultBaseMs, kPriorSamples};
  DecayingMean run_ms_{kDefaultRunMs, kPriorSamples};
  double long_answer_ms_ = 0;
};

/// Estimates the number of requests at an engine now. The requests known from a report complete over time as
/// runs do, and are replaced by the mean number at the service's engines.
double estimate_outstanding(const EngineQueue& queue, double run_ms);

/// Returns the forecast for a request with `missing_tokens` tokens that the engine has not cached.
FirstEventForecast expect_first_event(const ServiceSpeed& service, const EngineSpeed& engine,
                                      const EngineQueue& queue, uint64_t missing_tokens);

}  // namespace stoat::placement
