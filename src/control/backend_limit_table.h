/// The rate limits that backends have announced, as reported to a control member by its own routers and by
/// the other members. The latest report applies. Performs no I/O.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "src/fleet/backend_limit.h"
#include "src/fleet/revision_table.h"

namespace stoat::control {

/// Rate limits by backend. Backends without a limit have no entry.
class BackendLimitTable {
 public:
  /// Applies the limits that a router of this member reports.
  void on_router(const std::vector<fleet::BackendLimit>& limits) {
    for (const fleet::BackendLimit& limit : limits) {
      if (set(limit)) {
        changed_[limit.backend] = limit.per_second;
      }
    }
  }
  /// Applies the changes that another member reports.
  void on_peer(const std::vector<fleet::BackendLimit>& limits) {
    for (const fleet::BackendLimit& limit : limits) {
      set(limit);
    }
  }
  /// Removes the limit of a backend that is no longer registered.
  void forget(const std::string& backend) { limits_.erase(backend); }

  /// Limits changed by this member's routers since the last call, to be sent to the other members.
  std::vector<fleet::BackendLimit> take_changes() {
    std::vector<fleet::BackendLimit> changes = fleet::to_list(changed_);
    changed_.clear();
    return changes;
  }
  /// All limits.
  std::vector<fleet::BackendLimit> all() const {
    std::vector<fleet::BackendLimit> list;
    limits_.visit_all([&](const std::string& backend, double per_second) {
      list.push_back({backend, per_second});
    });
    return list;
  }
  /// The limit of a backend in requests per second, or `default_limit` when none is known.
  double per_second(const std::string& backend, double default_limit) const {
    const double* known = limits_.find(backend);
    return known == nullptr ? default_limit : *known;
  }
  const fleet::RevisionTable<std::string, double>& limits() const { return limits_; }

 private:
  bool set(const fleet::BackendLimit& limit) {
    return limit.per_second > 0 ? limits_.set(limit.backend, limit.per_second) : limits_.erase(limit.backend);
  }

  fleet::RevisionTable<std::string, double> limits_;  ///< requests per second, by id of the backend
  std::map<std::string, double> changed_;
};

}  // namespace stoat::control
