/// Finds the route of a request by host and path, and the tenant of an access key. Built once per
/// configuration.
#pragma once

#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "src/fleet/fleet_configuration.h"

namespace stoat::routing {

/// The routes, services and tenants of one configuration, indexed for lookups.
class RouteTable {
 public:
  explicit RouteTable(std::shared_ptr<const fleet::FleetConfiguration> configuration);

  /// Returns the route of the host with the longest prefix that matches the path; nullptr if there is none.
  const fleet::Route* find(std::string_view host, std::string_view target) const;
  /// Returns the tenant that owns an access key, or nullptr.
  const fleet::Tenant* tenant_of_key(const std::string& key) const;
  const fleet::Service* service(const std::string& name) const;
  /// Returns the store at an address; nullptr if there is none.
  const fleet::Service* store_at(const std::string& address) const;
  const fleet::FleetConfiguration& configuration() const { return *configuration_; }
  bool has_tenants() const { return !configuration_->tenants.empty(); }
  /// Returns whether any tenant has a quota.
  bool has_quotas() const { return has_quotas_; }

 private:
  std::shared_ptr<const fleet::FleetConfiguration> configuration_;
  bool has_quotas_ = false;
  /// By host in lower case; routes with longer path prefixes come first.
  std::unordered_map<std::string, std::vector<const fleet::Route*>> by_host_;
  std::unordered_map<std::string, const fleet::Tenant*> by_key_;
  std::unordered_map<std::string, const fleet::Service*> by_service_;
};

/// Distributes the requests of a traffic split over its services by smooth weighted round robin, so that each
/// service gets its share even over a few requests. Begins anew when the shares of a route change.
class TrafficSplitter {
 public:
  /// Returns the service for the next request of a route. A service with weight 0 gets none.
  const std::string& choose(const fleet::Route& route);

 private:
  struct Split {
    std::vector<fleet::ServiceShare> shares;  ///< that the credits belong to
    std::vector<int64_t> credits;             ///< by position in `shares`
  };
  std::unordered_map<std::string, Split> splits_;  ///< by route name
};

}  // namespace stoat::routing
