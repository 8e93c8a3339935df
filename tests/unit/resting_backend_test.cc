/// Backends that ask for a backoff with Retry-After, or announce their shutdown in a response.
#include <deque>

#include "tests/support/small_fleet.h"

namespace stoat {
namespace {

using standins::full_response;
using standins::ReceivedRequest;
using standins::Script;
using standins::ScriptedEngine;
using standins::send_step;
using test::status_of;
using Clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

/// Requests that reach a backend later than this after its first refusal, and before the end of its backoff,
/// are counted.
constexpr milliseconds kInFlightTime{500};
constexpr size_t kMaxDuringBackoff = 2;

/// Refuses each request that arrives during its backoff, and records the arrival times.
class BackoffEngine {
 public:
  /// `retry_after`: value of the Retry-After header. The backoff begins with the first request.
  explicit BackoffEngine(std::string retry_after, milliseconds backoff_time)
      : retry_after_(std::move(retry_after)),
        backoff_time_(backoff_time),
        engine_([this](const ReceivedRequest& seen) { return answer(seen); }) {}
  const ScriptedEngine& engine() const { return engine_; }
  size_t count() const { return engine_.requests().size(); }
  /// Number of requests that arrived later than kInFlightTime after the first one, and before the end of the
  /// backoff.
  size_t count_during_backoff() const {
    const std::lock_guard<std::mutex> lock(mutex_);
    return static_cast<size_t>(std::count_if(arrivals_.begin(), arrivals_.end(), [this](auto at) {
      return at > arrivals_.front() + kInFlightTime && at < arrivals_.front() + backoff_time_;
    }));
  }

 private:
  Script answer(const ReceivedRequest& seen) {
    const std::lock_guard<std::mutex> lock(mutex_);
    arrivals_.push_back(Clock::now());
    if (arrivals_.back() >= arrivals_.front() + backoff_time_) {
      return test::succeed(seen);
    }
    const std::string headers = "X-Request-Id: " + seen.header("X-Request-Id") + "\r\nX-Not-Run: 1\r\n";
    return {send_step(full_response(503, headers + "Retry-After: " + retry_after_ + "\r\n", "busy"))};
  }

