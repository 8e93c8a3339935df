/// Actions scheduled in simulated time, such as the arrival of delayed messages.
#pragma once

#include <functional>
#include <map>
#include <utility>

#include "src/common/time.h"

namespace stoat::test {

/// A queue of actions by the time at which they are due. Actions due at the same time run in the order in
/// which they were added.
class DelayedActions {
 public:
  void add(TimePoint due, std::function<void()> action) { pending_.emplace(due, std::move(action)); }
  /// Runs all actions due at `now` or before, including any due ones that these actions add.
  void run_due(TimePoint now) {
    while (!pending_.empty() && pending_.begin()->first <= now) {
      const auto action = std::move(pending_.begin()->second);
      pending_.erase(pending_.begin());
      action();
    }
  }

 private:
  std::multimap<TimePoint, std::function<void()>> pending_;
};

}  // namespace stoat::test
