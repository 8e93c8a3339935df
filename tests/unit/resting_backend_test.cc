/// Back ends that name in their answers for how long they want nothing, or that they leave.
#include <deque>

#include "tests/support/small_fleet.h"

namespace stoat {
namespace {

using standins::Script;
using standins::ScriptedEngine;
using standins::SeenRequest;
using standins::send_step;
using standins::whole_answer;
using test::status_of;
using Clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

/// What a router sends a back end between so long after its word and the end of the rest is counted.
constexpr milliseconds kOnTheWay{500};
constexpr size_t kMostMeanwhile = 2;

/// Turns each request away that comes while it rests, and notes when requests come.
class RestingEngine {
 public:
  /// `rest`: as the header names it. It rests from the first request on.
  explicit RestingEngine(std::string rest, milliseconds rests_for)
      : rest_(std::move(rest)),
        rests_for_(rests_for),
        engine_([this](const SeenRequest& seen) { return answer(seen); }) {}
  const ScriptedEngine& engine() const { return engine_; }
  size_t count() const { return engine_.requests().size(); }
  /// Requests that came later than kOnTheWay after its first word, and before the end of its rest.
  size_t meanwhile() const {
    const std::lock_guard<std::mutex> lock(mutex_);
    return static_cast<size_t>(std::count_if(arrivals_.begin(), arrivals_.end(), [this](auto at) {
      return at > arrivals_.front() + kOnTheWay && at < arrivals_.front() + rests_for_;
    }));
  }

 private:
  Script answer(const SeenRequest& seen) {
    const std::lock_guard<std::mutex> lock(mutex_);
    arrivals_.push_back(Clock::now());
    if (arrivals_.back() >= arrivals_.front() + rests_for_) {
      return test::succeed(seen);
    }
    const std::string headers = "X-Request-Id: " + seen.header("X-Request-Id") + "\r\nX-Not-Run: 1\r\n";
    return {send_step(whole_answer(503, headers + "Retry-After: " + rest_ + "\r\n", "busy"))};
  }

  std::string rest_;
  milliseconds rests_for_;
  mutable std::mutex mutex_;
  std::vector<Clock::time_point> arrivals_;
  ScriptedEngine engine_;
};

class RestingBackendTest : public test::SmallFleet {
 protected:
  void SetUp() override { ASSERT_TRUE(configure(make_configuration(1))); }
  std::deque<RestingEngine>& add_resting(size_t count, const std::string& rest, milliseconds rests_for) {
    for (size_t number = 0; number < count; ++number) {
      resting_.emplace_back(rest, rests_for);
      add_engine("resting" + std::to_string(number), "calls", resting_.back().engine());
    }
    return resting_;
  }
  /// Sends a request each 20 ms for so long, and gives how many got 200.
  size_t ask_for(milliseconds span, size_t& asked) {
    size_t served = 0;
    const auto end = Clock::now() + span;
    for (; Clock::now() < end; ++asked) {
      const std::string answer = ask("GET", "/safe/", "r" + std::to_string(asked));
      served += status_of(answer) == "HTTP/1.1 200" ? 1 : 0;
      last_ = status_of(answer) == "HTTP/1.1 503" ? answer : last_;
      std::this_thread::sleep_for(milliseconds(20));
      if (asked % 25 == 0) {
        beat();
      }
    }
    return served;
  }
  std::deque<RestingEngine> resting_;
  std::string last_;  ///< answer of 503
};

TEST_F(RestingBackendTest, BackEndsThatAskedForRestGetNothingWhileOthersServe) {
  constexpr milliseconds kRest{2500};
  ScriptedEngine other([](const SeenRequest& seen) { return test::succeed(seen); });
  add_resting(4, "2.5", kRest);
  add_engine("other", "calls", other);
  size_t asked = 0;
  ask_for(kOnTheWay, asked);
  const size_t before = asked;
  const size_t served = ask_for(kRest - kOnTheWay, asked);
  for (const RestingEngine& engine : resting_) {
    EXPECT_LE(engine.meanwhile(), kMostMeanwhile);
  }
  EXPECT_EQ(served, asked - before);
  ask_for(kRest, asked);
  for (const RestingEngine& engine : resting_) {
    EXPECT_GT(engine.count(), 5U);  // it is used again after its rest
  }
}

TEST_F(RestingBackendTest, WhereAllBackEndsRestCallersAreToldAtOnceWhenTheFirstWakes) {
  constexpr milliseconds kRest{3000};
  add_resting(3, "3", kRest);
  size_t asked = 0;
  ask_for(kOnTheWay, asked);
  last_.clear();
  const auto begin = Clock::now();
  EXPECT_EQ(ask_for(milliseconds(1), asked), 0U);
  EXPECT_LT(Clock::now() - begin, milliseconds(300));
  ASSERT_NE(last_.find("Retry-After: "), std::string::npos);
  const double told = std::stod(last_.substr(last_.find("Retry-After: ") + 13));
  EXPECT_GT(told, 1.5);
  EXPECT_LT(told, 4.5);
  for (const RestingEngine& engine : resting_) {
    EXPECT_EQ(engine.meanwhile(), 0U);
  }
}

TEST_F(RestingBackendTest, ARestThatCannotBeReadLosesNoBackEnd) {
  for (const char* rest : {"-5", "soon", "Fri, 31 Dec 1999 23:59:59 GMT"}) {
    resting_.emplace_back(rest, milliseconds(300));
    add_engine("odd" + std::to_string(resting_.size()), "calls", resting_.back().engine());
  }
  size_t asked = 0;
  ask_for(milliseconds(800), asked);
  const size_t before = asked;
  const size_t served = ask_for(milliseconds(200), asked);
  EXPECT_EQ(served, asked - before);
}

TEST_F(RestingBackendTest, ABackEndThatSaysInAnAnswerThatItLeavesGetsNoFurtherRequests) {
  ScriptedEngine leaving([](const SeenRequest& seen) -> Script {
    return {send_step(whole_answer(200, test::engine_headers(seen) + "X-Leaving: 1\r\n", "body"))};
  });
  ScriptedEngine other([](const SeenRequest& seen) { return test::succeed(seen); });
  add_engine("leaving", "calls", leaving);
  add_engine("other", "calls", other);
  size_t asked = 0;
  const size_t served = ask_for(milliseconds(1500), asked);  // with heartbeats that say nothing of it
  EXPECT_EQ(served, asked);
  EXPECT_LE(leaving.requests().size(), 1U);
}

TEST(BackendRest, OneRequestGoesAheadOfTheOthersAfterARest) {
  dispatch::BackendRest rest;
  EXPECT_TRUE(rest.may_send(5, 1s));
  rest.begin(3s);
  EXPECT_FALSE(rest.may_send(0, 2s));
  rest.on_taken(2s);  // an answer to a request that was sent before
  EXPECT_TRUE(rest.may_send(0, 3s));
  EXPECT_FALSE(rest.may_send(1, 3s));
  rest.on_taken(4s);
  EXPECT_TRUE(rest.may_send(9, 4s));
}

}  // namespace
}  // namespace stoat
