/// Which caches of the fleet this member is to follow. Keeps the choice, and looks anew only at back ends
/// that have come or gone, so that what it costs follows the changes of the fleet and not its size: to choose
/// among 10,000 caches anew ten times a second took a member a third of a core. Free of I/O.
#pragma once

#include <map>
#include <string>
#include <unordered_set>
#include <utility>
#include <vector>

#include "src/common/time.h"
#include "src/control/cache_assignment.h"
#include "src/fleet/backend_record.h"
#include "src/fleet/revision_table.h"

namespace stoat::control {

/// A cache that this member is to follow.
struct CacheToFollow {
  std::string address;
  bool store = false;
};

/// See the head of this file.
class AssignedCaches {
 public:
  using BackendTable = fleet::RevisionTable<std::string, fleet::BackendRecord>;
  using StoreZones = std::map<std::string, std::string>;  ///< zones of stores, by address

  AssignedCaches(std::string self, topology::Topology topology)
      : self_(std::move(self)), topology_(std::move(topology)) {}

  /// Takes the present state of the fleet. Returns true when all caches were looked at.
  bool update(const BackendTable& backends, const StoreZones& stores, const std::vector<LiveMember>& members,
              TimePoint now);
  /// Back ends that have gone since the last call.
  std::vector<std::string> take_removed_backends() { return std::exchange(gone_, {}); }
  /// True for a cache of the fleet, whoever is to follow it.
  bool knows(const std::string& holder) const { return known_.count(holder) > 0; }
  /// By holder: id of a back end, or address of a store.
  const std::map<std::string, CacheToFollow>& mine() const { return mine_; }
  /// Choices made since the start.
  uint64_t looked_at() const { return looked_at_; }

 private:
  /// A choice that nothing has changed is made anew after so long all the same: what other members told of
  /// back ends that never came to this one is then dropped.
  static constexpr Duration kFullLook = 30s;

  void choose_all(const BackendTable& backends);
  void consider(const std::string& holder, const std::string& address, const std::string& zone, bool store);
  void consider_backend(const std::string& id, const fleet::BackendRecord& record);

  std::string self_;
  topology::Topology topology_;
  std::vector<LiveMember> members_;
  StoreZones stores_;
  uint64_t revision_ = 0;  ///< of the back ends' table
  TimePoint chosen_all_at_{0};
  std::unordered_set<std::string> known_;  ///< all holders
  std::vector<std::string> gone_;
  std::map<std::string, CacheToFollow> mine_;  ///< by holder
  uint64_t looked_at_ = 0;
};

}  // namespace stoat::control
