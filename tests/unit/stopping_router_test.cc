/// Requests at a router that is told to stop: each that was read whole gets an answer, and none that may
/// outlast the grace is sent to an engine late.
#include "tests/support/eventually.h"
#include "tests/support/router_thread.h"
#include "tests/support/small_fleet.h"

namespace stoat {
namespace {

using standins::ReceivedRequest;
using standins::Script;
using standins::ScriptedEngine;
using std::chrono::milliseconds;
using test::count_posts;
using test::eventually;
using test::RawClient;
using test::status_of;
using Clock = std::chrono::steady_clock;

class StoppingRouterTest : public test::SmallFleet {
 protected:
  static constexpr Duration kListensFor = 400ms;
  static constexpr Duration kGrace = 1500ms;
  /// Longer than the grace.
  static constexpr milliseconds kLongWork{4000};
  static constexpr milliseconds kShortWork{200};
  static constexpr milliseconds kAnswersWithin{300};
  /// The leader estimates the wait for a slot from its grants within a shorter time.
  static constexpr milliseconds kGrantsCountFor{1500};

  void SetUp() override {
    fleet::FleetConfiguration configuration = make_configuration(1);
    for (fleet::Route& route : configuration.routes) {
      route.timeout_ms = 10000;
    }
    ASSERT_TRUE(configure(configuration));
  }
  void start_router(Duration listens_for = kListensFor) {
    router_settings_.stop_listening_after = listens_for;
    router_settings_.shutdown_timeout = kGrace;
    stopping_router_ = std::make_unique<test::RouterThread>(
        [this](EventLoop& loop) { return make_router("stopping", loop); });
  }
  /// Adds an engine, and waits until the router that is to stop knows it.
  void add_known_engine(const std::string& service, const ScriptedEngine& engine, uint32_t slots = 8) {
    const std::string id = "engine-" + std::to_string(++engines_);
    add_engine(id, service, engine, 1, "", slots);
    ASSERT_TRUE(eventually([&] { return stopping_router_->serves(id); }));
  }
  void stop() {
    stopping_router_->run([](gateway::GatewayServer& router) {
      router.stop();
      return true;
    });
    stopped_at_ = Clock::now();
  }
  /// Waits until the router has stopped listening.
  void wait_until_closing() const {
    std::this_thread::sleep_until(stopped_at_ + kListensFor + milliseconds(150));
  }
  std::string head(const std::string& path, const std::string& id, int64_t deadline_ms, size_t body_bytes) {
    return "POST " + path + " HTTP/1.1\r\nHost: h\r\nX-Request-Id: " + id +
           "\r\nX-Deadline-Ms: " + std::to_string(deadline_ms) +
           "\r\nAuthorization: Bearer k1\r\nX-Model: m\r\nX-Token-Counts: 20,10\r\nX-Prompt-Parts: "
           "a:10,b:10\r\nContent-Length: " +
           std::to_string(body_bytes) + "\r\n\r\n";
  }
  uint16_t port() const { return router_settings_.listen.port; }
  /// Begins an upload, stops the router, and ends the upload after it has stopped listening. Returns the
  /// answer.
  std::string end_upload_late(const std::string& path, int64_t deadline_ms) {
    RawClient client(port());
    client.send(head(path, "late", deadline_ms, 4) + "up");
    std::this_thread::sleep_for(milliseconds(50));
    stop();
    wait_until_closing();
    client.send("up");
    const auto sent_at = Clock::now();
    client.read_until("\r\n\r\n");
    answered_after_ = Clock::now() - sent_at;
    return client.read_all();
  }
  /// Returns whether the router has decided to send a request again.
  bool has_repeated() {
    const std::string metrics = stopping_router_->run(
        [](const gateway::GatewayServer& router) { return router.metrics().to_text(); });
    return metrics.find("stoat_router_repeats_total 1") != std::string::npos;
  }
  /// Sends requests until the engine runs one of them. Returns its client, or null if none runs within 10 s.
  std::unique_ptr<RawClient> occupy(const ScriptedEngine& engine) {
    const size_t posts_before = count_posts(engine);
    std::unique_ptr<RawClient> client;
    const bool runs = eventually([&] {
      client = std::make_unique<RawClient>(port());
      client->send(head("/safe/", "occupant", 8000, 0));
      client->read_until("\r\n\r\n", kAnswersWithin);
      return count_posts(engine) > posts_before;
    });
    return runs ? std::move(client) : nullptr;
  }

