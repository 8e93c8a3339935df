/// A small fleet in one process: a control member, one or more routers, and scripted engines.
#pragma once

#include <gtest/gtest.h>

#include <atomic>
#include <filesystem>
#include <future>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "src/control/fleet_server.h"
#include "src/gateway/gateway_server.h"
#include "standins/scripted_engine.h"
#include "tests/support/free_port.h"
#include "tests/support/raw_client.h"
#include "tests/support/run_on.h"

namespace stoat::test {

/// Records the orders to engines and accepts all of them. Provides no reports and no cache events.
class RecordingEngineOrders : public control::EngineInterface {
 public:
  void send(const control::LoadWeightsOrder& order,
            std::function<void(control::OrderAnswer)> on_answer) override {
    orders.push_back(order);
    on_answer(control::OrderAnswer::kTaken);
  }
  void request_report(const std::string&,
                      std::function<void(const control::EngineReport*)> on_report) override {
    on_report(nullptr);
  }
  void poll_cache_events(const std::string&, uint64_t,
                         std::function<void(const control::CacheEvents*)> on_events) override {
    on_events(nullptr);
  }
  std::vector<control::LoadWeightsOrder> orders;
};

/// Returns the headers that identify a response as the backend's own response to a request.
inline std::string engine_headers(const standins::ReceivedRequest& request) {
  return "X-Request-Id: " + request.header("X-Request-Id") + "\r\nX-Answer-Signature: s\r\n";
}

/// Returns the number of POST requests that an engine has received.
inline size_t count_posts(const standins::ScriptedEngine& engine) {
  size_t count = 0;
  for (const standins::ReceivedRequest& request : engine.requests()) {
    count += request.head.starts_with("POST") ? 1 : 0;
  }
  return count;
}

/// Returns a script that answers a request with status 200.
inline standins::Script succeed(const standins::ReceivedRequest& request, const std::string& body = "body") {
  return {standins::send_step(standins::full_response(200, engine_headers(request), body))};
}

/// Returns the protocol version and status code of a response, such as "HTTP/1.1 200".
inline std::string status_of(const std::string& answer) { return answer.substr(0, 12); }

/// Test fixture that runs such a fleet. The services are "models", which streams, and "calls". Host "h"
/// has the routes /safe/, /once/ (unsafe) and /open/ (needs no key) to "calls", and /stream/ (not resumable)
/// and /resume/ to "models". Key "k1" belongs to tenant "t1", key "k2" to tenant "t2", which is isolated.
class SmallFleet : public ::testing::Test {
 protected:
  /// `repeat_slack`: number of repeats that the router may send in addition to a fraction of its requests.
  /// `status_interval`: time between the router's status messages to the control plane.
  explicit SmallFleet(double repeat_slack = 100, Duration status_interval = 50ms) {
    data_folder_ =
        std::filesystem::temp_directory_path() / ("stoat-small-fleet-" + std::to_string(::getpid()));
    std::filesystem::remove_all(data_folder_);
    control::FleetControlSettings control;
    control.name = "c1";
    control.internal = {"127.0.0.1", free_port()};
    control.seeds = {control.internal};
    control.data_folder = data_folder_.string();
    control.first_start = true;
    control.core.target_voters = 1;
    control.holder_lease = 0ms;
    router_settings_.zone = "z1";
    router_settings_.link.seeds = {control.internal};
    router_settings_.link.status_interval = status_interval;
    router_settings_.budget.slack = repeat_slack;
    router_settings_.router_count_settle_time = 0s;
    control_endpoint_ = control.internal;
    control_ = std::make_unique<control::FleetServer>(control_loop_, control, engine_orders_);
    router_ = make_router("r1");
    router_port_ = router_settings_.listen.port;
    control_thread_ = std::thread([this] { control_loop_.run(); });
    router_thread_ = std::thread([this] { loop_.run(); });
  }
  ~SmallFleet() override {
    loop_.post([this] { loop_.stop(); });
    router_thread_.join();
    freeze_control();
    additional_routers_.clear();
    router_.reset();
    control_.reset();
    std::filesystem::remove_all(data_folder_);
  }

