/// A small fleet on loopback, with the configuration of scripts/demo.json: control members, routers,
/// simulated engines and backends of a plain service. Used by stoat-chaos and the process tests.
#pragma once

#include <functional>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <vector>

#include "src/control/fleet_interface.h"
#include "src/dispatch/request_protocol.h"
#include "src/http/client.h"
#include "tools/load_generator.h"
#include "tools/process_fleet.h"

namespace stoat::tools {

/// The programs of a fleet and the names in their protocols.
struct FleetPrograms {
  std::string control = "stoat-control";
  std::string router = "stoat-router";
  std::string backend = "standin-backend";
  control::FleetHttpInterface interface = {};
  dispatch::HeaderNames headers = {};
};

/// How many processes of each kind to run, and how the simulated backends behave.
struct LoopbackFleetOptions {
  uint32_t control_members = 3;
  uint32_t routers = 2;
  uint32_t engines = 3;
  uint32_t services = 2;  ///< backends of the plain service
  std::string configuration_file;
  FleetPrograms programs = {};
  std::vector<std::string> control_settings;  ///< "key=value" settings of the control members, added last
  /// Folder from which control members and routers are started at first; empty: that of the ProcessFleet.
  std::string first_bin_folder;
  std::string software;  ///< program version that the plain service reports; empty: none
  /// Program versions that the engines report, by turns; empty: none.
  std::vector<std::string> engine_software;
  uint32_t limited_services = 0;  ///< how many backends of the plain service announce `rate_limit`
  double rate_limit = 0;          ///< in requests per second
  std::string crash_on;           ///< plain services crash on request bodies with this text; empty: never
};

/// Starts and inspects the processes of the fleet. They are named control-1, router-1, engine-1, service-1
/// and so on.
class LoopbackFleet {
 public:
  LoopbackFleet(ProcessFleet& processes, const LoopbackFleetOptions& options);

  /// Starts all processes and waits until every router and backend has registered with the control plane.
  /// Throws std::runtime_error if that takes too long.
  void start();
  /// Starts another backend of the plain service, which reports `software` as its program version. Every
  /// `fails_each`-th request to it fails; 0: none.
  void start_service_backend(const std::string& name, const std::string& software, uint32_t fails_each);
  /// The configuration document that the fleet's programs read, with their field names.
  nlohmann::json make_configuration() const;
  /// Puts a configuration document in force. Returns false if it was not acknowledged within `limit`.
  bool put_configuration(const std::string& document, Duration limit = Duration(10s)) const;
  /// Reads the configuration back; null if no member answers.
  nlohmann::json read_configuration() const;
  /// The status page of the leading control member; null if there is no leader.
  nlohmann::json status_of_leader() const;
  /// The status page of a control member; an empty object if it doesn't answer.
  nlohmann::json status_of(const Endpoint& member) const;
  /// The name of the leading control member; empty if there is none.
  std::string leader() const;
  /// Waits until `condition` holds. Returns false if it does not within `limit`.
  static bool wait_until(const std::function<bool()>& condition, Duration limit);
  /// Whether exactly this many routers and ready backends are registered with the leader.
  bool has_registered(size_t routers, size_t backends) const;
  /// Sends a request of the plain service to one router, as its client, and waits for the response.
  http::ClientResult send_to_router(size_t router, const std::string& path,
                                    const std::string& request_id) const;
  /// The routers as a target for run_load().
  LoadTarget target() const;
  const std::vector<Endpoint>& admin_endpoints() const { return admin_endpoints_; }
  /// The names of all processes of a kind: "control", "router", "engine" or "service".
  std::vector<std::string> names_of(const std::string& kind) const;
  /// The ids of all requests that started to run at any backend, once for each start. Includes runs of
  /// backends that were killed since.
  std::multiset<std::string> runs() const;
  /// The same as runs(), for one backend.
  std::multiset<std::string> runs_at(const std::string& name) const;

 private:
  void add_control_members();
  void add_routers();
  void add_server(const std::string& name, const std::string& program, std::vector<std::string> settings,
                  const std::vector<std::string>& more_settings = {});
  /// `rate_limit`: limit that the backend announces, in requests per second; 0: none.
  void add_backend(const std::string& name, const std::string& service, bool engine, double rate_limit = 0);
  bool every_router_serves() const;
  std::string runs_file(const std::string& name) const;

  ProcessFleet& processes_;
  LoopbackFleetOptions options_;
  std::vector<Endpoint> admin_endpoints_;
  std::vector<Endpoint> router_endpoints_;
  std::vector<std::string> control_names_;
  std::string seeds_setting_;  ///< setting with the control members' internal endpoints
  std::vector<std::string> backend_names_;
};

/// Checks the guarantees that must hold under any fault: no incorrect response, no refused request has run,
/// every answered request has run, and none ran more often than its route allows. Returns one line for each
/// violation.
std::vector<std::string> check_guarantees(const std::vector<RequestClass>& classes,
                                          const std::vector<RequestRecord>& records,
                                          const std::multiset<std::string>& runs);

}  // namespace stoat::tools
