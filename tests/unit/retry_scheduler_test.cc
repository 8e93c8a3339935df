/// When refused callers come back: the rate, the order of deadlines, and callers that do not wait.
#include "src/admission/retry_scheduler.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <queue>
#include <vector>

namespace stoat::admission {
namespace {

constexpr Duration kLongest = 10s;

TEST(RetryScheduler, CallersComeBackAtTheRateThatCanBeServed) {
  RetryScheduler schedule(kLongest);
  Random random(1);
  constexpr double kPerSecond = 20;
  std::vector<int> returns(12);
  for (int caller = 0; caller < 100; ++caller) {
    const Duration after = schedule.book({"t", 6s, 300ms}, kPerSecond, random, TimePoint(0));
    ASSERT_GE(after, 300ms);
    ++returns[static_cast<size_t>(to_seconds(after))];
  }
  for (const int in_second : returns) {
    EXPECT_LE(in_second, 1.15 * kPerSecond);
  }
}

TEST(RetryScheduler, LessTimeLeftMeansASoonerReturn) {
  RetryScheduler schedule(kLongest);
  Random random(2);
  double soon = 0;
  double late = 0;
  for (int caller = 0; caller < 200; ++caller) {
    const TimePoint now(20000 * caller);
    soon += to_seconds(schedule.book({"t", 1s, 0ms}, 20, random, now));
    late += to_seconds(schedule.book({"t", 6s, 0ms}, 20, random, now));
  }
  EXPECT_LT(soon * 2, late);
}

TEST(RetryScheduler, ALineIsServedAsTimePasses) {
  RetryScheduler schedule(kLongest);
  Random random(3);
  for (int caller = 0; caller < 50; ++caller) {
    schedule.book({"t", 6s, 0ms}, 10, random, TimePoint(0));
  }
  EXPECT_GT(schedule.book({"t", 6s, 0ms}, 10, random, TimePoint(0)), 4s);
  EXPECT_LT(schedule.book({"t", 6s, 0ms}, 10, random, TimePoint(6s)), 200ms);
}

TEST(RetryScheduler, NobodyWaitsLongerThanTheBound) {
  RetryScheduler schedule(kLongest);
  Random random(4);
  for (int caller = 0; caller < 5000; ++caller) {
    EXPECT_LE(schedule.book({"t", 6s, 20s}, 0, random, TimePoint(0)), kLongest);
  }
}

/// A service that takes so many requests a second, and callers of ten tenants that are refused and come back.
/// Three of the tenants repeat each refused request three times at once, whatever they are told.
class RetryReplay {
 public:
  explicit RetryReplay(bool abuse) : abuse_(abuse) {}
  /// Share of the other seven tenants' requests that were served in the end.
  double play() {
    for (int number = 0; number < kRequests; ++number) {
      const int tenant = number % 10;
      asked_ += is_polite(tenant) ? 1 : 0;
      attempts_.push({from_seconds(number / kAsked), tenant, 0, from_seconds(number / kAsked) + 6s});
    }
    while (!attempts_.empty()) {
      const Attempt attempt = attempts_.top();
      attempts_.pop();
      take(attempt);
    }
    return static_cast<double>(served_) / asked_;
  }

 private:
  struct Attempt {
    TimePoint at{0};
    int tenant = 0;
    int repeats = 0;
    TimePoint deadline{0};
    bool operator>(const Attempt& other) const { return at > other.at; }
  };
  static constexpr double kTaken = 40;
  static constexpr double kAsked = 60;
  static constexpr int kRequests = 1200;

  static bool is_polite(int tenant) { return tenant >= 3; }
  void take(const Attempt& attempt) {
    room_ = std::min(1.0 * kTaken / 10, room_ + to_seconds(attempt.at - filled_at_) * kTaken);
    filled_at_ = attempt.at;
    if (room_ >= 1) {
      room_ -= 1;
      served_ += is_polite(attempt.tenant) ? 1 : 0;
      return;
    }
    const Duration left = attempt.deadline - attempt.at;
    const Duration after =
        schedule_.book({std::to_string(attempt.tenant), left, 0ms}, kTaken, random_, attempt.at);
    const bool at_once = abuse_ && !is_polite(attempt.tenant);
    if (at_once && attempt.repeats < 3) {
      attempts_.push({attempt.at + 5ms, attempt.tenant, attempt.repeats + 1, attempt.deadline});
    } else if (!at_once && attempt.repeats < 1 && after < left) {
      attempts_.push({attempt.at + after, attempt.tenant, attempt.repeats + 1, attempt.deadline});
    }
  }

  bool abuse_;
  RetryScheduler schedule_{kLongest};
  Random random_{5};
  std::priority_queue<Attempt, std::vector<Attempt>, std::greater<>> attempts_;
  double room_ = 0;
  TimePoint filled_at_{0};
  int asked_ = 0;
  int served_ = 0;
};

TEST(RetryScheduler, CallersThatRepeatAtOnceDoNotPushTheOthersOut) {
  const double without = RetryReplay(false).play();
  const double with_abuse = RetryReplay(true).play();
  EXPECT_GT(with_abuse, 0.9 * without) << without;
}

}  // namespace
}  // namespace stoat::admission
