/// Routers that are cut off from all backends while callers, control and the other routers reach them.
#include <deque>
#include <mutex>
#include <thread>

#include "tests/support/cuttable_link.h"
#include "tests/support/small_fleet.h"

namespace stoat {
namespace {

using standins::ReceivedRequest;
using standins::Script;
using standins::ScriptedEngine;
using test::CuttableLink;
using test::LinkState;
using test::status_of;
using Clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

/// Share of the first tries that must be served at routers that are cut off, and at the others.
constexpr double kMinServedAtCutRouters = 0.97;
constexpr double kMinServedAtOtherRouters = 0.99;
/// From the beginning of a cut to the first request that counts.
constexpr milliseconds kDetectionTime{1000};

/// Requests sent to one group of routers, and how many of them succeeded.
struct ServedCount {
  size_t sent = 0;
  size_t served = 0;
  double share() const { return sent == 0 ? 0 : static_cast<double>(served) / static_cast<double>(sent); }
};

/// Five routers and six backends of each service. The links of the first two routers to the backends can be
/// cut.
class CutOffRouterTest : public test::SmallFleet {
 protected:
  static constexpr size_t kRouters = 5;
  static constexpr size_t kCutRouters = 2;
  static constexpr size_t kEngines = 6;
  static constexpr size_t kClientsPerRouter = 4;
  static constexpr size_t kDistinctBodies = 60;
  static constexpr milliseconds kRequestInterval{100};
  static constexpr milliseconds kWorkTime{20};
  static constexpr milliseconds kHeartbeatInterval{500};

  void SetUp() override {
    for (const std::string service : {"calls", "models"}) {
      for (size_t number = 0; number < kEngines; ++number) {
        engines_.push_back(
            std::make_unique<ScriptedEngine>([this](const ReceivedRequest& seen) { return run(seen); }));
      }
    }
    ASSERT_TRUE(configure(make_configuration(1)));
    router_settings_.connect_to_backend = [this](const Endpoint& backend) {
      return cut_.entrance_of(backend);
    };
    while (ports_.size() < kCutRouters) {
      ports_.push_back(add_router());
    }
    router_settings_.connect_to_backend = [](const Endpoint& backend) { return backend; };
    ports_.push_back(router_port_);
    while (ports_.size() < kRouters) {
      ports_.push_back(add_router());
    }
    for (size_t number = 0; number < engines_.size(); ++number) {
      const std::string service = number < kEngines ? "calls" : "models";
      add_engine(service + std::to_string(number), service, *engines_[number]);
    }
    heartbeats_ = std::thread([this] {
      while (!stopping_) {
        send_engine_heartbeats();
        std::this_thread::sleep_for(kHeartbeatInterval);
      }
    });
  }
  void TearDown() override {
    stopping_ = true;
    if (heartbeats_.joinable()) {
      heartbeats_.join();
    }
    cut_.set_state(LinkState::kOpen);
  }

