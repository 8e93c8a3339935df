/// Sum of the amounts spent in the last few seconds.
#pragma once

#include <algorithm>
#include <array>
#include <cstddef>
#include <cstdint>
#include <vector>

#include "src/common/time.h"

namespace stoat::admission {

/// Sums amounts over a sliding window that is divided into `kSteps` steps. The sum may include up to one step
/// more than the window.
template <size_t kSteps>
class SpendingWindow {
 public:
  explicit SpendingWindow(Duration window) : step_(window / static_cast<int64_t>(kSteps)) {}

  void add(double amount, TimePoint now) { step_at(now).amount += amount; }
  double sum(TimePoint now) const {
    const int64_t oldest = step_number(now) - static_cast<int64_t>(kSteps);
    double total = 0;
    for (const StepAmount& entry : step_amounts_) {
      total += entry.number >= oldest ? entry.amount : 0;
    }
    return total;
  }
  /// Adds an amount spread evenly over the whole window.
  void add_evenly(double amount, TimePoint now) {
    for (size_t steps = 0; steps < kSteps; ++steps) {
      add(amount / static_cast<double>(kSteps), now - step_ * static_cast<int64_t>(steps));
    }
  }
  /// Returns the amounts in each step of the window, newest first.
  std::vector<int64_t> amounts(TimePoint now) const {
    std::vector<int64_t> list(kSteps + 1, 0);
    for (const StepAmount& entry : step_amounts_) {
      const int64_t steps = step_number(now) - entry.number;
      if (steps >= 0 && steps <= static_cast<int64_t>(kSteps)) {
        list[static_cast<size_t>(steps)] = static_cast<int64_t>(entry.amount);
      }
    }
    return list;
  }
  /// Replaces the contents by amounts as returned by amounts().
  void restore(const std::vector<int64_t>& amounts, TimePoint now) {
    step_amounts_ = {};
    for (size_t steps = 0; steps < std::min(amounts.size(), kSteps + 1); ++steps) {
      add(static_cast<double>(amounts[steps]), now - step_ * static_cast<int64_t>(steps));
    }
  }
  void scale(double factor) {
    for (StepAmount& entry : step_amounts_) {
      entry.amount *= factor;
    }
  }

 private:
  struct StepAmount {
    int64_t number = 0;
    double amount = 0;
  };
  /// Never below 1, even for a window that begins before time 0. Number 0 marks an unused entry.
  int64_t step_number(TimePoint at) const { return at / step_ + static_cast<int64_t>(kSteps) + 2; }
  StepAmount& step_at(TimePoint at) {
    const int64_t number = step_number(at);
    StepAmount& current = step_amounts_[static_cast<size_t>(number) % step_amounts_.size()];
    if (current.number < number) {
      current = StepAmount{number, 0};
    }
    return current;
  }

  Duration step_;
  /// One more than kSteps, since the oldest step counts until all of it has left the window.
  std::array<StepAmount, kSteps + 1> step_amounts_{};
};

}  // namespace stoat::admission