  /// Stops the control member's event loop, as if its machine were frozen.
  void freeze_control() {
    if (control_thread_.joinable()) {
      control_loop_.post([this] { control_loop_.stop(); });
      control_thread_.join();
    }
  }
  /// Runs `action` on the routers' thread, waits for it, and returns its result.
  template <typename Action>
  auto run_on_router_loop(Action action) {
    return run_on(loop_, std::move(action));
  }
  /// Waits until the condition, evaluated on the routers' thread, holds. Returns false if it does not within
  /// about 5 s.
  template <typename Condition>
  bool wait_for(const Condition& condition) {
    for (int attempt = 0; attempt < 500; ++attempt) {
      if (run_on_router_loop([&] { return condition(); })) {
        return true;
      }
      std::this_thread::sleep_for(std::chrono::milliseconds(10));
    }
    return false;
  }

  /// Starts an additional router and returns its port once it is ready.
  uint16_t add_router() {
    const std::string name = "r" + std::to_string(additional_routers_.size() + 2);
    run_on_router_loop([&] {
      additional_routers_.push_back(make_router(name));
      return true;
    });
    const uint16_t port = router_settings_.listen.port;
    EXPECT_TRUE(wait_for([this] { return additional_routers_.back()->ready(); }));
    return port;
  }
  static fleet::Route make_route(const std::string& name, fleet::RouteKind kind, const std::string& service) {
    fleet::Route route;
    route.name = name;
    route.host = "h";
    route.path_prefix = "/" + name + "/";
    route.kind = kind;
    route.timeout_ms = 2000;
    route.target_latency_ms = 1000;
    route.attempts = 2;
    route.shares = {{service, 1}};
    return route;
  }
  static fleet::FleetConfiguration make_configuration(uint64_t version) {
    fleet::FleetConfiguration configuration;
    configuration.version = version;
    configuration.routes = {make_route("safe", fleet::RouteKind::kSafe, "calls"),
                            make_route("once", fleet::RouteKind::kUnsafe, "calls"),
                            make_route("open", fleet::RouteKind::kSafe, "calls"),
                            make_route("stream", fleet::RouteKind::kStreaming, "models"),
                            make_route("resume", fleet::RouteKind::kStreaming, "models")};
    configuration.routes[2].open = true;
    configuration.routes[4].resumable = true;
    configuration.services.resize(2);
    configuration.services[0].name = "calls";
    configuration.services[1].name = "models";
    configuration.services[1].runs_models = true;
    configuration.services[1].engine.backups = true;
    configuration.tenants = {{"t1", {"k1"}, 0, false}, {"t2", {"k2"}, 0, true}};
    return configuration;
  }
  /// Commits a configuration at the control member and waits until the router is ready. Returns false if
  /// either fails.
  bool configure(const fleet::FleetConfiguration& configuration) {
    bool committed = false;
    for (int attempt = 0; attempt < 200 && !committed; ++attempt) {
      auto result = std::make_shared<std::promise<bool>>();
      auto future = result->get_future();
      control_loop_.post([this, configuration, result] {
        control_->commit(fleet::PutConfiguration{configuration, "source"},
                         [result](bool ok) { result->set_value(ok); });
      });
      committed = future.get();
      std::this_thread::sleep_for(std::chrono::milliseconds(committed ? 0 : 20));
    }
    return committed && wait_for([this] { return router_->ready(); });
  }
  /// Registers a scripted engine and waits until the router knows it. `weights`: version of its model's
  /// weights; `software`: version of its program; `slots`: number of requests that it runs at a time.
  void add_engine(const std::string& id, const std::string& service, const standins::ScriptedEngine& engine,
                  uint64_t weights = 1, const std::string& software = "", uint32_t slots = 8) {
    fleet::BackendRecord record;
    record.id = id;
    record.service = service;
    record.address = engine.address();
    record.zone = "z1";
    record.slots = slots;
    record.sequence = ++sequence_;
    record.software = software;
    if (service == "models") {
      record.models = {{"m", weights}};
    }
    records_.push_back(record);
    run_on(control_loop_, [&] {
      control_->receive_heartbeat(record);
      return true;
    });
    ASSERT_TRUE(wait_for([&] { return router_->knows_backend(id); }));
  }
  /// Sends another heartbeat for each engine added with add_engine(). Without heartbeats, engines count as
  /// lost after a few seconds.
  void send_engine_heartbeats() {
    for (fleet::BackendRecord& record : records_) {
      record.sequence = ++sequence_;
      run_on(control_loop_, [&] { return control_->receive_heartbeat(record); });
    }
  }
  /// Registers an engine of service "calls" at an address and waits until the router knows it.
  void add_engine_at(const std::string& id, const std::string& address) {
    fleet::BackendRecord record;
    record.id = id;
    record.service = "calls";
    record.address = address;
    record.zone = "z1";
    record.slots = 8;
    record.sequence = 1;
    run_on(control_loop_, [&] {
      control_->receive_heartbeat(record);
      return true;
    });
    ASSERT_TRUE(wait_for([&] { return router_->knows_backend(id); }));
  }
  /// Registers an engine of service "calls" at an address on which nothing listens.
  void add_dead_engine(const std::string& id) {
    add_engine_at(id, "127.0.0.1:" + std::to_string(free_port()));
  }
  /// Returns the head of a request with a deadline of 2 s. `headers`: further headers, each ending in CR LF.
  std::string request(const std::string& method, const std::string& path, const std::string& id,
                      const std::string& headers = "", const std::string& key = "k1") {
    return method + " " + path + " HTTP/1.1\r\nHost: h\r\nX-Request-Id: " + id +
           "\r\nX-Deadline-Ms: 2000\r\nAuthorization: Bearer " + key + "\r\n" + headers + "\r\n";
  }
  /// Sends a request on a new connection that closes after it, and returns the whole response.
  std::string send_request(const std::string& method, const std::string& path, const std::string& id,
                           const std::string& headers = "", const std::string& key = "k1") {
    RawClient client(router_port_);
    client.send(request(method, path, id, headers + "Connection: close\r\n", key));
    return client.read_all();
  }
  /// Returns the headers that identify a response as the engine's own response to the request with this ID.
  static std::string engine_headers_for(const std::string& id) {
    return "X-Request-Id: " + id + "\r\nX-Answer-Signature: s\r\n";
  }

