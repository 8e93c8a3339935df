/// The back ends that have registered, as soft state of a control member: heartbeats rebuild it, members pass
/// heartbeats on to one another, and the replicated retirements go before everything that a heartbeat says.
/// Those who follow it are told the differences since the revision that they have.
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
  Duration lost_after = 4s;  ///< silence after which a back end counts as lost
  /// Silence after which it counts as lost when routers can't reach it either: one heartbeat is overdue.
  Duration overdue_after = 1400ms;
  Duration forget_after = 30s;  ///< silence after which it is forgotten
};

/// What became of a mark that a back end lives.
enum class CompactHeartbeatResult : uint8_t {
  kTaken,
  kLate,     ///< a later heartbeat is known
  kUnknown,  ///< no such back end is known: the mark alone does not tell what it is
};

/// The key under which marks name a back end.
uint64_t backend_id_hash(const std::string& id);

/// See the head of this file.
class BackendRegistry {
 public:
  explicit BackendRegistry(const RegistryOptions& options) : options_(options) {}

  /// Takes a heartbeat. Returns true when it is newer than what was known.
  bool on_heartbeat(const BackendRecord& record, TimePoint now);
  /// Takes a heartbeat that tells nothing new but its sequence.
  CompactHeartbeatResult on_compact_heartbeat(uint64_t key, uint64_t sequence, TimePoint now);
  /// Applies a replicated retirement.
  void retire(const std::string& id, BackendState state);
  /// Marks back ends whose new weights are being loaded, or no longer are.
  void set_loading(const std::string& id, bool loading);
  /// Notes the version of a model that a back end was seen to have.
  void set_version(const std::string& id, const std::string& model, uint64_t version);
  /// A router could not reach a back end. One alone proves nothing: the router itself may be cut off.
  void note_unreachable(const std::string& id, const std::string& router, TimePoint now);
  /// Marks lost back ends and forgets old ones. To be called a few times a second.
  void expire(TimePoint now);

  /// All that is known, by id.
  std::vector<BackendRecord> records() const;
  const BackendRecord* find(const std::string& id) const;
  /// True when another service or address is known under the record's id: a back end keeps both for as long
  /// as it runs.
  bool contradicts(const BackendRecord& record) const;
  const BackendRecord* find_by_key(uint64_t key) const;
  /// The newest incarnation of a back end, by the name that it gives itself.
  const BackendRecord* find_by_name(const std::string& name) const;
  /// True when another back end than `id` is known at an address.
  bool address_taken(const std::string& address, const std::string& id) const {
    const auto holder = at_address_.find(address);
    return holder != at_address_.end() && holder->second != id;
  }
  /// True when a heartbeat of it came no longer ago than `since`.
  bool has_heartbeat_since(const std::string& id, TimePoint since) const;
  /// The same with the order of the changes. Sequences are left out: they change with every heartbeat.
  const RevisionTable<std::string, BackendRecord>& table() const { return table_; }

 private:
  struct Seen {
    BackendRecord record;
    TimePoint at{0};
    std::map<std::string, TimePoint> unreachable;  ///< by router: when it last could not reach the back end
  };
  bool lost(const Seen& seen, TimePoint now) const;
  /// False for a heartbeat of an incarnation before the newest one of its back end, and for one that
  /// contradicts what is known.
  bool credible(const BackendRecord& record) const;
  /// Lets the newest incarnation of a back end take the place of the one before.
  void replace_former(const BackendRecord& record);
  /// A back end that is forgotten may be taken for new again, whenever it started.
  void forget_name(const std::string& id);
  /// Drops a back end from all tables but the memory of those that have ended.
  void drop(const std::string& id);
  /// A back end whose address another one has taken, not with the first heartbeat of its life. Which of the
  /// two lives is known from their next heartbeats: this one may have been on its way for seconds.
  struct Superseded {
    uint64_t sequence = 0;  ///< of its last heartbeat
    std::string by;
    TimePoint at{0};
  };
  /// Lets a back end take its address from whoever has it.
  void take_address(const BackendRecord& record, TimePoint now);
  /// A back end that has lived on for longer than a heartbeat is the only one at its address for good.
  void settle_address(const std::string& id, TimePoint now);
  void publish(const BackendRecord& record);

  RegistryOptions options_;
  std::map<std::string, Seen> seen_;
  std::unordered_map<uint64_t, std::string> ids_;  ///< of those in `seen_`, by backend_id_hash()
  /// The same, by address. Without it each of N back ends that register was compared with all others.
  std::unordered_map<std::string, std::string> at_address_;
  std::map<std::string, Superseded> superseded_;
  std::map<std::string, std::string, std::less<>>
      newest_;  ///< id of those in `seen_` that tell their start, by name
  std::map<std::string, BackendState> retired_;
  RevisionTable<std::string, BackendRecord> table_;
};

}  // namespace stoat::fleet
