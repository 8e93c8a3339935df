#include "src/fleet/fleet_configuration.h"

#include <cmath>
#include <map>
#include <set>

namespace stoat::fleet {

namespace {

void add(Findings& findings, const std::string& key, const std::string& message) {
  Finding finding;
  finding.file = "configuration";
  finding.key = key;
  finding.message = message;
  findings.add(finding);
}

void check_route(const Route& route, const std::set<std::string>& services, Findings& findings) {
  const std::string setting_key = "routes." + route.name;
  uint64_t weight = 0;
  for (const ServiceShare& share : route.shares) {
    weight += share.weight;
    if (services.count(share.service) == 0) {
      add(findings, setting_key, "unknown service '" + share.service + "'");
    }
  }
  if (weight == 0) {
    add(findings, setting_key, "the weights add up to 0");
  }
  if (route.timeout_ms <= 0) {
    add(findings, setting_key, "the time-out must be above 0");
  }
}

void check_duplicate_routes(const std::vector<Route>& routes, Findings& findings) {
  std::set<std::pair<std::string, std::string>> host_prefixes;
  for (const Route& route : routes) {
    if (!host_prefixes.emplace(route.host, route.path_prefix).second) {
      add(findings, "routes." + route.name, "another route has the same host and path prefix");
    }
  }
}

void check_keys(const std::vector<Tenant>& tenants, Findings& findings) {
  std::map<std::string, std::string> holders;
  for (const Tenant& tenant : tenants) {
    for (const std::string& key : tenant.keys) {
      const auto [holder, added] = holders.emplace(key, tenant.name);
      if (!added && holder->second != tenant.name) {
        add(findings, "tenants." + tenant.name, "shares a key with tenant '" + holder->second + "'");
      }
    }
  }
}

void check_quotas(const std::vector<Tenant>& tenants, Findings& findings) {
  const auto valid = [](double amount) { return std::isfinite(amount) && amount >= 0; };
  for (const Tenant& tenant : tenants) {
    const std::string setting_key = "tenants." + tenant.name + ".quota";
    if (!valid(tenant.quota.per_second)) {
      add(findings, setting_key, "the rate must be a number of 0 or more");
    }
    if (!valid(tenant.quota.burst)) {
      add(findings, setting_key, "the burst must be a number of 0 or more");
    }
  }
}

}  // namespace

void check_configuration(const FleetConfiguration& configuration, Findings& findings) {
  if (configuration.version == 0) {
    add(findings, "version", "must be a whole number above 0");
  }
  std::set<std::string> services;
  for (const Service& service : configuration.services) {
    if (!services.insert(service.name).second) {
      add(findings, "services." + service.name, "another service has the same name");
    }
  }
  for (const Route& route : configuration.routes) {
    check_route(route, services, findings);
  }
  check_duplicate_routes(configuration.routes, findings);
  check_keys(configuration.tenants, findings);
  check_quotas(configuration.tenants, findings);
}

}  // namespace stoat::fleet
