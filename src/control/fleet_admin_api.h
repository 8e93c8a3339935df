/// HTTP API of a control member: requests of operators and backends, and the directory of routers.
#pragma once

#include "src/control/fleet_interface.h"
#include "src/control/fleet_server.h"
#include "src/control/unreadable_bodies.h"
#include "src/http/server.h"

namespace stoat::control {

/// Registers the HTTP routes of a control member and passes their requests to its FleetServer. Must outlive
/// the servers that its routes were added to.
class FleetAdminApi {
 public:
  /// `directory_lifetime_s`: how long clients may use a reply of the directory, in seconds.
  /// `heartbeat_address`: "address:port" at which this member accepts heartbeats.
  FleetAdminApi(FleetServer& fleet, FleetHttpInterface interface, double directory_lifetime_s,
                std::string heartbeat_address);
  FleetAdminApi(const FleetAdminApi&) = delete;
  FleetAdminApi& operator=(const FleetAdminApi&) = delete;

  /// Adds the routes for operators and backends.
  void add_control_routes(http::Server& server);
  /// Adds the route of the router directory.
  void add_directory_routes(http::Server& server);

 private:
  /// Replies that a body cannot be read, with its findings, and logs the first one.
  void refuse(const http::ExchangePtr& exchange, const Findings& findings);
  void put_configuration(const http::ExchangePtr& exchange);
  void get_configuration(const http::ExchangePtr& exchange);
  void set_target_weights(const http::ExchangePtr& exchange);
  void order_rollout(const http::ExchangePtr& exchange);
  void get_rollout(const http::ExchangePtr& exchange);
  void retire(const http::ExchangePtr& exchange, const std::string& id, fleet::BackendState state);
  void delete_backend(const http::ExchangePtr& exchange);
  void put_heartbeat(const http::ExchangePtr& exchange);
  void get_status(const http::ExchangePtr& exchange);
  void get_routers(const http::ExchangePtr& exchange);
  std::string backend_name_from_path(const http::Exchange& exchange) const;

  FleetServer& fleet_;
  FleetHttpInterface interface_;
  double directory_lifetime_s_;
  std::string heartbeat_address_;
  UnreadableBodies unreadable_bodies_;
};

}  // namespace stoat::control