  Script run(const ReceivedRequest& seen) {
    {
      const std::lock_guard<std::mutex> lock(mutex_);
      ++runs_[seen.header("X-Request-Id")];
    }
    if (seen.head.find("/resume/") == std::string::npos) {
      return {standins::wait_step(kWorkTime),
              standins::send_step(standins::full_response(200, test::engine_headers(seen), "body"))};
    }
    const std::string first = "id: 1\ndata: a\n\n";
    const std::string last = "id: 2\ndata: b\n\n";
    const std::string head =
        "HTTP/1.1 200 OK\r\n" + test::engine_headers(seen) +
        "Content-Type: text/event-stream\r\nContent-Length: " + std::to_string(first.size() + last.size()) +
        "\r\n\r\n";
    return {standins::send_step(head + first), standins::wait_step(kWorkTime), standins::send_step(last)};
  }
  /// Sends requests to all routers, evenly over `path`, from `from` to `to`; each is tried once.
  void send_requests(const std::string& path, Clock::time_point from, Clock::time_point to) {
    std::vector<std::thread> clients;
    for (size_t router = 0; router < kRouters; ++router) {
      for (size_t client = 0; client < kClientsPerRouter; ++client) {
        clients.emplace_back([this, path, from, to, router, client] {
          auto at = from + client * kRequestInterval / kClientsPerRouter;
          for (size_t number = 0; at < to && Clock::now() < to; ++number, at += kRequestInterval) {
            std::this_thread::sleep_until(at);
            const bool served = send_one(path, router, client, number);
            const std::lock_guard<std::mutex> lock(mutex_);
            ServedCount& count = router < kCutRouters ? cut_count_ : other_count_;
            ++count.sent;
            count.served += served ? 1 : 0;
          }
        });
      }
    }
    for (std::thread& client : clients) {
      client.join();
    }
  }
  bool send_one(const std::string& path, size_t router, size_t client, size_t number) {
    const std::string id = path.substr(1, 2) + std::to_string(phase_) + "-" + std::to_string(router) + "-" +
                           std::to_string(client) + "-" + std::to_string(number);
    const std::string body = "body" + std::to_string((number * kClientsPerRouter + client) % kDistinctBodies);
    test::RawClient caller(ports_[router]);
    caller.send(request("POST", path, id,
                        "Content-Length: " + std::to_string(body.size()) + "\r\nConnection: close\r\n") +
                body);
    const std::string answer = caller.read_all();
    const bool whole = path != "/resume/" || answer.find("data: b") != std::string::npos;
    return status_of(answer) == "HTTP/1.1 200" && whole;
  }
  /// Sends requests for `span`, and counts only these.
  void count_requests(const std::string& path, milliseconds span) {
    ++phase_;
    cut_count_ = {};
    other_count_ = {};
    const auto now = Clock::now();
    send_requests(path, now, now + span);
  }
  size_t most_runs() const {
    const std::lock_guard<std::mutex> lock(mutex_);
    size_t most = 0;
    for (const auto& [id, runs] : runs_) {
      most = std::max(most, runs);
    }
    return most;
  }
  /// Cuts the links, and expects that requests are served at all routers from kDetectionTime on, and after
  /// the cut.
  void expect_served_during(LinkState state, const std::string& path) {
    constexpr milliseconds kWarmUp{1500};
    constexpr milliseconds kCounted{3000};
    constexpr milliseconds kAfter{1500};
    count_requests(path, kWarmUp);
    EXPECT_EQ(cut_count_.share(), 1);
    cut_.set_state(state);
    count_requests(path, kDetectionTime);
    count_requests(path, kCounted);
    EXPECT_GE(cut_count_.share(), kMinServedAtCutRouters) << cut_count_.served << " of " << cut_count_.sent;
    EXPECT_GE(other_count_.share(), kMinServedAtOtherRouters)
        << other_count_.served << " of " << other_count_.sent;
    cut_.set_state(LinkState::kOpen);
    count_requests(path, kAfter);
    EXPECT_GE(cut_count_.share(), kMinServedAtCutRouters) << cut_count_.served << " of " << cut_count_.sent;
    EXPECT_GE(other_count_.share(), kMinServedAtOtherRouters)
        << other_count_.served << " of " << other_count_.sent;
  }

  CuttableLink cut_;
  std::vector<uint16_t> ports_;
  std::deque<std::unique_ptr<ScriptedEngine>> engines_;
  std::atomic<bool> stopping_{false};
  std::thread heartbeats_;
  size_t phase_ = 0;
  mutable std::mutex mutex_;
  std::map<std::string, size_t> runs_;  ///< at backends, by request id
  ServedCount cut_count_;
  ServedCount other_count_;
};

TEST_F(CutOffRouterTest, SilentLinksLeaveCallersUnserved) {
  expect_served_during(LinkState::kSilent, "/safe/");
}

TEST_F(CutOffRouterTest, ResetLinksLeaveCallersUnserved) {
  expect_served_during(LinkState::kReset, "/safe/");
}

TEST_F(CutOffRouterTest, RefusedConnectionsLeaveCallersUnserved) {
  expect_served_during(LinkState::kNewRefused, "/safe/");
}

TEST_F(CutOffRouterTest, ResetLinksRunUnrepeatableRequestsTwiceOrNotAtAll) {
  expect_served_during(LinkState::kReset, "/once/");
  EXPECT_EQ(most_runs(), 1U);
}

TEST_F(CutOffRouterTest, SilentLinksLeaveStreamsUnserved) {
  expect_served_during(LinkState::kSilent, "/resume/");
}

}  // namespace
}  // namespace stoat
