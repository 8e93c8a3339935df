/// Finds the route of a request by host and path, and the tenant of a key. Built once for each configuration.
#pragma once

#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "src/fleet/fleet_configuration.h"

namespace stoat::routing {

/// See the head of this file.
class RouteTable {
 public:
  explicit RouteTable(std::shared_ptr<const fleet::FleetConfiguration> configuration);

  /// The route of the host whose prefix begins the path and is the longest; nullptr when there is none.
  const fleet::Route* find(std::string_view host, std::string_view target) const;
  /// The holder of a key, or nullptr.
  const fleet::Tenant* tenant_of_key(const std::string& key) const;
  const fleet::Service* service(const std::string& name) const;
  /// The store at an address; nullptr when there is none.
  const fleet::Service* store_at(const std::string& address) const;
  const fleet::FleetConfiguration& configuration() const { return *configuration_; }
  bool has_tenants() const { return !configuration_->tenants.empty(); }
  /// True when any tenant has a quota.
  bool has_quotas() const { return has_quotas_; }

 private:
  std::shared_ptr<const fleet::FleetConfiguration> configuration_;
  bool has_quotas_ = false;
  /// By host in lower case; the longest prefix first.
  std::unordered_map<std::string, std::vector<const fleet::Route*>> by_host_;
  std::unordered_map<std::string, const fleet::Tenant*> by_key_;
  std::unordered_map<std::string, const fleet::Service*> by_service_;
};

/// Gives the requests of a split to its services by smooth weighted round robin, so that each part gets its
/// share within any few requests.
class TrafficSplitter {
 public:
  /// The service for the next request of a route with several shares.
  const std::string& choose(const fleet::Route& route);

 private:
  std::unordered_map<std::string, std::vector<int64_t>> credits_;  ///< by route name
};

}  // namespace stoat::routing
