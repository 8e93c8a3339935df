/// HTTP client for orders and queries to engines and KV stores.
#pragma once

#include "src/control/engine_interface.h"
#include "src/control/fleet_bodies.h"
#include "src/control/fleet_interface.h"
#include "src/control/unreadable_bodies.h"
#include "src/http/client.h"

namespace stoat::control {

/// Sends load orders, report requests and cache-event polls to engines and KV stores over HTTP.
class EngineClient : public EngineInterface {
 public:
  EngineClient(EventLoop& loop, FleetHttpInterface interface)
      : loop_(loop), client_(loop), interface_(std::move(interface)) {}
  void send(const LoadWeightsOrder& order, std::function<void(OrderAnswer)> on_answer) override;
  void request_report(const std::string& address,
                      std::function<void(const EngineReport*)> on_report) override;
  void poll_cache_events(const std::string& address, uint64_t since,
                         std::function<void(const CacheEvents*)> on_events) override;

 private:
  /// The value of a body that a backend or store answered with; logs what is wrong if it can't be read.
  template <typename Value>
  std::optional<Value> readable(const std::string& address, BodyResult<Value> body);

  EventLoop& loop_;
  http::Client client_;
  FleetHttpInterface interface_;
  UnreadableBodies unreadable_bodies_;
};

}  // namespace stoat::control
