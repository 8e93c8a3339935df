#include "src/fleet/software_history.h"

#include <algorithm>

namespace stoat::fleet {

namespace {

constexpr Duration kMinRetention = std::chrono::minutes(1);
/// Callers may resume a stream several times within their own deadline.
constexpr int64_t kRetentionTimeouts = 4;

}  // namespace

Duration software_retention(const FleetConfiguration& configuration) {
  int64_t longest_ms = 0;
  for (const Route& route : configuration.routes) {
    longest_ms = std::max<int64_t>(longest_ms, route.timeout_ms);
  }
  return std::max(kMinRetention, Duration(1000 * kRetentionTimeouts * longest_ms));
}

void SoftwareHistory::put(const BackendRecord& record) {
  const Version version{record.service, record.software};
  const auto known = backends_.find(record.id);
  if (known != backends_.end() && known->second == version) {
    return;
  }
  if (known != backends_.end()) {
    // A correction: the backend never had the earlier version.
    remove_backend(known->second, TimePoint(0));
  }
  const auto [entry, is_new] = versions_.try_emplace(version);
  ++entry->second.backends;
  revision_ += is_new ? 1 : 0;
  backends_[record.id] = version;
}

void SoftwareHistory::erase(const std::string& id, TimePoint now) {
  const auto known = backends_.find(id);
  if (known != backends_.end()) {
    remove_backend(known->second, now);
    backends_.erase(known);
  }
}

void SoftwareHistory::restore(const std::vector<ServiceSoftware>& services, TimePoint now) {
  for (const ServiceSoftware& entry : services) {
    for (const std::string& version : entry.versions) {
      const auto [state, is_new] = versions_.try_emplace({entry.service, version});
      if (is_new) {
        state->second.last_gone_at = now;
        ++revision_;
      }
    }
  }
}

void SoftwareHistory::remove_backend(const Version& version, TimePoint now) {
  VersionState& state = versions_.at(version);
  --state.backends;
  state.last_gone_at = now;
}

void SoftwareHistory::expire(TimePoint now) {
  revision_ += std::erase_if(versions_, [&](const auto& entry) {
    return entry.second.backends == 0 && now - entry.second.last_gone_at > retention_;
  });
}

std::set<std::string> SoftwareHistory::versions(const std::string& service) const {
  std::set<std::string> versions;
  for (auto entry = versions_.lower_bound({service, ""});
       entry != versions_.end() && entry->first.first == service; ++entry) {
    versions.insert(entry->first.second);
  }
  return versions;
}

std::vector<ServiceSoftware> SoftwareHistory::services() const {
  std::vector<ServiceSoftware> services;
  for (const auto& [version, state] : versions_) {
    if (services.empty() || services.back().service != version.first) {
      services.push_back({version.first, {}});
    }
    services.back().versions.insert(version.second);
  }
  return services;
}

std::vector<ServiceSoftware> SoftwareHistory::mixed_services() const {
  std::vector<ServiceSoftware> services = this->services();
  std::erase_if(services, [](const ServiceSoftware& entry) { return entry.versions.size() < 2; });
  return services;
}

}  // namespace stoat::fleet
