/// The limits that back ends have named, at a control member: as its own routers and the other members tell
/// them. The newest word counts. Free of I/O.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "src/fleet/backend_limit.h"
#include "src/fleet/revision_table.h"

namespace stoat::control {

/// See the head of this file. Back ends without a limit are not held.
class BackendLimitTable {
 public:
  /// A router of this member tells what it has heard.
  void on_router(const std::vector<fleet::BackendLimit>& limits) {
    for (const fleet::BackendLimit& limit : limits) {
      if (set(limit)) {
        untold_[limit.backend] = limit.per_second;
      }
    }
  }
  /// Another member tells what has changed.
  void on_peer(const std::vector<fleet::BackendLimit>& limits) {
    for (const fleet::BackendLimit& limit : limits) {
      set(limit);
    }
  }
  /// The registry knows a back end no more.
  void forget(const std::string& backend) { limits_.erase(backend); }

  /// What this member's routers have changed since the last call, for the other members.
  std::vector<fleet::BackendLimit> take_changes() {
    std::vector<fleet::BackendLimit> changes = fleet::to_list(untold_);
    untold_.clear();
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
  /// The limit of a back end, or `otherwise` when none is known.
  double per_second(const std::string& backend, double otherwise) const {
    const double* known = limits_.find(backend);
    return known == nullptr ? otherwise : *known;
  }
  const fleet::RevisionTable<std::string, double>& limits() const { return limits_; }

 private:
  bool set(const fleet::BackendLimit& limit) {
    return limit.per_second > 0 ? limits_.set(limit.backend, limit.per_second) : limits_.erase(limit.backend);
  }

  fleet::RevisionTable<std::string, double> limits_;  ///< requests a second, by id of the back end
  std::map<std::string, double> untold_;
};

}  // namespace stoat::control
