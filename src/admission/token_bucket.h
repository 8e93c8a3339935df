/// A token bucket whose rate can change, as quota leases do.
#pragma once

#include <algorithm>

#include "src/common/time.h"

namespace stoat::admission {

/// Holds at most one second's worth of tokens, and at least one token's worth of room.
class TokenBucket {
 public:
  /// Sets the rate, in tokens a second. What has gathered stays, up to the new capacity.
  void set_rate(double rate, TimePoint now) {
    if (!started_) {
      started_ = true;
      rate_ = rate;
      level_ = capacity();
      updated_at_ = now;
      return;
    }
    refill(now);
    rate_ = rate;
    level_ = std::min(level_, capacity());
  }

  /// Takes `amount` when the bucket is not in debt; a large amount may put it in debt, so that big requests
  /// pass.
  bool take(double amount, TimePoint now) {
    refill(now);
    if (level_ < std::min(amount, 1.0)) {
      return false;
    }
    level_ -= amount;
    return true;
  }

  /// How long until take() can succeed.
  Duration wait_time(double amount, TimePoint now) {
    refill(now);
    const double needed = std::min(amount, 1.0) - level_;
    if (needed <= 0) {
      return Duration(0);
    }
    return rate_ <= 0 ? Duration(1s) : from_seconds(needed / rate_);
  }

 private:
  double capacity() const { return std::max(1.0, rate_); }
  void refill(TimePoint now) {
    level_ = std::min(capacity(), level_ + rate_ * to_seconds(now - updated_at_));
    updated_at_ = now;
  }

  bool started_ = false;
  double rate_ = 0;
  double level_ = 0;
  TimePoint updated_at_{0};
};

}  // namespace stoat::admission
