/// The simulator's clock and event queue. Events run in order of time; events with equal times run in the
/// order in which they were scheduled.
#pragma once

#include <functional>
#include <queue>
#include <vector>

#include "src/common/time.h"

namespace stoat::simulation {

/// A single-threaded queue of timed actions; running them advances the simulated time.
class EventQueue {
 public:
  using Action = std::function<void()>;

  TimePoint now() const { return now_; }

  /// Schedules an action. A time in the past counts as now.
  void schedule_at(TimePoint when, Action action) {
    events_.push({std::max(when, now_), ++last_sequence_, std::move(action)});
  }
  void schedule_after(Duration delay, Action action) { schedule_at(now_ + delay, std::move(action)); }

  /// Runs the next event that is due by `limit`. If there is none, advances the clock to `limit` and returns
  /// false.
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
    uint64_t sequence;
    Action action;
    bool operator<(const Event& other) const {
      return when != other.when ? when > other.when : sequence > other.sequence;
    }
  };
  std::priority_queue<Event> events_;
  TimePoint now_{1s};
  uint64_t last_sequence_ = 0;
};

}  // namespace stoat::simulation
