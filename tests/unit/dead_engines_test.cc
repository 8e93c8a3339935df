/// Requests while engines are down: nothing listens at the address, or the host does not respond.
#include "tests/support/small_fleet.h"

namespace stoat {
namespace {

using standins::full_response;
using standins::ReceivedRequest;
using standins::Script;
using standins::ScriptedEngine;
using standins::send_step;
using test::status_of;

/// An address at which connections are never established, as at an unreachable host: the backlog of the
/// listener is full and never accepted from, so further SYN packets are dropped.
class UnresponsiveAddress {
 public:
  /// `accepts_one`: the first connection is established, and then stays silent, as if the host became
  /// unreachable after it.
  explicit UnresponsiveAddress(bool accepts_one = false) {
    listener_ = ::socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t length = sizeof(address);
    const bool listening = ::bind(listener_, reinterpret_cast<sockaddr*>(&address), length) == 0 &&
                           ::listen(listener_, 0) == 0 &&
                           ::getsockname(listener_, reinterpret_cast<sockaddr*>(&address), &length) == 0;
    if (!listening) {
      throw std::runtime_error("cannot listen on the loopback interface");
    }
    port_ = ntohs(address.sin_port);
    for (int& filler : fillers_) {
      if (accepts_one) {
        break;
      }
      filler = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
      // The connection attempt may stay in progress indefinitely, which is intended.
      (void)::connect(filler, reinterpret_cast<sockaddr*>(&address), length);
    }
  }
  ~UnresponsiveAddress() {
    for (const int filler : fillers_) {
      if (filler >= 0) {
        ::close(filler);
      }
    }
    ::close(listener_);
  }
  UnresponsiveAddress(const UnresponsiveAddress&) = delete;
  UnresponsiveAddress& operator=(const UnresponsiveAddress&) = delete;
  std::string text() const { return "127.0.0.1:" + std::to_string(port_); }

 private:
  int listener_ = -1;
  uint16_t port_ = 0;
  std::array<int, 4> fillers_{-1, -1, -1, -1};
};

/// A router with a retry budget.
class UnresponsiveEngineTest : public test::SmallFleet {
 protected:
  void SetUp() override { ASSERT_TRUE(configure(make_configuration(1))); }
};

TEST_F(UnresponsiveEngineTest, RequestAtAnEngineThatBecomesUnresponsiveIsRetriedElsewhereInTime) {
  ScriptedEngine engine([](const ReceivedRequest& request) { return test::succeed(request); });
  const UnresponsiveAddress unresponsive(true);
  add_engine_at("dark", unresponsive.text());
  add_engine("alive", "calls", engine);
  constexpr Duration kMaxResponseTime = 1400ms;  // the request has a deadline of 2 s
  for (int i = 0; i < 12; ++i) {  // each goes to a random engine until the unresponsive one is ejected
    const auto begin = std::chrono::steady_clock::now();
    EXPECT_EQ(status_of(send_request("GET", "/safe/", "q" + std::to_string(i))), "HTTP/1.1 200");
    EXPECT_LT(std::chrono::steady_clock::now() - begin, kMaxResponseTime);
  }
}

TEST_F(UnresponsiveEngineTest, SlowButReachableEngineKeepsItsRequest) {
  ScriptedEngine engine([](const ReceivedRequest& request) -> Script {
    return {standins::wait_step(std::chrono::milliseconds(1200)),
            send_step(full_response(200, engine_headers_for(request.header("X-Request-Id")), "body"))};
  });
  add_engine("slow", "calls", engine);
  EXPECT_EQ(status_of(send_request("GET", "/safe/", "q1")), "HTTP/1.1 200");
  EXPECT_EQ(engine.requests().size(), 1U);
}

/// A router without a retry budget.
class NoRetriesTest : public test::SmallFleet {
 protected:
  NoRetriesTest() : SmallFleet(0) {}
  void SetUp() override { ASSERT_TRUE(configure(make_configuration(1))); }
};

TEST_F(NoRetriesTest, RefusedConnectionDoesNotUseTheRetryBudget) {
  // Guards against charging the retry budget for failed connections: after a crash of many engines, requests
  // were refused for lack of budget although no engine had received them.
  ScriptedEngine engine([](const ReceivedRequest& request) { return test::succeed(request); });
  add_dead_engine("dead");
  add_engine("alive", "calls", engine);
  for (int i = 0; i < 12; ++i) {  // each goes to a random engine first
    EXPECT_EQ(status_of(send_request("GET", "/once/", "q" + std::to_string(i))), "HTTP/1.1 200");
  }
}

TEST_F(NoRetriesTest, RequestReachesAHealthyEngineHoweverManyAreDown) {
  // Guards against counting failed connections as refusals: when a third of the engines had crashed, three of
  // them were tried in a row within 4 ms, and the request was refused.
  ScriptedEngine engine([](const ReceivedRequest& request) { return test::succeed(request); });
  for (int number = 0; number < 8; ++number) {
    add_dead_engine("dead" + std::to_string(number));
  }
  add_engine("alive", "calls", engine);
  for (int i = 0; i < 8; ++i) {
    EXPECT_EQ(status_of(send_request("GET", "/once/", "q" + std::to_string(i))), "HTTP/1.1 200");
  }
}

TEST(OutlierDetector, UnreachableBackEndIsEjectedAtOnce) {
  delivery::OutlierDetector detector;
  for (const char* name : {"a", "b", "c", "d"}) {
    detector.track(name);
  }
  detector.on_unreachable("a", 1s);
  EXPECT_FALSE(delivery::OutlierDetector::usable(detector.handle_of("a"), 1s + 1ms));
  detector.on_unreachable("b", 1s);
  detector.on_unreachable("c", 1s);  // no more than half are ever ejected
  EXPECT_TRUE(delivery::OutlierDetector::usable(detector.handle_of("c"), 1s + 1ms));
  detector.on_success("a");
  EXPECT_TRUE(delivery::OutlierDetector::usable(detector.handle_of("a"), 3s));
}

TEST_F(NoRetriesTest, UnresponsiveEngineIsAbandonedInTimeForAnother) {
  // Guards against a long connection time-out: when a quarter of the engines of a large fleet became
  // unreachable, a request waited 1.5 s for its connection, far beyond its latency objective.
  ScriptedEngine engine([](const ReceivedRequest& request) { return test::succeed(request); });
  const UnresponsiveAddress unresponsive;
  add_engine_at("dark", unresponsive.text());
  add_engine("alive", "calls", engine);
  constexpr Duration kMaxResponseTime = 1400ms;
  for (int i = 0; i < 12; ++i) {  // each goes to a random engine until the unresponsive one is ejected
    const auto begin = std::chrono::steady_clock::now();
    EXPECT_EQ(status_of(send_request("GET", "/once/", "q" + std::to_string(i))), "HTTP/1.1 200");
    EXPECT_LT(std::chrono::steady_clock::now() - begin, kMaxResponseTime);
  }
}

}  // namespace
}  // namespace stoat
