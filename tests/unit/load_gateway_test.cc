/// Requests at a router whose only engine has more to do than slots.
#include <cstdlib>

#include "tests/support/small_fleet.h"

namespace stoat {
namespace {

using standins::Script;
using standins::ScriptedEngine;
using standins::SeenRequest;
using standins::send_step;
using standins::wait_step;
using standins::whole_answer;
using test::RawClient;
using test::status_of;

/// Engines of the small fleet have 8 slots, and runs are taken to last 300 ms before any has ended: with so
/// many requests the wait is expected to be 225 ms, above the useful 200 ms, and with one less 188 ms.
constexpr size_t kFull = 13;
/// With so many it is 1238 ms: a request that has 1 s can't be served, one of 2 s can.
constexpr size_t kHopeless = 40;

class LoadGatewayTest : public test::SmallFleet {
 protected:
  void SetUp() override {
    auto configuration = make_configuration(1);
    configuration.routes[1].timeout_ms = 1000;  // of "once"
    ASSERT_TRUE(configure(configuration));
  }
  /// Sends so many requests without reading their answers, and waits until the engine has them.
  void fill(const ScriptedEngine& engine, size_t count) {
    for (size_t number = 0; number < count; ++number) {
      callers_.push_back(std::make_unique<RawClient>(router_port_));
      callers_.back()->send(request("GET", "/safe/", "fill" + std::to_string(number)));
    }
    ASSERT_TRUE(wait_for([&] { return engine.requests().size() >= count; }));
  }
  std::string metrics() {
    return run_on_router_loop([this] { return router_->metrics().to_text(); });
  }
  std::vector<std::unique_ptr<RawClient>> callers_;
};

Script answer_after(const SeenRequest& seen, int milliseconds) {
  return {wait_step(std::chrono::milliseconds(milliseconds)),
          send_step(whole_answer(200, test::engine_headers(seen), "body"))};
}

TEST_F(LoadGatewayTest, ARequestWaitsForASlotAndIsThenSent) {
  ScriptedEngine engine([](const SeenRequest& seen) { return answer_after(seen, 300); });
  add_engine("e1", "calls", engine);
  fill(engine, kFull);
  EXPECT_EQ(status_of(ask("GET", "/safe/", "held")), "HTTP/1.1 200");
  EXPECT_NE(metrics().find("stoat_router_slot_wait_seconds_count{route=\"safe\"} 1"), std::string::npos);
  EXPECT_EQ(metrics().find("stoat_router_load_refusals_total"), std::string::npos);
}

TEST_F(LoadGatewayTest, WhatCanNotBeServedInTimeIsRefusedAtOnceAndToldWhenToComeBack) {
  ScriptedEngine engine([](const SeenRequest& seen) { return answer_after(seen, 1500); });
  add_engine("e1", "calls", engine);
  fill(engine, kHopeless);
  const auto start = std::chrono::steady_clock::now();
  const std::string answer = ask("POST", "/once/", "late");
  EXPECT_LT(std::chrono::steady_clock::now() - start, std::chrono::milliseconds(250));
  EXPECT_EQ(status_of(answer), "HTTP/1.1 503");
  const size_t header = answer.find("Retry-After: ");
  ASSERT_NE(header, std::string::npos);
  EXPECT_GT(std::atof(answer.c_str() + header + std::string("Retry-After: ").size()), 1.2);
  EXPECT_EQ(engine.requests().size(), kHopeless);
}

TEST_F(LoadGatewayTest, ACallerThatLeavesWhileItWaitsIsNotSent) {
  ScriptedEngine engine([](const SeenRequest& seen) { return answer_after(seen, 300); });
  add_engine("e1", "calls", engine);
  fill(engine, kFull);
  {
    RawClient leaving(router_port_);
    leaving.send(request("GET", "/safe/", "leaving"));
    std::this_thread::sleep_for(std::chrono::milliseconds(40));
  }
  std::this_thread::sleep_for(std::chrono::milliseconds(400));
  EXPECT_EQ(engine.requests().size(), kFull);
}

}  // namespace
}  // namespace stoat
