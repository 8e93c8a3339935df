/// A router with an event loop and a thread of its own.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <thread>
#include <utility>

#include "src/gateway/gateway_server.h"
#include "tests/support/run_on.h"

namespace stoat::test {

/// Runs a router as a process does: the router, which the loop's timers call, is destroyed when the loop has
/// ended.
class RouterThread {
 public:
  /// `make`: returns a router that runs on the loop.
  explicit RouterThread(const std::function<std::unique_ptr<gateway::GatewayServer>(EventLoop&)>& make)
      : router_(make(loop_)), thread_([this] {
          loop_.run();
          router_.reset();
        }) {}
  ~RouterThread() {
    loop_.post([this] { loop_.stop(); });
    thread_.join();
  }
  RouterThread(const RouterThread&) = delete;
  RouterThread& operator=(const RouterThread&) = delete;

  /// Calls `action` with the router on its thread, waits for it, and returns its result. Not to be called
  /// once the router has stopped its loop.
  template <typename Action>
  auto run(Action action) {
    return run_on(loop_, [this, action = std::move(action)] { return action(*router_); });
  }
  /// Returns whether the router is ready and knows the backend.
  bool serves(const std::string& backend) {
    return run([&](const gateway::GatewayServer& router) {
      return router.ready() && router.knows_backend(backend);
    });
  }

 private:
  EventLoop loop_;
  std::unique_ptr<gateway::GatewayServer> router_;
  std::thread thread_;
};

}  // namespace stoat::test
