/// The number of requests that the routers of the fleet have in progress at each backend. A member sums up
/// the reports of its own routers, exchanges the sums with the other members, and sends the totals to its
/// routers. Performs no I/O.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "src/fleet/fleet_messages.h"
#include "src/fleet/revision_table.h"

namespace stoat::control {

/// Aggregates the loads that all routers put on each backend.
class LoadAggregator {
 public:
  /// Replaces the loads of a router of this member. Backends that are not listed have none.
  void set_router_loads(const std::string& router, const std::vector<fleet::BackendLoad>& loads);
  /// Removes a router that has disconnected, or that follows another member.
  void forget_router(const std::string& router);
  /// Applies changes to the sums of another member.
  void on_peer(const std::string& peer, const std::vector<fleet::BackendLoad>& changes);
  /// Removes the sums of a member that is unreachable, or that sends its full state again.
  void forget_peer(const std::string& peer);

  /// The sums of this member's routers that have changed since the last call.
  std::vector<fleet::BackendLoad> take_own_changes();
  /// All sums of this member's routers.
  std::vector<fleet::BackendLoad> own_sums() const;
  /// The total loads of all routers by backend, ordered by last change.
  const fleet::RevisionTable<std::string, fleet::BackendLoad>& totals() const { return totals_; }

 private:
  using Loads = std::map<std::string, fleet::BackendLoad>;  ///< by backend
  static void add(const fleet::BackendLoad& load, fleet::BackendLoad& sum);
  static void subtract(const fleet::BackendLoad& load, fleet::BackendLoad& sum);
  void update_total(const std::string& backend);

  std::map<std::string, std::vector<fleet::BackendLoad>> router_loads_;  ///< by router
  Loads own_sums_;
  std::map<std::string, Loads> peer_sums_;
  /// Backends whose own sum has changed since the last take_own_changes().
  std::map<std::string, bool> changed_backends_;
  fleet::RevisionTable<std::string, fleet::BackendLoad> totals_;
};

}  // namespace stoat::control
