/// Registry of backends. It is soft state of a control member that heartbeats rebuild; members forward
/// heartbeats to one another. Replicated retirements take precedence over the state in heartbeats.
/// Subscribers receive the changes since the revision that they have.
#pragma once

#include <map>
#include <string>
#include <unordered_map>
#include <vector>

#include "src/common/time.h"
#include "src/fleet/backend_record.h"
#include "src/fleet/revision_table.h"

namespace stoat::fleet {

/// Settings of a registry.
struct RegistryOptions {
  Duration lost_after = 4s;  ///< time without a heartbeat after which a backend counts as lost
  /// Time without a heartbeat after which a backend counts as lost if several routers also report it as
  /// unreachable. By then, one heartbeat is overdue.
  Duration overdue_after = 1400ms;
  Duration forget_after = 30s;  ///< time without a heartbeat after which the backend is removed
};

/// Result of applying a compact heartbeat, which carries only the hash of the id and the sequence.
enum class CompactHeartbeatResult : uint8_t {
  kApplied,
  kStale,    ///< a heartbeat with the same or a higher sequence is known, or the incarnation was replaced
  kUnknown,  ///< the backend is not known, and its full record must be requested
};

/// The hash by which compact heartbeats identify a backend.
uint64_t backend_id_hash(const std::string& id);

/// The registered backends and their states. Each change has a revision, so that subscribers receive only
/// what is new to them.
class BackendRegistry {
 public:
  explicit BackendRegistry(const RegistryOptions& options) : options_(options) {}

  /// Applies a heartbeat. Returns false when it is stale or contradicts the known record.
  bool on_heartbeat(const BackendRecord& record, TimePoint now);
  /// Applies a heartbeat in which nothing but the sequence has changed.
  CompactHeartbeatResult on_compact_heartbeat(uint64_t key, uint64_t sequence, TimePoint now);
  /// Applies a replicated retirement.
  void retire(const std::string& id, BackendState state);
  /// Sets whether a backend is loading new weights.
  void set_loading(const std::string& id, bool loading);
  /// Records the version of a model that a backend was observed to have. Versions never decrease.
  void set_version(const std::string& id, const std::string& model, uint64_t version);
  /// Records that a router could not reach a backend. A single report is not enough to call it lost: the
  /// router itself may be partitioned.
  void note_unreachable(const std::string& id, const std::string& router, TimePoint now);
  /// Marks silent backends as lost and removes those silent for longer. Call a few times a second.
  void expire(TimePoint now);

  /// All known backends, ordered by id.
  std::vector<BackendRecord> records() const;
  const BackendRecord* find(const std::string& id) const;
  /// True when the record's id is known with another service or address: a backend keeps both for as long as
  /// it runs.
  bool contradicts(const BackendRecord& record) const;
  const BackendRecord* find_by_key(uint64_t key) const;
  /// The newest incarnation of a backend, by its self-chosen name.
  const BackendRecord* find_by_name(const std::string& name) const;
  /// The id of the newest incarnation that was known of a backend, also if another backend has its address
  /// now. `name`: self-chosen name, or the id of a known incarnation. Empty: none is known.
  std::string newest_incarnation(const std::string& name) const;
  /// True when a backend other than `id` is known at an address.
  bool address_taken(const std::string& address, const std::string& id) const {
    const auto holder = id_by_address_.find(address);
    return holder != id_by_address_.end() && holder->second != id;
  }
  /// True when a heartbeat of the backend arrived at `since` or later.
  bool has_heartbeat_since(const std::string& id, TimePoint since) const;
  /// All known backends in order of their last change. Sequences are left out because they change with every
  /// heartbeat.
  const RevisionTable<std::string, BackendRecord>& table() const { return table_; }

 private:
  struct TrackedBackend {
    BackendRecord record;
    TimePoint at{0};
    std::map<std::string, TimePoint> unreachable;  ///< by router: when it last failed to reach the backend
  };
  bool is_lost(const TrackedBackend& tracked, TimePoint now) const;
  /// False for a heartbeat of an incarnation older than the newest known one of its backend, and for one that
  /// contradicts the known record.
  bool is_acceptable(const BackendRecord& record) const;
  /// Removes the previous incarnation of a backend when a newer one appears.
  void replace_previous_incarnation(const BackendRecord& record);
  /// Forgets that an incarnation was the newest of its name, so that a backend that was removed can register
  /// again regardless of its start time.
  void forget_incarnation(const std::string& id);
  /// Removes a backend from all tables except `retired_`.
  void drop(const std::string& id);
  /// A backend whose address was claimed by another backend, the claimant, with a heartbeat that was not the
  /// claimant's first. Such a heartbeat may have been delayed for seconds, so only the next heartbeats show
  /// which of the two is alive.
  struct Superseded {
    uint64_t sequence = 0;  ///< of the last heartbeat of the superseded backend
    std::string by;
    TimePoint at{0};
  };
  /// Assigns an address to a newly seen backend and removes the backend that had it.
  void claim_address(const BackendRecord& record, TimePoint now);
  /// Retires the backends that `id` superseded once it has kept sending heartbeats for longer than one
  /// interval.
  void confirm_address(const std::string& id, TimePoint now);
  void publish(const BackendRecord& record);

  RegistryOptions options_;
  std::map<std::string, TrackedBackend> tracked_;
  std::unordered_map<uint64_t, std::string> id_by_key_;  ///< ids in `tracked_`, by backend_id_hash()
  /// Ids in `tracked_`, by address. Without this index, registering N backends would compare each with all
  /// others.
  std::unordered_map<std::string, std::string> id_by_address_;
  std::map<std::string, Superseded> superseded_;
  std::map<std::string, std::string, std::less<>>
      newest_incarnation_;  ///< ids in `tracked_` that report a start time, by backend name
  std::map<std::string, BackendState> retired_;
  RevisionTable<std::string, BackendRecord> table_;
};

}  // namespace stoat::fleet