  std::unique_ptr<test::RouterThread> stopping_router_;
  size_t engines_ = 0;
  Clock::time_point stopped_at_;
  Clock::duration answered_after_{0};
};

Script work(const ReceivedRequest& seen, milliseconds span) {
  return {standins::wait_step(span),
          standins::send_step(standins::full_response(200, test::engine_headers(seen), "body"))};
}

class LateUploadTest : public StoppingRouterTest, public ::testing::WithParamInterface<std::string> {};

// An upload that began before the router stopped listening was passed on and cut at the end of the grace.
TEST_P(LateUploadTest, IsCutAtTheEndOfTheGrace) {
  start_router();
  ScriptedEngine engine([](const ReceivedRequest& seen) { return work(seen, kLongWork); });
  add_known_engine(GetParam() == "/once/" || GetParam() == "/safe/" ? "calls" : "models", engine);
  const std::string answer = end_upload_late(GetParam(), 8000);
  EXPECT_EQ(status_of(answer), "HTTP/1.1 503") << answer;
  EXPECT_NE(answer.find("\r\nRetry-After: "), std::string::npos) << answer;
  EXPECT_LT(answered_after_, kAnswersWithin);
  EXPECT_EQ(count_posts(engine), 0U);
}
INSTANTIATE_TEST_SUITE_P(Routes, LateUploadTest,
                         ::testing::Values("/once/", "/safe/", "/stream/", "/resume/"));

TEST_F(StoppingRouterTest, LateUploadThatEndsWithinTheGraceIsRefused) {
  start_router();
  ScriptedEngine engine([](const ReceivedRequest& seen) { return work(seen, kShortWork); });
  add_known_engine("calls", engine);
  EXPECT_EQ(status_of(end_upload_late("/once/", 500)), "HTTP/1.1 200");
}

// A request that waited for an engine was sent when one came, and cut at the end of the grace.
TEST_F(StoppingRouterTest, WaitingRequestIsSentLate) {
  start_router();
  ScriptedEngine known([](const ReceivedRequest& seen) { return work(seen, kShortWork); });
  add_known_engine("models", known);
  RawClient client(port());
  client.send(head("/once/", "waiting", 8000, 0));
  std::this_thread::sleep_for(milliseconds(50));
  stop();
  wait_until_closing();
  const std::string answer = client.read_until("\r\n\r\n", kAnswersWithin);
  EXPECT_EQ(status_of(answer), "HTTP/1.1 503") << answer;
  ScriptedEngine late([](const ReceivedRequest& seen) { return work(seen, kLongWork); });
  add_engine("late", "calls", late);
  client.read_all();
  EXPECT_EQ(count_posts(late), 0U);
}

// A request was sent to another engine late in the grace, though the first one's answer was there.
TEST_F(StoppingRouterTest, FailedRequestIsRepeatedLate) {
  start_router();
  const auto fail_late = [](const ReceivedRequest& seen) -> Script {
    return {standins::wait_step(milliseconds(800)),
            standins::send_step(standins::full_response(500, test::engine_headers(seen), "failed"))};
  };
  ScriptedEngine first(fail_late);
  ScriptedEngine second(fail_late);
  add_known_engine("calls", first);
  add_known_engine("calls", second);
  RawClient client(port());
  client.send(head("/safe/", "repeat", 8000, 0));
  std::this_thread::sleep_for(milliseconds(50));
  stop();
  const std::string answer = client.read_all();
  EXPECT_EQ(status_of(answer), "HTTP/1.1 500") << answer;
  EXPECT_EQ(count_posts(first) + count_posts(second), 1U);
}

// A repeat that waited for the slot of a brittle engine was sent there after the router stopped listening.
TEST_F(StoppingRouterTest, WaitingRepeatIsSentLate) {
  std::atomic<bool> fails{false};
  std::atomic<bool> slot_is_free{false};
  start_router(Duration(0));
  ScriptedEngine failing([&](const ReceivedRequest& seen) -> Script {
    eventually([&] { return fails.load(); });
    return {standins::send_step(standins::full_response(500, test::engine_headers(seen), "failed"))};
  });
  ScriptedEngine brittle([&](const ReceivedRequest& seen) -> Script {
    const std::string id = seen.header("X-Request-Id");
    if (id == "occupant") {
      eventually([&] { return slot_is_free.load(); });
    }
    const std::string headers = test::engine_headers(seen) + "X-Brittle: 5\r\n";
    return {standins::wait_step(id == "repeat" ? kLongWork : milliseconds(0)),
            standins::send_step(standins::full_response(200, headers, "body"))};
  });
  add_known_engine("calls", failing, 1);
  RawClient client(port());
  client.send(head("/safe/", "repeat", 10000, 0));
  std::this_thread::sleep_for(milliseconds(50));
  add_known_engine("calls", brittle, 1);
  RawClient first(port());
  first.send(head("/safe/", "first", 8000, 0));
  ASSERT_EQ(status_of(first.read_until("body")), "HTTP/1.1 200");
  const auto occupant = occupy(brittle);
  ASSERT_NE(occupant, nullptr);
  std::this_thread::sleep_for(kGrantsCountFor);
  send_engine_heartbeats();
  fails = true;
  ASSERT_TRUE(eventually([this] { return has_repeated(); }));
  stop();
  ASSERT_TRUE(eventually([this] { return !RawClient(port()).connected(); }));
  slot_is_free = true;
  const std::string answer = client.read_all();
  EXPECT_EQ(status_of(answer), "HTTP/1.1 502") << answer;
  EXPECT_EQ(count_posts(failing), 1U);
  EXPECT_EQ(count_posts(brittle), 2U);
}

// Requests whose engines were still at work at the end of the grace got no answer.
TEST_F(StoppingRouterTest, RequestAtWorkAtTheEndOfTheGraceGetsNoAnswer) {
  start_router();
  ScriptedEngine engine([](const ReceivedRequest& seen) { return work(seen, kLongWork); });
  add_known_engine("calls", engine);
  RawClient client(port());
  client.send(head("/once/", "work", 8000, 0));
  std::this_thread::sleep_for(milliseconds(50));
  stop();
  const std::string answer = client.read_all();
  EXPECT_EQ(status_of(answer), "HTTP/1.1 504") << answer;
  EXPECT_LT(Clock::now() - stopped_at_, kGrace + kAnswersWithin);
}

// A stream that is cut at the end of the grace looked whole.
TEST_F(StoppingRouterTest, StreamAtWorkAtTheEndOfTheGraceLooksComplete) {
  start_router();
  ScriptedEngine engine([](const ReceivedRequest& seen) -> Script {
    return {
        standins::send_step("HTTP/1.1 200 OK\r\n" + test::engine_headers(seen) + "\r\nid: 1\ndata: a\n\n"),
        standins::wait_step(kLongWork)};
  });
  add_known_engine("models", engine);
  RawClient client(port());
  client.send(head("/stream/", "work", 8000, 0));
  client.read_until("data: a\n\n");
  stop();
  const std::string answer = client.read_all();
  EXPECT_TRUE(client.closed());
  EXPECT_EQ(answer.find("\r\n0\r\n\r\n"), std::string::npos) << answer;
}

// Requests that waited for the first configuration of a router got no answer when it stopped.
TEST_F(StoppingRouterTest, RequestOfARouterWithoutConfigurationGetsNoAnswer) {
  freeze_control();
  start_router();
  RawClient client(port());
  client.send(head("/once/", "starting", 8000, 0));
  std::this_thread::sleep_for(milliseconds(50));
  stop();
  wait_until_closing();
  const std::string answer = client.read_until("\r\n\r\n", kAnswersWithin);
  EXPECT_EQ(status_of(answer), "HTTP/1.1 503") << answer;
}

}  // namespace
}  // namespace stoat
