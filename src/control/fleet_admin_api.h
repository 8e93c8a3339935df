/// The calls to a control member over HTTP: the operators', the back ends', and the directory of routers.
#pragma once

#include "src/control/fleet_interface.h"
#include "src/control/fleet_server.h"
#include "src/http/server.h"

namespace stoat::control {

/// See the head of this file. Must outlive the servers that its routes were added to.
class FleetAdminApi {
 public:
  /// Answers of the directory hold for `directory_lifetime_s`. `heartbeat_address`: "address:port" at which
  /// this member takes heartbeats.
  FleetAdminApi(FleetServer& fleet, FleetHttpInterface interface, double directory_lifetime_s,
                std::string heartbeat_address);
  FleetAdminApi(const FleetAdminApi&) = delete;
  FleetAdminApi& operator=(const FleetAdminApi&) = delete;

  /// Adds the calls of operators and back ends.
  void add_control_routes(http::Server& server);
  /// Adds the directory's call.
  void add_directory_routes(http::Server& server);

 private:
  void put_configuration(const http::ExchangePtr& exchange);
  void get_configuration(const http::ExchangePtr& exchange);
  void name_weights(const http::ExchangePtr& exchange);
  void order_rollout(const http::ExchangePtr& exchange);
  void get_rollout(const http::ExchangePtr& exchange);
  void retire(const http::ExchangePtr& exchange, const std::string& id, fleet::BackendState state);
  void take_heartbeat(const http::ExchangePtr& exchange);
  void tell_status(const http::ExchangePtr& exchange);
  void tell_routers(const http::ExchangePtr& exchange);
  std::string backend_of(const http::Exchange& exchange) const;

  FleetServer& fleet_;
  FleetHttpInterface interface_;
  double directory_lifetime_s_;
  std::string heartbeat_address_;
};

}  // namespace stoat::control