  /// Returns a new router that listens on a free port and runs on the loop of all routers.
  std::unique_ptr<gateway::GatewayServer> make_router(const std::string& name) {
    return make_router(name, loop_);
  }
  std::unique_ptr<gateway::GatewayServer> make_router(const std::string& name, EventLoop& loop) {
    router_settings_.name = name;
    router_settings_.listen = {"127.0.0.1", free_port()};
    router_settings_.relay_listen = {"127.0.0.1", free_port()};
    return std::make_unique<gateway::GatewayServer>(loop, router_settings_, header_names_);
  }

  EventLoop control_loop_;
  EventLoop loop_;  ///< of all routers
  dispatch::HeaderNames header_names_;
  gateway::GatewaySettings router_settings_;  ///< of the router created last
  RecordingEngineOrders engine_orders_;
  std::filesystem::path data_folder_;
  uint16_t router_port_ = 0;
  Endpoint control_endpoint_;  ///< for the internal protocol between routers and control members
  uint64_t sequence_ = 0;
  std::vector<fleet::BackendRecord> records_;  ///< last heartbeats of the engines added with add_engine()
  std::unique_ptr<control::FleetServer> control_;
  std::unique_ptr<gateway::GatewayServer> router_;
  std::vector<std::unique_ptr<gateway::GatewayServer>> additional_routers_;
  std::thread control_thread_;
  std::thread router_thread_;
};

}  // namespace stoat::test
