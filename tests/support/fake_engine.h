/// A model of an inference engine with a fixed number of slots and a fixed prefill rate. It processes prompts
/// one after the other, in the order in which their requests got a slot.
#pragma once

#include <algorithm>
#include <functional>
#include <queue>
#include <vector>

namespace stoat::test {

/// Times at which a request produces its first event and at which it frees its slot, in milliseconds.
struct FakeRequestTimes {
  double first_event_ms = 0;
  double end_ms = 0;
};

/// Computes when each request of a simulated engine produces its first event and frees its slot. `now_ms`
/// must not decrease from one call to the next.
class FakeEngine {
 public:
  /// `first_event_delay_ms`: time from the end of a request's prefill to its first event.
  FakeEngine(size_t slots, double prefill_tokens_per_ms, double first_event_delay_ms = 15)
      : slots_(slots),
        prefill_tokens_per_ms_(prefill_tokens_per_ms),
        first_event_delay_ms_(first_event_delay_ms) {}

  /// Adds a request to the end of the queue and returns its times.
  /// `response_ms`: time from the first event to the end of the response.
  FakeRequestTimes enqueue(double now_ms, double prompt_tokens, double response_ms) {
    remove_past_events(now_ms);
    double prefill_start_ms = now_ms;
    if (end_times_.size() >= slots_) {
      // The request gets a slot once enough of the earlier ones have ended.
      auto remaining = end_times_;
      for (size_t excess = end_times_.size() - slots_ + 1; excess > 0; --excess) {
        prefill_start_ms = std::max(prefill_start_ms, remaining.top());
        remaining.pop();
      }
    }
    prefill_start_ms = std::max(prefill_start_ms, prefill_end_ms_);
    prefill_end_ms_ = prefill_start_ms + prompt_tokens / prefill_tokens_per_ms_;
    const FakeRequestTimes run{prefill_end_ms_ + first_event_delay_ms_,
                               prefill_end_ms_ + first_event_delay_ms_ + response_ms};
    end_times_.push(run.end_ms);
    pending_first_events_.push({run.first_event_ms, prompt_tokens});
    return run;
  }
  /// Returns the number of requests that have not ended, including those that wait for a slot.
  size_t outstanding(double now_ms) {
    remove_past_events(now_ms);
    return end_times_.size();
  }
  /// Returns the number of prompt tokens of the requests that have not produced their first event.
  double waiting_tokens(double now_ms) {
    remove_past_events(now_ms);
    double total = 0;
    auto remaining = pending_first_events_;
    for (; !remaining.empty(); remaining.pop()) {
      total += remaining.top().second;
    }
    return total;
  }
  size_t slots() const { return slots_; }

 private:
  template <typename Entry>
  using MinHeap = std::priority_queue<Entry, std::vector<Entry>, std::greater<>>;

  void remove_past_events(double now_ms) {
    while (!end_times_.empty() && end_times_.top() <= now_ms) {
      end_times_.pop();
    }
    while (!pending_first_events_.empty() && pending_first_events_.top().first <= now_ms) {
      pending_first_events_.pop();
    }
  }

  size_t slots_;
  double prefill_tokens_per_ms_;
  double first_event_delay_ms_;
  double prefill_end_ms_ = 0;  ///< end of the prefill of the last request
  MinHeap<double> end_times_;  ///< end times of the requests that have not ended
  MinHeap<std::pair<double, double>> pending_first_events_;  ///< time and number of prompt tokens
};

}  // namespace stoat::test