  std::string retry_after_;
  milliseconds backoff_time_;
  mutable std::mutex mutex_;
  std::vector<Clock::time_point> arrivals_;
  ScriptedEngine engine_;
};

class BackendBackoffTest : public test::SmallFleet {
 protected:
  void SetUp() override { ASSERT_TRUE(configure(make_configuration(1))); }
  std::deque<BackoffEngine>& add_backoff_engines(size_t count, const std::string& retry_after,
                                                 milliseconds backoff_time) {
    for (size_t number = 0; number < count; ++number) {
      backoff_engines_.emplace_back(retry_after, backoff_time);
      add_engine("resting" + std::to_string(number), "calls", backoff_engines_.back().engine());
    }
    return backoff_engines_;
  }
  /// Sends a request every 20 ms for `span`, adds their number to `asked`, and returns how many got 200.
  size_t ask_for(milliseconds span, size_t& asked) {
    size_t served = 0;
    const auto end = Clock::now() + span;
    for (; Clock::now() < end; ++asked) {
      const std::string answer = send_request("GET", "/safe/", "r" + std::to_string(asked));
      served += status_of(answer) == "HTTP/1.1 200" ? 1 : 0;
      last_refusal_ = status_of(answer) == "HTTP/1.1 503" ? answer : last_refusal_;
      std::this_thread::sleep_for(milliseconds(20));
      if (asked % 25 == 0) {
        send_engine_heartbeats();
      }
    }
    return served;
  }
  std::deque<BackoffEngine> backoff_engines_;
  std::string last_refusal_;  ///< last response with status 503
};

TEST_F(BackendBackoffTest, BackEndsInBackoffGetNoRequestsWhileOthersServe) {
  constexpr milliseconds kBackoff{2500};
  ScriptedEngine other([](const ReceivedRequest& seen) { return test::succeed(seen); });
  add_backoff_engines(4, "2.5", kBackoff);
  add_engine("other", "calls", other);
  size_t asked = 0;
  ask_for(kInFlightTime, asked);
  const size_t before = asked;
  const size_t served = ask_for(kBackoff - kInFlightTime, asked);
  for (const BackoffEngine& engine : backoff_engines_) {
    EXPECT_LE(engine.count_during_backoff(), kMaxDuringBackoff);
  }
  EXPECT_EQ(served, asked - before);
  ask_for(kBackoff, asked);
  for (const BackoffEngine& engine : backoff_engines_) {
    EXPECT_GT(engine.count(), 5U);  // it is used again after its backoff
  }
}

TEST_F(BackendBackoffTest, RequestsAreRefusedAtOnceWithRetryAfterWhenAllBackEndsAreInBackoff) {
  constexpr milliseconds kBackoff{3000};
  add_backoff_engines(3, "3", kBackoff);
  size_t asked = 0;
  ask_for(kInFlightTime, asked);
  last_refusal_.clear();
  const auto begin = Clock::now();
  EXPECT_EQ(ask_for(milliseconds(1), asked), 0U);
  EXPECT_LT(Clock::now() - begin, milliseconds(300));
  ASSERT_NE(last_refusal_.find("Retry-After: "), std::string::npos);
  const double retry_after_s = std::stod(last_refusal_.substr(last_refusal_.find("Retry-After: ") + 13));
  EXPECT_GT(retry_after_s, 1.5);
  EXPECT_LT(retry_after_s, 4.5);
  for (const BackoffEngine& engine : backoff_engines_) {
    EXPECT_EQ(engine.count_during_backoff(), 0U);
  }
}

TEST_F(BackendBackoffTest, UnreadableRetryAfterDoesNotDisableABackEnd) {
  for (const char* retry_after : {"-5", "soon", "Fri, 31 Dec 1999 23:59:59 GMT"}) {
    backoff_engines_.emplace_back(retry_after, milliseconds(300));
    add_engine("odd" + std::to_string(backoff_engines_.size()), "calls", backoff_engines_.back().engine());
  }
  size_t asked = 0;
  ask_for(milliseconds(800), asked);
  const size_t before = asked;
  const size_t served = ask_for(milliseconds(200), asked);
  EXPECT_EQ(served, asked - before);
}

TEST_F(BackendBackoffTest, BackEndThatAnnouncesItsShutdownInAResponseGetsNoFurtherRequests) {
  ScriptedEngine leaving([](const ReceivedRequest& seen) -> Script {
    return {send_step(full_response(200, test::engine_headers(seen) + "X-Leaving: 1\r\n", "body"))};
  });
  ScriptedEngine other([](const ReceivedRequest& seen) { return test::succeed(seen); });
  add_engine("leaving", "calls", leaving);
  add_engine("other", "calls", other);
  size_t asked = 0;
  const size_t served = ask_for(milliseconds(1500), asked);  // its heartbeats do not announce the shutdown
  EXPECT_EQ(served, asked);
  EXPECT_LE(leaving.requests().size(), 1U);
}

TEST(BackendBackoff, OneRequestIsSentBeforeTheOthersAfterABackoff) {
  dispatch::BackendBackoff backoff;
  EXPECT_TRUE(backoff.may_send(5, 1s));
  backoff.begin(3s);
  EXPECT_FALSE(backoff.may_send(0, 2s));
  backoff.on_accepted(2s);  // for a request that was sent before the backoff
  EXPECT_TRUE(backoff.may_send(0, 3s));
  EXPECT_FALSE(backoff.may_send(1, 3s));
  backoff.on_accepted(4s);
  EXPECT_TRUE(backoff.may_send(9, 4s));
}

}  // namespace
}  // namespace stoat
