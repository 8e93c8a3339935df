/// How many requests the routers of the fleet have under way at each back end. A member adds up what its own
/// routers tell, exchanges the sums with the other members, and tells the totals to its routers. Free of I/O.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "src/fleet/fleet_messages.h"
#include "src/fleet/revision_table.h"

namespace stoat::control {

/// See the head of this file.
class LoadAggregator {
 public:
  /// A router of this member has these requests under way now; at back ends that aren't named, none.
  void set_router_loads(const std::string& router, const std::vector<fleet::BackendLoad>& loads);
  /// A router of this member is gone, or follows another one.
  void forget_router(const std::string& router);
  /// Another member tells changes of its sums.
  void on_peer(const std::string& peer, const std::vector<fleet::BackendLoad>& changes);
  /// Another member is gone, or begins anew.
  void forget_peer(const std::string& peer);

  /// The sums of this member's routers that have changed since the last call.
  std::vector<fleet::BackendLoad> take_own_changes();
  /// All sums of this member's routers.
  std::vector<fleet::BackendLoad> own_sums() const;
  /// The loads of all routers together, in the order of their changes.
  const fleet::RevisionTable<std::string, fleet::BackendLoad>& totals() const { return totals_; }

 private:
  using Loads = std::map<std::string, fleet::BackendLoad>;  ///< by back end
  static void add(const fleet::BackendLoad& load, fleet::BackendLoad& sum);
  static void subtract(const fleet::BackendLoad& load, fleet::BackendLoad& sum);
  void publish(const std::string& backend);

  std::map<std::string, std::vector<fleet::BackendLoad>> routers_;  ///< by router
  Loads own_;
  std::map<std::string, Loads> peers_;
  std::map<std::string, bool> changed_;  ///< back ends whose own sum has changed
  fleet::RevisionTable<std::string, fleet::BackendLoad> totals_;
};

}  // namespace stoat::control
