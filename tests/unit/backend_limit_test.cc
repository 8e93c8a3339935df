/// Overloaded back ends name in their answers how many requests a second they take from all routers together.
///
/// Two engines of twelve named limits of 1.2 and 1.1 a second and still got 13 and 16 requests in 4 s, from
/// seven routers that each sent them about 0.5 a second: exactly as many as before. No log line or metric of
/// any process had a word of a limit.
///
/// Routers passed the limit on to callers like any other header. Once they noted it, each of the seven was
/// seen to send 5 to 15 requests in 4 s to a back end that takes 1 a second ("limited backend used
/// per_second=1 sent=15 span_ms=4000"), 66 together. Nor would it help if each kept to the limit by itself:
/// seven routers that may each send one whole request exceed it together. So one process has to see the sum,
/// and grants permits.
#include <deque>
#include <mutex>

#include "src/admission/backend_limits.h"
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

/// What a back end with a limit is held to: no more than this part of what the limit allows in a window, and
/// a few besides, from routers that have passed the limit on for a while.
constexpr double kTolerance = 1.5;
constexpr double kSlackRequests = 5;
constexpr std::chrono::seconds kWindow{4};
constexpr std::chrono::milliseconds kToldFor{500};
constexpr std::chrono::seconds kFirstWindowEnd{3};  ///< after the limit was first named

constexpr std::chrono::milliseconds kHeartbeatInterval{500};

/// A back end that names a limit while it is told to, and notes who asks it when.
class LimitingEngine {
 public:
  explicit LimitingEngine(std::string limit)
      : limit_(std::move(limit)), engine_([this](const SeenRequest& seen) { return answer(seen); }) {}

  const ScriptedEngine& engine() const { return engine_; }
  void set_naming(bool naming) { naming_ = naming; }
  size_t count() const { return engine_.requests().size(); }
  /// The most requests in a window that count, from routers that knew the limit.
  size_t most_in_window() const {
    const std::lock_guard<std::mutex> lock(mutex_);
    std::deque<Clock::time_point> window;
    size_t most = 0;
    for (const auto& [at, router] : arrivals_) {
      const auto told = told_.find(router);
      if (told == told_.end() || at < told->second + kToldFor) {
        continue;
      }
      window.push_back(at);
      while (window.front() <= at - kWindow) {
        window.pop_front();
      }
      most = at < first_named_ + kFirstWindowEnd ? most : std::max(most, window.size());
    }
    return most;
  }

 private:
  Script answer(const SeenRequest& seen) {
    const auto now = Clock::now();
    const std::string router = seen.header("X-Via");
    std::string headers = test::engine_headers(seen);
    const std::lock_guard<std::mutex> lock(mutex_);
    arrivals_.emplace_back(now, router);
    if (naming_) {
      headers += "X-Rate-Limit: " + limit_ + "\r\n";
      first_named_ = told_.empty() ? now : first_named_;
      told_.emplace(router, now);
    }
    return {send_step(whole_answer(200, headers, "body"))};
  }

  std::string limit_;
  std::atomic<bool> naming_{true};
  mutable std::mutex mutex_;
  std::vector<std::pair<Clock::time_point, std::string>> arrivals_;
  std::map<std::string, Clock::time_point> told_;  ///< by router: when it first got an answer with the limit
  Clock::time_point first_named_;
  ScriptedEngine engine_;
};

class BackendLimitTest : public test::SmallFleet {
 protected:
  static constexpr size_t kRouters = 7;

  void SetUp() override {
    ASSERT_TRUE(configure(make_configuration(1)));
    ports_ = {router_port_};
    while (ports_.size() < kRouters) {
      ports_.push_back(add_router());
    }
  }
  std::string ask_router(size_t router, const std::string& id) {
    test::RawClient client(ports_[router]);
    client.send(
        request("GET", "/safe/", id, "X-Via: r" + std::to_string(router) + "\r\nConnection: close\r\n"));
    return client.read_all();
  }
  /// Each router is asked four times a second for so long. Gives how many requests got 200.
  size_t ask_all(std::chrono::milliseconds span) {
    constexpr std::chrono::milliseconds kBetween{250};
    std::atomic<size_t> served{0};
    std::vector<std::thread> callers;
    const auto end = Clock::now() + span;
    for (size_t router = 0; router < kRouters; ++router) {
      callers.emplace_back([this, router, end, kBetween, &served] {
        for (size_t number = 0; Clock::now() < end; ++number) {
          const std::string id = std::to_string(router) + "-" + std::to_string(number);
          served += status_of(ask_router(router, id)) == "HTTP/1.1 200" ? 1 : 0;
          std::this_thread::sleep_for(kBetween);
        }
      });
    }
    for (; Clock::now() < end; std::this_thread::sleep_for(kHeartbeatInterval)) {
      beat();
    }
    for (std::thread& caller : callers) {
      caller.join();
    }
    return served;
  }
  std::vector<uint16_t> ports_;
};

