/// Overloaded backends report in their responses how many requests per second they accept from all routers
/// together.
///
/// Guards against a limit being ignored. Two of twelve engines reported limits of 1.2 and 1.1 requests per
/// second and still received 13 and 16 requests in 4 s, exactly as many as before, from seven routers that
/// each sent them about 0.5 per second. Routers passed the limit on to callers like any other header, and no
/// log line or metric mentioned it.
///
/// Also guards against each router applying the limit on its own. Seven routers that knew the limit each sent
/// 5 to 15 requests in 4 s, 66 together, to a backend that accepts 1 per second ("limited backend used
/// per_second=1 sent=15 span_ms=4000"). Even one whole request from each router exceeds the limit, so a
/// single process must see the total and grant permits.
#include <deque>
#include <mutex>

#include "src/admission/backend_limits.h"
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

/// Upper bound for a limited backend: kTolerance times what the limit allows in a window, plus
/// kSlackRequests. Counts only routers that have known the limit for some time.
constexpr double kTolerance = 1.5;
constexpr double kSlackRequests = 5;
constexpr std::chrono::seconds kWindow{4};
constexpr std::chrono::milliseconds kLimitPropagationTime{500};
constexpr std::chrono::seconds kFirstWindowEnd{3};  ///< after the limit was first reported

constexpr std::chrono::milliseconds kHeartbeatInterval{500};

/// A backend that reports a limit while enabled, and records which router sends requests when.
class LimitingEngine {
 public:
  explicit LimitingEngine(std::string limit)
      : limit_(std::move(limit)), engine_([this](const ReceivedRequest& seen) { return answer(seen); }) {}

  const ScriptedEngine& engine() const { return engine_; }
  void set_reporting(bool reporting) { reporting_ = reporting; }
  size_t count() const { return engine_.requests().size(); }
  /// Returns the maximum number of requests in any window, counting only requests from routers that knew the
  /// limit.
  size_t most_in_window() const {
    const std::lock_guard<std::mutex> lock(mutex_);
    std::deque<Clock::time_point> window;
    size_t most = 0;
    for (const auto& [at, router] : arrivals_) {
      const auto informed = informed_routers_.find(router);
      if (informed == informed_routers_.end() || at < informed->second + kLimitPropagationTime) {
        continue;
      }
      window.push_back(at);
      while (window.front() <= at - kWindow) {
        window.pop_front();
      }
      most = at < first_reported_ + kFirstWindowEnd ? most : std::max(most, window.size());
    }
    return most;
  }

 private:
  Script answer(const ReceivedRequest& seen) {
    const auto now = Clock::now();
    const std::string router = seen.header("X-Via");
    std::string headers = test::engine_headers(seen);
    const std::lock_guard<std::mutex> lock(mutex_);
    arrivals_.emplace_back(now, router);
    if (reporting_) {
      headers += "X-Rate-Limit: " + limit_ + "\r\n";
      first_reported_ = informed_routers_.empty() ? now : first_reported_;
      informed_routers_.emplace(router, now);
    }
    return {send_step(full_response(200, headers, "body"))};
  }

  std::string limit_;
  std::atomic<bool> reporting_{true};
  mutable std::mutex mutex_;
  std::vector<std::pair<Clock::time_point, std::string>> arrivals_;
  /// By router: when it first received a response with the limit.
  std::map<std::string, Clock::time_point> informed_routers_;
  Clock::time_point first_reported_;
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
  std::string send_through(size_t router, const std::string& id) {
    test::RawClient client(ports_[router]);
    client.send(
        request("GET", "/safe/", id, "X-Via: r" + std::to_string(router) + "\r\nConnection: close\r\n"));
    return client.read_all();
  }
  /// Sends four requests per second through each router for `span`. Returns how many requests were answered
  /// with 200.
  size_t send_through_all(std::chrono::milliseconds span) {
    constexpr std::chrono::milliseconds kRequestInterval{250};
    std::atomic<size_t> served{0};
    std::vector<std::thread> callers;
    const auto end = Clock::now() + span;
    for (size_t router = 0; router < kRouters; ++router) {
      callers.emplace_back([this, router, end, kRequestInterval, &served] {
        for (size_t number = 0; Clock::now() < end; ++number) {
          const std::string id = std::to_string(router) + "-" + std::to_string(number);
          served += status_of(send_through(router, id)) == "HTTP/1.1 200" ? 1 : 0;
          std::this_thread::sleep_for(kRequestInterval);
        }
      });
    }
    for (; Clock::now() < end; std::this_thread::sleep_for(kHeartbeatInterval)) {
      send_engine_heartbeats();
    }
    for (std::thread& caller : callers) {
      caller.join();
    }
    return served;
  }
  std::vector<uint16_t> ports_;
};

