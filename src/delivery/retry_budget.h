/// A limit on retries as a share of the live load, so that retries never multiply an overload.
#pragma once

#include <algorithm>

namespace stoat::delivery {

/// Each first attempt earns a part of a retry; each retry costs a whole one.
class RetryBudget {
 public:
  explicit RetryBudget(double share = 0.2, double most = 50) : share_(share), most_(most), level_(kStart) {}
  void on_first_attempt() { level_ = std::min(most_, level_ + share_); }
  /// True when take() would be.
  bool allows_one() const { return level_ >= 1; }
  /// True when a retry may be made; it is then paid for.
  bool take() {
    if (!allows_one()) {
      return false;
    }
    level_ -= 1;
    return true;
  }
  double level() const { return level_; }

 private:
  static constexpr double kStart = 5;
  double share_;
  double most_;
  double level_;
};

}  // namespace stoat::delivery
