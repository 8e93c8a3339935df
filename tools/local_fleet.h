/// A whole deployment on loopback: control members, routers, sidecars, stand-in engines, services and
/// platform.
#pragma once

#include <functional>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "src/http/blocking.h"
#include "tools/link_proxy.h"
#include "tools/process_fleet.h"
#include "tools/workload.h"

namespace stoat::tools {

/// How many processes of each kind, and their settings beyond the usual ones.
struct LocalFleetSettings {
  uint32_t controls = 1;
  uint32_t routers = 2;
  uint32_t sidecars = 1;
  uint32_t engines = 3;
  uint32_t plain_backends = 1;
  uint32_t kv_stores = 0;
  WorkloadSettings workload;  ///< tenants, model and service that are configured
  std::vector<std::string> router_settings;
  std::vector<std::string> engine_settings;
  std::vector<std::string> sidecar_settings;
  std::vector<std::string> control_settings;
  bool cuttable_links = false;  ///< control members, routers and engines are reached through a LinkProxy
};

/// Names: control-1, router-1, sidecar-1, engine-1, plain-1, kv-store-1, platform; counted from 1.
class LocalFleet {
 public:
  LocalFleet(ProcessFleet& processes, const LocalFleetSettings& settings);

  /// Starts all processes, configures the deployment, and waits until every sidecar can serve. Throws
  /// std::runtime_error, with what was missing, after `limit`.
  void start(Duration limit = Duration(20s));
  /// Asks all processes to stop, callers' side first; returns the names of those that did not stop cleanly.
  std::vector<std::string> stop();

  /// Where a process serves HTTP: a sidecar's callers, a control member's administration API, others' pages.
  Endpoint http_endpoint(const std::string& name) const { return http_.at(name); }
  std::vector<Endpoint> sidecar_endpoints() const;
  /// The control members' addresses for nodes.
  std::vector<Endpoint> control_members() const;
  std::vector<std::string> names_with_prefix(const std::string& prefix) const;

  /// GET of a path of a process; a null value when it gave no JSON.
  nlohmann::json get(const std::string& name, const std::string& path) const;
  /// Calls the administration API at whichever member leads; waits for a leader up to `limit`.
  http::ClientResult admin(const std::string& method, const std::string& path, const nlohmann::json& body,
                           Duration limit = Duration(10s)) const;
  /// Makes a configuration change on top of the present version; throws when it is refused.
  void change(const nlohmann::json& items);
  /// The name of the model that the engines serve.
  std::string model() const { return deployment_names(settings_.workload).model; }
  /// Routers and sidecars that do not have this version in force, or do not answer.
  std::vector<std::string> nodes_below(uint64_t version) const;
  /// The name of the leading control member; empty when there is none.
  std::string leader() const;
  /// Waits until `condition` holds; false after `limit`.
  static bool wait_until(const std::function<bool()>& condition, Duration limit);
  /// Runs per idempotency key, counted over the ledger files of engines and services. Outlives their kills.
  std::map<std::string, uint32_t> runs_per_key() const;
  ProcessFleet& processes() { return processes_; }
  /// The links to control members, routers and engines, by their names; for fleets with `cuttable_links`.
  LinkProxy& links() { return *links_; }

 private:
  void add_controls();
  void add_backends();
  void add_routers();
  void add_sidecars();
  nlohmann::json configuration_items() const;
  std::string control_list() const;
  std::string ledger_file(const std::string& name) const;
  /// Where others reach a process that listens at `listen`.
  Endpoint reached_at(const std::string& name, const Endpoint& listen);

  ProcessFleet& processes_;
  LocalFleetSettings settings_;
  std::map<std::string, Endpoint> http_;
  std::map<std::string, Endpoint> engine_endpoints_;  ///< where routers reach the engines
  std::vector<std::string> control_endpoints_;        ///< where peers and nodes reach the members
  std::unique_ptr<LinkProxy> links_;
  uint64_t last_change_ = 0;
  uint64_t version_ = 0;  ///< that the last change brought
};

}  // namespace stoat::tools
