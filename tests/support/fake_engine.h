/// An engine of slots and a reading speed, in arithmetic: prompts are read one after the other, in the order
/// in which their requests got a slot.
#pragma once

#include <algorithm>
#include <functional>
#include <queue>
#include <vector>

namespace stoat::test {

/// When a request begins to answer and when it leaves its slot, in milliseconds.
struct FakeRequestTimes {
  double first_event_ms = 0;
  double end_ms = 0;
};

/// See the head of this file. Times must not fall from one call to the next.
class FakeEngine {
 public:
  FakeEngine(size_t slots, double tokens_per_ms, double base_ms = 15)
      : slots_(slots), tokens_per_ms_(tokens_per_ms), base_ms_(base_ms) {}

  /// Takes a request at the end of its queue.
  FakeRequestTimes take(double now_ms, double tokens, double answer_ms) {
    drop_ended(now_ms);
    double begin = now_ms;
    if (ends_.size() >= slots_) {
      // As many runs end before this one gets a slot as are too many.
      auto left = ends_;
      for (size_t over = ends_.size() - slots_ + 1; over > 0; --over) {
        begin = std::max(begin, left.top());
        left.pop();
      }
    }
    begin = std::max(begin, reading_until_);
    reading_until_ = begin + tokens / tokens_per_ms_;
    const FakeRequestTimes run{reading_until_ + base_ms_, reading_until_ + base_ms_ + answer_ms};
    ends_.push(run.end_ms);
    first_events_.push({run.first_event_ms, tokens});
    return run;
  }
  /// Requests here, with those that wait.
  size_t outstanding(double now_ms) {
    drop_ended(now_ms);
    return ends_.size();
  }
  /// Tokens of requests without a first event.
  double waiting_tokens(double now_ms) {
    drop_ended(now_ms);
    double sum = 0;
    auto left = first_events_;
    for (; !left.empty(); left.pop()) {
      sum += left.top().second;
    }
    return sum;
  }
  size_t slots() const { return slots_; }

 private:
  template <typename Entry>
  using Earliest = std::priority_queue<Entry, std::vector<Entry>, std::greater<>>;

  void drop_ended(double now_ms) {
    while (!ends_.empty() && ends_.top() <= now_ms) {
      ends_.pop();
    }
    while (!first_events_.empty() && first_events_.top().first <= now_ms) {
      first_events_.pop();
    }
  }

  size_t slots_;
  double tokens_per_ms_;
  double base_ms_;
  double reading_until_ = 0;
  Earliest<double> ends_;
  Earliest<std::pair<double, double>> first_events_;
};

}  // namespace stoat::test
