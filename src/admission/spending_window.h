/// What was spent in the last few seconds.
#pragma once

#include <algorithm>
#include <array>
#include <cstddef>
#include <cstdint>
#include <vector>

#include "src/common/time.h"

namespace stoat::admission {

/// Sums amounts over a sliding window, in steps of a part of it. Errs high by one step at most.
template <size_t kSteps>
class SpendingWindow {
 public:
  explicit SpendingWindow(Duration window) : step_(window / static_cast<int64_t>(kSteps)) {}

  void add(double amount, TimePoint now) { slot(now).amount += amount; }
  double sum(TimePoint now) const {
    const int64_t oldest = number_of(now) - static_cast<int64_t>(kSteps);
    double total = 0;
    for (const Slot& entry : slots_) {
      total += entry.number >= oldest ? entry.amount : 0;
    }
    return total;
  }
  /// Spreads an amount evenly over the whole window, besides what is in it.
  void fill(double amount, TimePoint now) {
    for (size_t steps = 0; steps < kSteps; ++steps) {
      add(amount / static_cast<double>(kSteps), now - step_ * static_cast<int64_t>(steps));
    }
  }
  /// In each step of the window, the newest first.
  std::vector<int64_t> amounts(TimePoint now) const {
    std::vector<int64_t> list(kSteps + 1, 0);
    for (const Slot& entry : slots_) {
      const int64_t steps = number_of(now) - entry.number;
      if (steps >= 0 && steps <= static_cast<int64_t>(kSteps)) {
        list[static_cast<size_t>(steps)] = static_cast<int64_t>(entry.amount);
      }
    }
    return list;
  }
  /// Takes the place of all that is in it.
  void restore(const std::vector<int64_t>& amounts, TimePoint now) {
    slots_ = {};
    for (size_t steps = 0; steps < std::min(amounts.size(), kSteps + 1); ++steps) {
      add(static_cast<double>(amounts[steps]), now - step_ * static_cast<int64_t>(steps));
    }
  }
  void scale(double factor) {
    for (Slot& entry : slots_) {
      entry.amount *= factor;
    }
  }

 private:
  struct Slot {
    int64_t number = 0;
    double amount = 0;
  };
  /// From 1 on, also for the window before the clock's beginning.
  int64_t number_of(TimePoint at) const { return at / step_ + static_cast<int64_t>(kSteps) + 2; }
  Slot& slot(TimePoint at) {
    const int64_t number = number_of(at);
    Slot& present = slots_[static_cast<size_t>(number) % slots_.size()];
    if (present.number < number) {
      present = Slot{number, 0};
    }
    return present;
  }

  Duration step_;
  std::array<Slot, kSteps + 1>
      slots_{};  ///< one more: the oldest counts until all of it is out of the window
};

}  // namespace stoat::admission