TEST_F(BackendLimitTest, RoutersTogetherKeepToTheLimitThatABackEndNames) {
  constexpr double kLimit = 1;
  LimitingEngine limited("1.0");
  ScriptedEngine other([](const SeenRequest& seen) { return test::succeed(seen); });
  add_engine("limited", "calls", limited.engine());
  add_engine("other", "calls", other);
  const size_t served = ask_all(std::chrono::seconds(8));
  EXPECT_LE(limited.most_in_window(), kTolerance * kLimit * kWindow.count() + kSlackRequests);
  EXPECT_EQ(served, limited.count() + other.requests().size());
  EXPECT_GT(served, kRouters * 20);
  EXPECT_GE(limited.count(), kLimit * 4);  // what it takes is not left unused
}

TEST_F(BackendLimitTest, ALimitEndsWithTheFirstAnswerThatNamesNone) {
  LimitingEngine limited("1.0");
  ScriptedEngine other([](const SeenRequest& seen) { return test::succeed(seen); });
  add_engine("limited", "calls", limited.engine());
  add_engine("other", "calls", other);
  ask_all(std::chrono::seconds(4));
  limited.set_naming(false);
  ask_all(std::chrono::seconds(3));
  const size_t before = limited.count();
  const size_t served = ask_all(std::chrono::seconds(3));
  EXPECT_GT(limited.count() - before, served / 4);
}

TEST_F(BackendLimitTest, RoutersThatHaveHeardNothingKnowTheLimitFromControl) {
  LimitingEngine limited("0.5");
  add_engine("limited", "calls", limited.engine());
  EXPECT_EQ(status_of(ask_router(0, "first")), "HTTP/1.1 200");
  std::this_thread::sleep_for(std::chrono::milliseconds(600));
  const size_t before = limited.count();
  for (size_t router = 1; router < kRouters; ++router) {
    ask_router(router, std::to_string(router));
  }
  EXPECT_LE(limited.count() - before, 2U);
}

TEST_F(BackendLimitTest, WhatIsBeyondTheLimitsOfAllBackEndsIsToldAtOnceWhenToComeBack) {
  LimitingEngine limited("0.5");
  add_engine("limited", "calls", limited.engine());
  EXPECT_EQ(status_of(ask_router(0, "first")), "HTTP/1.1 200");
  size_t served = 1;
  size_t refused = 0;
  const auto end = Clock::now() + std::chrono::seconds(6);
  for (size_t number = 0; Clock::now() < end; ++number) {
    beat();
    const auto start = Clock::now();
    const std::string answer = ask_router(0, "beyond" + std::to_string(number));
    served += status_of(answer) == "HTTP/1.1 200" ? 1 : 0;
    if (status_of(answer) == "HTTP/1.1 503") {
      ++refused;
      EXPECT_NE(answer.find("Retry-After: "), std::string::npos) << answer;
      EXPECT_LT(Clock::now() - start, std::chrono::milliseconds(400));
    }
  }
  EXPECT_GT(refused, 0U);
  EXPECT_GE(served, 3U);
  EXPECT_EQ(limited.count(), served);  // what was refused has not run
}

// Guards against exceeding the limit by returning a permit to a later grant.
TEST(BackendLimits, APermitIsReturnedOnlyToItsOwnGrant) {
  admission::BackendLimits limits;
  limits.record_reported_limit("b", 1, 1s);
  const auto grant_one = [&](TimePoint now) {
    limits.want("b", now);
    const uint64_t number = limits.take_permit_request(now).number;
    fleet::PermitResponse answer;
    answer.number = number;
    answer.terms.push_back({"b", 1, 0});
    limits.on_answer(answer, now);
  };
  grant_one(2s);
  ASSERT_TRUE(limits.spend("b", 2s));
  EXPECT_FALSE(limits.may_send("b", 2s));
  limits.give_back("b", 2s, 2s);
  EXPECT_TRUE(limits.spend("b", 2s));
  grant_one(5s);
  limits.give_back("b", 2s, 5s);
  EXPECT_TRUE(limits.spend("b", 5s));
  EXPECT_FALSE(limits.may_send("b", 5s)) << "a permit of an earlier grant was returned";
}

TEST(BackendLimits, ANewIncarnationHasNoLimitUntilItNamesOne) {
  admission::BackendLimits limits;
  limits.record_reported_limit("b#1", 1, 1s);
  EXPECT_FALSE(limits.may_send("b#1", 2s));
  EXPECT_TRUE(limits.may_send("b#2", 2s));
}

}  // namespace
}  // namespace stoat
