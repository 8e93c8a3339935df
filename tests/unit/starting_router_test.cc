/// Requests at a router that has just started: they wait for its first configuration and for the first back
/// end of their service.
#include "src/gateway/start_queue.h"
#include "tests/support/small_fleet.h"

namespace stoat {
namespace {

using standins::ScriptedEngine;
using standins::SeenRequest;
using test::status_of;

TEST(StartQueue, GivesBackInOrderAndForgetsCallersWhoLeft) {
  struct SilentAnswer : edge::ResponseWriter {
    void reply(const edge::ResponseHead&, std::string_view) override {}
    void start(const edge::ResponseHead&) override {}
    void send(std::string_view) override {}
    void finish() override {}
    void abort() override {}
    size_t unsent() const override { return 0; }
    void set_flow_handler(FlowHandler) override {}
  };
  gateway::StartQueue queue;
  std::vector<std::shared_ptr<edge::ResponseWriter>> answers;
  for (int number = 0; number < 4; ++number) {
    answers.push_back(std::make_shared<SilentAnswer>());
    gateway::WaitingRequest waiting{{}, answers.back(), TimePoint(0), TimePoint(100ms * (4 - number))};
    EXPECT_TRUE(queue.add(waiting));
  }
  queue.remove(answers[1].get());
  const auto expired = queue.take_expired(TimePoint(100ms));
  ASSERT_EQ(expired.size(), 1U);
  EXPECT_EQ(expired.front().answer, answers[3]);
  const auto rest = queue.take_all();
  ASSERT_EQ(rest.size(), 2U);
  EXPECT_EQ(rest[0].answer, answers[0]);
  EXPECT_EQ(rest[1].answer, answers[2]);
  EXPECT_EQ(queue.size(), 0U);
}

TEST(StartQueue, RefusesWhatItHasNoRoomFor) {
  gateway::StartQueue queue;
  for (size_t count = 0; count < gateway::StartQueue::kMostRequests; ++count) {
    gateway::WaitingRequest waiting;
    ASSERT_TRUE(queue.add(waiting));
  }
  gateway::WaitingRequest waiting;
  waiting.request.method = "GET";
  EXPECT_FALSE(queue.add(waiting));
  EXPECT_EQ(waiting.request.method, "GET");
}

/// A fleet without a configuration.
class StartingFleetTest : public test::SmallFleet {};

TEST_F(StartingFleetTest, ARequestWaitsForTheFirstConfiguration) {
  ScriptedEngine engine([](const SeenRequest& request) { return test::succeed(request); });
  auto answer = std::async(std::launch::async, [this] { return ask("GET", "/safe/", "q1"); });
  EXPECT_EQ(answer.wait_for(std::chrono::milliseconds(300)), std::future_status::timeout);
  add_engine("e1", "calls", engine);
  ASSERT_TRUE(configure(make_configuration(1)));
  EXPECT_EQ(status_of(answer.get()), "HTTP/1.1 200");
}

/// A fleet of real processes refused the first of 495 requests after 102 ms ("request waits known=0", "no
/// back end"): the router had just begun a feed at a member that heard its first heartbeats 8 ms later.
TEST_F(StartingFleetTest, ARequestWaitsForTheFirstBackEndOfItsService) {
  ScriptedEngine engine([](const SeenRequest& request) { return test::succeed(request); });
  ASSERT_TRUE(configure(make_configuration(1)));
  router_settings_.start_wait = 20s;
  router_port_ = add_router();
  auto answer = std::async(std::launch::async, [this] { return ask("GET", "/safe/", "q1"); });
  EXPECT_EQ(answer.wait_for(std::chrono::milliseconds(400)), std::future_status::timeout);
  add_engine("e1", "calls", engine);
  EXPECT_EQ(status_of(answer.get()), "HTTP/1.1 200");
}

TEST_F(StartingFleetTest, ARequestWaitsForNoLongerThanHalfOfItsTime) {
  const auto start = std::chrono::steady_clock::now();
  const std::string answer = ask("GET", "/safe/", "q1");  // the caller gives it 2 s
  EXPECT_EQ(status_of(answer), "HTTP/1.1 503");
  EXPECT_LT(std::chrono::steady_clock::now() - start, std::chrono::milliseconds(1800));
}

}  // namespace
}  // namespace stoat
