/// What prefill costs, learned from the first tokens that were seen.
#pragma once

#include <cstdint>

#include "src/common/time.h"

namespace stoat::placement {

/// Keeps a running estimate for the engines of one model. Starts from stated defaults.
class CostModel {
 public:
  /// Learns from a request that found an empty queue: it missed `missing_tokens` and its first token took
  /// `taken`.
  void observe(uint32_t missing_tokens, Duration taken) {
    constexpr uint32_t kEnoughTokens = 512;
    constexpr double kWeight = 0.05;
    if (missing_tokens < kEnoughTokens) {
      base_us_ +=
          kWeight * (static_cast<double>(taken.count()) - missing_tokens * prefill_us_per_token_ - base_us_);
      base_us_ = base_us_ < 0 ? 0 : base_us_;
      return;
    }
    const double sample = (static_cast<double>(taken.count()) - base_us_) / missing_tokens;
    if (sample > 0) {
      prefill_us_per_token_ += kWeight * (sample - prefill_us_per_token_);
    }
  }

  /// Expected time to prefill so many tokens on an idle engine, in microseconds.
  double prefill_us(double tokens) const { return tokens * prefill_us_per_token_; }
  double base_us() const { return base_us_; }
  double prefill_us_per_token() const { return prefill_us_per_token_; }

 private:
  double prefill_us_per_token_ = 12;
  double base_us_ = 10000;
};

}  // namespace stoat::placement
