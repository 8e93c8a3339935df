#include "src/routing/route_table.h"

#include <algorithm>
#include <cctype>

namespace stoat::routing {

namespace {

std::string lower_case(std::string_view text) {
  std::string result(text);
  std::transform(result.begin(), result.end(), result.begin(),
                 [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
  return result;
}

/// Returns the host name of a Host header, without its port.
std::string_view without_port(std::string_view host) {
  const size_t colon = host.rfind(':');
  const bool has_port = colon != std::string_view::npos && host.find(']', colon) == std::string_view::npos;
  return has_port ? host.substr(0, colon) : host;
}

}  // namespace

RouteTable::RouteTable(std::shared_ptr<const fleet::FleetConfiguration> configuration)
    : configuration_(std::move(configuration)) {
  for (const fleet::Route& route : configuration_->routes) {
    by_host_[lower_case(route.host)].push_back(&route);
  }
  for (auto& [host, routes] : by_host_) {
    std::sort(routes.begin(), routes.end(), [](const fleet::Route* left, const fleet::Route* right) {
      return left->path_prefix.size() > right->path_prefix.size();
    });
  }
  for (const fleet::Tenant& tenant : configuration_->tenants) {
    has_quotas_ = has_quotas_ || tenant.quota.limited();
    for (const std::string& key : tenant.keys) {
      by_key_[key] = &tenant;
    }
  }
  for (const fleet::Service& service : configuration_->services) {
    by_service_[service.name] = &service;
  }
}

const fleet::Route* RouteTable::find(std::string_view host, std::string_view target) const {
  const auto routes = by_host_.find(lower_case(without_port(host)));
  if (routes == by_host_.end()) {
    return nullptr;
  }
  const std::string_view path = target.substr(0, target.find('?'));
  for (const fleet::Route* route : routes->second) {
    if (path.starts_with(route->path_prefix)) {
      return route;
    }
  }
  return nullptr;
}

const fleet::Tenant* RouteTable::tenant_of_key(const std::string& key) const {
  const auto found = by_key_.find(key);
  return found == by_key_.end() ? nullptr : found->second;
}

const fleet::Service* RouteTable::service(const std::string& name) const {
  const auto found = by_service_.find(name);
  return found == by_service_.end() ? nullptr : found->second;
}

const fleet::Service* RouteTable::store_at(const std::string& address) const {
  const auto& services = configuration_->services;
  const auto found = std::find_if(services.begin(), services.end(), [&](const fleet::Service& service) {
    return service.store_address == address;
  });
  return found == services.end() ? nullptr : &*found;
}

const std::string& TrafficSplitter::choose(const fleet::Route& route) {
  if (route.shares.size() == 1) {
    return route.shares.front().service;
  }
  Split& split = splits_[route.name];
  if (split.shares != route.shares) {
    split = {route.shares, std::vector<int64_t>(route.shares.size(), 0)};
  }
  int64_t total = 0;
  size_t best = 0;
  for (size_t position = 0; position < route.shares.size(); ++position) {
    const auto weight = static_cast<int64_t>(route.shares[position].weight);
    if (weight == 0) {
      continue;
    }
    total += weight;
    split.credits[position] += weight;
    if (split.credits[position] > split.credits[best] || route.shares[best].weight == 0) {
      best = position;
    }
  }
  split.credits[best] -= total;
  return route.shares[best].service;
}

}  // namespace stoat::routing
