/// The simulator's clock: events in the order of their time, and of their making where times are equal.
#pragma once

#include <functional>
#include <queue>
#include <vector>

#include "src/common/time.h"

namespace stoat::simulation {

/// See the head of this file.
class EventQueue {
 public:
  using Action = std::function<void()>;

  TimePoint now() const { return now_; }

  void at(TimePoint when, Action action) {
    events_.push({std::max(when, now_), ++last_number_, std::move(action)});
  }
  void after(Duration delay, Action action) { at(now_ + delay, std::move(action)); }

  /// Runs the next event that is due by `limit`; false when there is none, the clock then stands at `limit`.
  bool run_next(TimePoint limit) {
    if (events_.empty() || events_.top().when > limit) {
      now_ = std::max(now_, limit);
      return false;
    }
    Event event = std::move(const_cast<Event&>(events_.top()));
    events_.pop();
    now_ = event.when;
    event.action();
    return true;
  }

 private:
  struct Event {
    TimePoint when;
    uint64_t number;
    Action action;
    bool operator<(const Event& other) const {
      return when != other.when ? when > other.when : number > other.number;
    }
  };
  std::priority_queue<Event> events_;
  TimePoint now_{1s};
  uint64_t last_number_ = 0;
};

}  // namespace stoat::simulation
