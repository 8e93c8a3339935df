/// When refused callers are asked to retry: the rate, the order by deadline, and callers that ignore the
/// delay.
#include "src/admission/retry_scheduler.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <queue>
#include <vector>

namespace stoat::admission {
namespace {

constexpr Duration kMaxDelay = 10s;

TEST(RetryScheduler, CallersRetryAtTheRateThatCanBeServed) {
  RetryScheduler schedule(kMaxDelay);
  Random random(1);
  constexpr double kPerSecond = 20;
  std::vector<int> returns(12);
  for (int caller = 0; caller < 100; ++caller) {
    const Duration after = schedule.schedule_retry({"t", 6s, 300ms}, kPerSecond, random, TimePoint(0));
    ASSERT_GE(after, 300ms);
    ++returns[static_cast<size_t>(to_seconds(after))];
  }
  for (const int in_second : returns) {
    EXPECT_LE(in_second, 1.15 * kPerSecond);
  }
}

TEST(RetryScheduler, LessTimeLeftMeansAnEarlierRetry) {
  RetryScheduler schedule(kMaxDelay);
  Random random(2);
  double short_deadline = 0;
  double long_deadline = 0;
  for (int caller = 0; caller < 200; ++caller) {
    const TimePoint now(20000 * caller);
    short_deadline += to_seconds(schedule.schedule_retry({"t", 1s, 0ms}, 20, random, now));
    long_deadline += to_seconds(schedule.schedule_retry({"t", 6s, 0ms}, 20, random, now));
  }
  EXPECT_LT(short_deadline * 2, long_deadline);
}

TEST(RetryScheduler, QueueDrainsAsTimePasses) {
  RetryScheduler schedule(kMaxDelay);
  Random random(3);
  for (int caller = 0; caller < 50; ++caller) {
    schedule.schedule_retry({"t", 6s, 0ms}, 10, random, TimePoint(0));
  }
  EXPECT_GT(schedule.schedule_retry({"t", 6s, 0ms}, 10, random, TimePoint(0)), 4s);
  EXPECT_LT(schedule.schedule_retry({"t", 6s, 0ms}, 10, random, TimePoint(6s)), 200ms);
}

TEST(RetryScheduler, DelayNeverExceedsTheMaximum) {
  RetryScheduler schedule(kMaxDelay);
  Random random(4);
  for (int caller = 0; caller < 5000; ++caller) {
    EXPECT_LE(schedule.schedule_retry({"t", 6s, 20s}, 0, random, TimePoint(0)), kMaxDelay);
  }
}

/// Simulates a service with a fixed capacity, and callers of ten tenants that are refused and retry.
/// Optionally, three of the tenants ignore the requested delay and immediately retry each refused request
/// three times.
class RetrySimulation {
 public:
  explicit RetrySimulation(bool ignore_delay) : ignore_delay_(ignore_delay) {}
  /// Returns the fraction of the other seven tenants' requests that were eventually served.
  double run() {
    for (int number = 0; number < kRequests; ++number) {
      const int tenant = number % 10;
      requested_ += respects_delay(tenant) ? 1 : 0;
      attempts_.push({from_seconds(number / kRequestedPerSecond), tenant, 0,
                      from_seconds(number / kRequestedPerSecond) + 6s});
    }
    while (!attempts_.empty()) {
      const Attempt attempt = attempts_.top();
      attempts_.pop();
      take(attempt);
    }
    return static_cast<double>(served_) / requested_;
  }

 private:
  struct Attempt {
    TimePoint at{0};
    int tenant = 0;
    int repeats = 0;
    TimePoint deadline{0};
    bool operator>(const Attempt& other) const { return at > other.at; }
  };
  static constexpr double kServedPerSecond = 40;
  static constexpr double kRequestedPerSecond = 60;
  static constexpr int kRequests = 1200;

  static bool respects_delay(int tenant) { return tenant >= 3; }
  void take(const Attempt& attempt) {
    capacity_ = std::min(1.0 * kServedPerSecond / 10,
                         capacity_ + to_seconds(attempt.at - refilled_at_) * kServedPerSecond);
    refilled_at_ = attempt.at;
    if (capacity_ >= 1) {
      capacity_ -= 1;
      served_ += respects_delay(attempt.tenant) ? 1 : 0;
      return;
    }
    const Duration left = attempt.deadline - attempt.at;
    const Duration after = schedule_.schedule_retry({std::to_string(attempt.tenant), left, 0ms},
                                                    kServedPerSecond, random_, attempt.at);
    const bool retries_at_once = ignore_delay_ && !respects_delay(attempt.tenant);
    if (retries_at_once && attempt.repeats < 3) {
      attempts_.push({attempt.at + 5ms, attempt.tenant, attempt.repeats + 1, attempt.deadline});
    } else if (!retries_at_once && attempt.repeats < 1 && after < left) {
      attempts_.push({attempt.at + after, attempt.tenant, attempt.repeats + 1, attempt.deadline});
    }
  }

  bool ignore_delay_;
  RetryScheduler schedule_{kMaxDelay};
  Random random_{5};
  std::priority_queue<Attempt, std::vector<Attempt>, std::greater<>> attempts_;
  double capacity_ = 0;
  TimePoint refilled_at_{0};
  int requested_ = 0;
  int served_ = 0;
};

TEST(RetryScheduler, CallersThatRetryAtOnceDoNotStarveOthers) {
  const double without = RetrySimulation(false).run();
  const double with_ignored_delay = RetrySimulation(true).run();
  EXPECT_GT(with_ignored_delay, 0.9 * without) << without;
}

}  // namespace
}  // namespace stoat::admission
