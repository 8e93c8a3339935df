/// Requests at a router that has just started: they wait for its first configuration and for the first
/// backend of their service.
#include "src/gateway/startup_queue.h"
#include "tests/support/small_fleet.h"

namespace stoat {
namespace {

using standins::ReceivedRequest;
using standins::ScriptedEngine;
using test::status_of;

TEST(StartupQueue, ReturnsRequestsInOrderAndForgetsDisconnectedClients) {
  struct DiscardingResponse : edge::ResponseWriter {
    void reply(const edge::ResponseHead&, std::string_view) override {}
    void start(const edge::ResponseHead&) override {}
    void send(std::string_view) override {}
    void finish() override {}
    void abort() override {}
    size_t unsent_bytes() const override { return 0; }
    void set_flow_handler(FlowHandler) override {}
  };
  gateway::StartupQueue queue;
  std::vector<std::shared_ptr<edge::ResponseWriter>> responses;
  for (int number = 0; number < 4; ++number) {
    responses.push_back(std::make_shared<DiscardingResponse>());
    gateway::WaitingRequest waiting{{}, responses.back(), TimePoint(0), TimePoint(100ms * (4 - number))};
    EXPECT_TRUE(queue.add(waiting));
  }
  queue.remove(responses[1].get());
  const auto expired = queue.take_expired(TimePoint(100ms));
  ASSERT_EQ(expired.size(), 1U);
  EXPECT_EQ(expired.front().response, responses[3]);
  const auto remaining = queue.take_all();
  ASSERT_EQ(remaining.size(), 2U);
  EXPECT_EQ(remaining[0].response, responses[0]);
  EXPECT_EQ(remaining[1].response, responses[2]);
  EXPECT_EQ(queue.size(), 0U);
}

TEST(StartupQueue, RefusesRequestsWhenFull) {
  gateway::StartupQueue queue;
  for (size_t count = 0; count < gateway::StartupQueue::kMaxRequests; ++count) {
    gateway::WaitingRequest waiting;
    ASSERT_TRUE(queue.add(waiting));
  }
  gateway::WaitingRequest waiting;
  waiting.request.method = "GET";
  EXPECT_FALSE(queue.add(waiting));
  EXPECT_EQ(waiting.request.method, "GET");
}

/// A fleet without a configuration.
class UnconfiguredFleetTest : public test::SmallFleet {};

TEST_F(UnconfiguredFleetTest, RequestWaitsForTheFirstConfiguration) {
  ScriptedEngine engine([](const ReceivedRequest& request) { return test::succeed(request); });
  auto response = std::async(std::launch::async, [this] { return send_request("GET", "/safe/", "q1"); });
  EXPECT_EQ(response.wait_for(std::chrono::milliseconds(300)), std::future_status::timeout);
  add_engine("e1", "calls", engine);
  ASSERT_TRUE(configure(make_configuration(1)));
  EXPECT_EQ(status_of(response.get()), "HTTP/1.1 200");
}

/// Guards against refusing a request while the feed has no backends yet. A router refused the first of 495
/// requests after 102 ms ("request waits known=0", "no back end"), because it had just begun a feed at a
/// member that received its first heartbeats 8 ms later.
TEST_F(UnconfiguredFleetTest, RequestWaitsForTheFirstBackendOfItsService) {
  ScriptedEngine engine([](const ReceivedRequest& request) { return test::succeed(request); });
  ASSERT_TRUE(configure(make_configuration(1)));
  router_settings_.max_startup_wait = 20s;
  router_port_ = add_router();
  auto response = std::async(std::launch::async, [this] { return send_request("GET", "/safe/", "q1"); });
  EXPECT_EQ(response.wait_for(std::chrono::milliseconds(400)), std::future_status::timeout);
  add_engine("e1", "calls", engine);
  EXPECT_EQ(status_of(response.get()), "HTTP/1.1 200");
}

TEST_F(UnconfiguredFleetTest, RequestWaitsNoLongerThanHalfOfItsTimeout) {
  const auto start = std::chrono::steady_clock::now();
  const std::string response = send_request("GET", "/safe/", "q1");  // the client's timeout is 2 s
  EXPECT_EQ(status_of(response), "HTTP/1.1 503");
  EXPECT_LT(std::chrono::steady_clock::now() - start, std::chrono::milliseconds(1800));
}

}  // namespace
}  // namespace stoat