TEST_F(BackendLimitTest, RoutersTogetherStayWithinReportedLimit) {
  constexpr double kLimit = 1;
  LimitingEngine limited("1.0");
  ScriptedEngine other([](const ReceivedRequest& seen) { return test::succeed(seen); });
  add_engine("limited", "calls", limited.engine());
  add_engine("other", "calls", other);
  const size_t served = send_through_all(std::chrono::seconds(8));
  EXPECT_LE(limited.most_in_window(), kTolerance * kLimit * kWindow.count() + kSlackRequests);
  EXPECT_EQ(served, limited.count() + other.requests().size());
  EXPECT_GT(served, kRouters * 20);
  EXPECT_GE(limited.count(), kLimit * 4);  // the limit is used up
}

TEST_F(BackendLimitTest, LimitEndsWithFirstResponseWithoutLimit) {
  LimitingEngine limited("1.0");
  ScriptedEngine other([](const ReceivedRequest& seen) { return test::succeed(seen); });
  add_engine("limited", "calls", limited.engine());
  add_engine("other", "calls", other);
  send_through_all(std::chrono::seconds(4));
  limited.set_reporting(false);
  send_through_all(std::chrono::seconds(3));
  const size_t before = limited.count();
  const size_t served = send_through_all(std::chrono::seconds(3));
  EXPECT_GT(limited.count() - before, served / 4);
}

TEST_F(BackendLimitTest, OtherRoutersLearnLimitFromControlPlane) {
  LimitingEngine limited("0.5");
  add_engine("limited", "calls", limited.engine());
  EXPECT_EQ(status_of(send_through(0, "first")), "HTTP/1.1 200");
  std::this_thread::sleep_for(std::chrono::milliseconds(600));
  const size_t before = limited.count();
  for (size_t router = 1; router < kRouters; ++router) {
    send_through(router, std::to_string(router));
  }
  EXPECT_LE(limited.count() - before, 2U);
}

TEST_F(BackendLimitTest, RequestsBeyondAllLimitsAreRefusedAtOnceWithRetryAfter) {
  LimitingEngine limited("0.5");
  add_engine("limited", "calls", limited.engine());
  EXPECT_EQ(status_of(send_through(0, "first")), "HTTP/1.1 200");
  size_t served = 1;
  size_t refused = 0;
  const auto end = Clock::now() + std::chrono::seconds(6);
  for (size_t number = 0; Clock::now() < end; ++number) {
    send_engine_heartbeats();
    const auto start = Clock::now();
    const std::string answer = send_through(0, "beyond" + std::to_string(number));
    served += status_of(answer) == "HTTP/1.1 200" ? 1 : 0;
    if (status_of(answer) == "HTTP/1.1 503") {
      ++refused;
      EXPECT_NE(answer.find("Retry-After: "), std::string::npos) << answer;
      EXPECT_LT(Clock::now() - start, std::chrono::milliseconds(400));
    }
  }
  EXPECT_GT(refused, 0U);
  EXPECT_GE(served, 3U);
  EXPECT_EQ(limited.count(), served);  // refused requests have not run
}

// Guards against exceeding the limit by adding a returned permit to a later grant.
TEST(BackendLimits, PermitIsReturnedOnlyToItsOwnGrant) {
  admission::BackendLimits limits;
  limits.record_reported_limit("b", 1, 1s);
  const auto grant_one = [&](TimePoint now) {
    limits.note_unmet_request("b", now);
    const uint64_t number = limits.take_permit_request(now).number;
    fleet::PermitResponse answer;
    answer.number = number;
    answer.grants.push_back({"b", 1, 0});
    limits.on_permit_answer(answer, now);
  };
  grant_one(2s);
  ASSERT_TRUE(limits.consume_permit("b", 2s));
  EXPECT_FALSE(limits.may_send("b", 2s));
  limits.return_permit("b", 2s, 2s);
  EXPECT_TRUE(limits.consume_permit("b", 2s));
  grant_one(5s);
  limits.return_permit("b", 2s, 5s);
  EXPECT_TRUE(limits.consume_permit("b", 5s));
  EXPECT_FALSE(limits.may_send("b", 5s)) << "a permit of an earlier grant was returned";
}

TEST(BackendLimits, NewIncarnationHasNoLimitUntilItReportsOne) {
  admission::BackendLimits limits;
  limits.record_reported_limit("b#1", 1, 1s);
  EXPECT_FALSE(limits.may_send("b#1", 2s));
  EXPECT_TRUE(limits.may_send("b#2", 2s));
}

}  // namespace
}  // namespace stoat
