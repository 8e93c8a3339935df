/// How long after its send a request's first event is expected, learned from a router's own sends.
///
/// Answers load that differs between engines and services: an engine that reads prompts slowly, has many
/// tokens waiting or no free slot is expected to answer late before anyone has waited for it. What is known
/// comes from three places, each the fallback of the one before: the engine's own sends, those of its
/// service, the defaults.
#pragma once

#include <algorithm>
#include <cstdint>

#include "src/common/time.h"

namespace stoat::placement {

/// The work at one engine, as far as a router knows.
struct EngineQueue {
  uint32_t slots = 1;
  uint32_t own_outstanding = 0;        ///< requests of this router under way there
  uint32_t others_outstanding = 0;     ///< of the other routers, as last told
  double mean_others_outstanding = 0;  ///< mean of others_outstanding over the engines of the service
  uint64_t waiting_tokens = 0;         ///< of prompts there that have no first event yet
  Duration age{0};                     ///< of what the other routers have told
};

/// The expected time to the first event, by what it is spent on, in milliseconds.
struct FirstEventForecast {
  double slot_wait_ms = 0;     ///< until a slot is free
  double reading_wait_ms = 0;  ///< until the tokens that wait there are read
  double prefill_ms = 0;       ///< of the request's own tokens
  double base_ms = 0;          ///< that even a short prompt takes at an idle engine
  /// Until its own prompt is read. The longer one counts: an engine reads what waits while slots become free.
  double wait_ms() const { return std::max(slot_wait_ms, reading_wait_ms); }
  double total_ms() const { return wait_ms() + prefill_ms + base_ms; }
};

/// One send that reached its first event at an engine that had a free slot and moved no KV cache for it.
struct FirstEventSample {
  uint64_t waiting_tokens = 0;  ///< of other requests there
  uint64_t own_tokens = 0;      ///< of the request that were missing there
  double observed_ms = 0;
  /// True when the time is the request's own. Tokens that wait elsewhere are partly read already: counted as
  /// unread they make the engine seem up to twice as fast as it is.
  bool engine_was_idle() const { return waiting_tokens <= own_tokens / 4; }
};

/// How one engine differs from its service: observed time over expected time.
class EngineSpeed {
 public:
  /// `expected_ms`: by the service's figures.
  void observe(double observed_ms, double expected_ms);
  double slowness() const { return (kPriorMs + observed_ms_) / (kPriorMs + expected_ms_); }

 private:
  /// Weight of "like the service", in expected milliseconds: a few first events. One event that came 100 ms
  /// late at an engine that answers within 1 ms makes it 1.5 times as slow, and not 11 times.
  static constexpr double kPriorMs = 200;
  double observed_ms_ = 0;
  double expected_ms_ = 0;
};

/// A mean of samples that begins at a default and forgets older samples slowly.
class FadingMean {
 public:
  /// `prior_weight`: as many samples the default counts for.
  FadingMean(double default_value, double prior_weight) : value_(default_value), weight_(prior_weight) {}
  /// `memory`: what is left of the older samples' weight.
  void add(double sample, double memory) {
    weight_ = memory * weight_ + 1;
    value_ += (sample - value_) / weight_;
  }
  double value() const { return value_; }

 private:
  double value_;
  double weight_;
};

/// What the engines of one service show together.
class ServiceSpeed {
 public:
  void observe_first_event(const FirstEventSample& sample);
  /// A run ended at an engine that had a free slot for it: it took one for so long. Runs that waited for
  /// theirs would make the next ones be expected to wait longer, without end.
  void observe_run(double slot_ms);

  /// A request is expected to take so long from its slot to its first event.
  void record_expected_answer(double expected_ms);

  double ms_per_token() const { return reading_ms_ / read_tokens_; }
  double base_ms() const { return base_ms_.value(); }
  double run_ms() const { return run_ms_.value(); }
  /// Expected time from a slot to the first event, of the longest of the service's recent requests.
  double long_answer_ms() const { return long_answer_ms_; }
  /// Time to the first event at an engine with a free slot.
  double idle_ms(uint64_t tokens) const { return base_ms() + static_cast<double>(tokens) * ms_per_token(); }

 private:
  /// Reading speed before anything was seen, in tokens a millisecond: the slowest engines known read so fast.
  static constexpr double kDefaultTokensPerMs = 38;
  /// Weight of that default: a prompt or two are enough to replace it.
  static constexpr double kPriorTokens = 20000;
  /// What a prompt of a few tokens takes before anything was seen, and what a run takes; worth some samples.
  static constexpr double kDefaultBaseMs = 20;
  static constexpr double kDefaultRunMs = 300;
  static constexpr double kPriorSamples = 4;

  double read_tokens_ = kPriorTokens;
  double reading_ms_ = kPriorTokens / kDefaultTokensPerMs;
  FadingMean base_ms_{kDefaultBaseMs, kPriorSamples};
  FadingMean run_ms_{kDefaultRunMs, kPriorSamples};
  double long_answer_ms_ = 0;
};

/// Requests at an engine now, from news of some age: those known then end as runs do, and as many come as
/// come to an engine of the service on the mean.
double estimate_outstanding(const EngineQueue& queue, double run_ms);

/// The forecast for a request of which the engine misses so many tokens.
FirstEventForecast expect_first_event(const ServiceSpeed& service, const EngineSpeed& engine,
                                      const EngineQueue& queue, uint64_t missing_tokens);

}  // namespace stoat::placement
