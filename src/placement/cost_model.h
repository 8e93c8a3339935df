/// What prefill costs, learned from the first tokens that were seen.
#pragma once

#include <algorithm>
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

  /// Learns from a request that found an empty queue and imported `imported_tokens` besides missing others.
  void observe_import(uint32_t imported_tokens, uint32_t missing_tokens, Duration taken) {
    constexpr uint32_t kEnoughTokens = 512;
    constexpr double kWeight = 0.1;
    if (imported_tokens < kEnoughTokens) {
      return;
    }
    const double left = static_cast<double>(taken.count()) - base_us_ - prefill_us(missing_tokens);
    const double sample = std::max(0.0, left / imported_tokens);
    import_us_per_token_ += kWeight * (sample - import_us_per_token_);
  }

  /// A bad experience with imports fades while none is made, so that they are tried again.
  void note_no_import() {
    constexpr double kFade = 0.01;
    import_us_per_token_ += kFade * (kFirstImportUsPerToken - import_us_per_token_);
  }

  /// Expected time to import so many tokens from a store of kept blocks, in microseconds.
  double import_us(double tokens) const { return tokens * import_us_per_token_; }
  /// Whether so many tokens are sooner imported than computed anew.
  bool import_pays(uint32_t tokens) const { return tokens > 0 && import_us(tokens) < prefill_us(tokens); }

  /// Expected time to prefill so many tokens on an idle engine, in microseconds.
  double prefill_us(double tokens) const { return tokens * prefill_us_per_token_; }
  double base_us() const { return base_us_; }
  double prefill_us_per_token() const { return prefill_us_per_token_; }
  double import_us_per_token() const { return import_us_per_token_; }

 private:
  static constexpr double kFirstImportUsPerToken = 2;
  double prefill_us_per_token_ = 12;
  double import_us_per_token_ = kFirstImportUsPerToken;
  double base_us_ = 10000;
};

}  // namespace stoat::placement
