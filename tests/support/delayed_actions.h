/// Messages on their way in simulated time: each arrives at its own moment.
#pragma once

#include <functional>
#include <map>
#include <utility>

#include "src/common/time.h"

namespace stoat::test {

/// See the head of this file. Those due at the same moment arrive in the order in which they were sent.
class DelayedActions {
 public:
  void add(TimePoint due, std::function<void()> action) { waiting_.emplace(due, std::move(action)); }
  /// Carries out what is due, also what that adds.
  void run_due(TimePoint now) {
    while (!waiting_.empty() && waiting_.begin()->first <= now) {
      const auto action = std::move(waiting_.begin()->second);
      waiting_.erase(waiting_.begin());
      action();
    }
  }

 private:
  std::multimap<TimePoint, std::function<void()>> waiting_;
};

}  // namespace stoat::test
