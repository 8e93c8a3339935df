/// The caches that this member is assigned to follow. The assignment is updated incrementally: only backends
/// that were added or removed are evaluated, so that the cost depends on the number of changes and not on the
/// size of the fleet. Evaluating all of 10,000 caches ten times a second used a third of a core on a member.
/// Performs no I/O.
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

/// A cache assigned to this member.
struct AssignedCache {
  std::string address;
  bool store = false;
};

/// Maintains the set of caches assigned to this member.
class AssignedCaches {
 public:
  using BackendTable = fleet::RevisionTable<std::string, fleet::BackendRecord>;
  using StoreZones = std::map<std::string, std::string>;  ///< zone of each store, by address

  AssignedCaches(std::string self, topology::Topology topology)
      : self_(std::move(self)), topology_(std::move(topology)) {}

  /// Updates the assignment to the current state of the fleet. Returns true when all caches were
  /// re-evaluated.
  bool update(const BackendTable& backends, const StoreZones& stores, const std::vector<LiveMember>& members,
              TimePoint now);
  /// Ids of the backends removed since the last call. A re-evaluation of all caches clears them.
  std::vector<std::string> take_removed_backends() { return std::exchange(removed_, {}); }
  /// True for any cache of the fleet, whichever member follows it.
  bool contains(const std::string& holder) const { return holders_.count(holder) > 0; }
  /// The caches assigned to this member, by holder: id of a backend, or address of a store.
  const std::map<std::string, AssignedCache>& assigned() const { return assigned_; }
  /// Number of caches evaluated since the start.
  uint64_t evaluations() const { return evaluations_; }

 private:
  /// All caches are re-evaluated at least this often, even if nothing has changed. The owner of this object
  /// then drops what other members reported about backends that are unknown to this member.
  static constexpr Duration kFullEvaluationInterval = 30s;

  void evaluate_all(const BackendTable& backends);
  void evaluate(const std::string& holder, const std::string& address, const std::string& zone, bool store);
  void evaluate_backend(const std::string& id, const fleet::BackendRecord& record);

  std::string self_;
  topology::Topology topology_;
  std::vector<LiveMember> members_;
  StoreZones stores_;
  uint64_t revision_ = 0;  ///< last processed revision of the backend table
  TimePoint last_full_evaluation_{0};
  std::unordered_set<std::string> holders_;  ///< of all caches
  std::vector<std::string> removed_;
  std::map<std::string, AssignedCache> assigned_;  ///< by holder
  uint64_t evaluations_ = 0;
};

}  // namespace stoat::control
