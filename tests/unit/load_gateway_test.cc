/// Requests at a router whose only engine has more requests than slots.
#include <cstdlib>

#include "tests/support/small_fleet.h"

namespace stoat {
namespace {

using standins::full_response;
using standins::ReceivedRequest;
using standins::Script;
using standins::ScriptedEngine;
using standins::send_step;
using standins::wait_step;
using test::RawClient;
using test::status_of;

/// Engines of the small fleet have 8 slots, and runs are assumed to last 300 ms before any has ended: with
/// this many requests the expected wait is 225 ms, above the accepted 200 ms, and with one less it is 188 ms.
constexpr size_t kRequestsThatFillTheEngine = 13;
/// With this many requests the expected wait is 1238 ms: a request with a timeout of 1 s can't be served, one
/// of 2 s can.
constexpr size_t kRequestsThatOverloadTheEngine = 40;

class LoadGatewayTest : public test::SmallFleet {
 protected:
  void SetUp() override {
    auto configuration = make_configuration(1);
    configuration.routes[1].timeout_ms = 1000;  // route "once"
    ASSERT_TRUE(configure(configuration));
  }
  /// Sends this many requests without reading their responses, and waits until the engine has them.
  void fill(const ScriptedEngine& engine, size_t count) {
    for (size_t number = 0; number < count; ++number) {
      clients_.push_back(std::make_unique<RawClient>(router_port_));
      clients_.back()->send(request("GET", "/safe/", "fill" + std::to_string(number)));
    }
    ASSERT_TRUE(wait_for([&] { return engine.requests().size() >= count; }));
  }
  std::string metrics() {
    return run_on_router_loop([this] { return router_->metrics().to_text(); });
  }
  std::vector<std::unique_ptr<RawClient>> clients_;
};

Script respond_after(const ReceivedRequest& seen, int milliseconds) {
  return {wait_step(std::chrono::milliseconds(milliseconds)),
          send_step(full_response(200, test::engine_headers(seen), "body"))};
}

TEST_F(LoadGatewayTest, RequestWaitsForASlotAndIsThenSent) {
  ScriptedEngine engine([](const ReceivedRequest& seen) { return respond_after(seen, 300); });
  add_engine("e1", "calls", engine);
  fill(engine, kRequestsThatFillTheEngine);
  EXPECT_EQ(status_of(send_request("GET", "/safe/", "held")), "HTTP/1.1 200");
  EXPECT_NE(metrics().find("stoat_router_slot_wait_seconds_count{route=\"safe\"} 1"), std::string::npos);
  EXPECT_EQ(metrics().find("stoat_router_load_refusals_total"), std::string::npos);
}

TEST_F(LoadGatewayTest, UnservableRequestIsRefusedAtOnceWithRetryAfter) {
  ScriptedEngine engine([](const ReceivedRequest& seen) { return respond_after(seen, 1500); });
  add_engine("e1", "calls", engine);
  fill(engine, kRequestsThatOverloadTheEngine);
  const auto start = std::chrono::steady_clock::now();
  const std::string response = send_request("POST", "/once/", "late");
  EXPECT_LT(std::chrono::steady_clock::now() - start, std::chrono::milliseconds(250));
  EXPECT_EQ(status_of(response), "HTTP/1.1 503");
  const size_t header = response.find("Retry-After: ");
  ASSERT_NE(header, std::string::npos);
  EXPECT_GT(std::atof(response.c_str() + header + std::string("Retry-After: ").size()), 1.2);
  EXPECT_EQ(engine.requests().size(), kRequestsThatOverloadTheEngine);
}

TEST_F(LoadGatewayTest, RequestOfADisconnectedClientIsNotSent) {
  ScriptedEngine engine([](const ReceivedRequest& seen) { return respond_after(seen, 300); });
  add_engine("e1", "calls", engine);
  fill(engine, kRequestsThatFillTheEngine);
  {
    RawClient leaving(router_port_);
    leaving.send(request("GET", "/safe/", "leaving"));
    std::this_thread::sleep_for(std::chrono::milliseconds(40));
  }
  std::this_thread::sleep_for(std::chrono::milliseconds(400));
  EXPECT_EQ(engine.requests().size(), kRequestsThatFillTheEngine);
}

}  // namespace
}  // namespace stoat
