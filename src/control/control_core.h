/// A control member without its I/O: the replicated log with its state machine, the calls that wait for their
/// commands to be committed, and the members that request to join.
#pragma once

#include <map>
#include <optional>
#include <vector>

#include "src/consensus/replica.h"
#include "src/control/member_planner.h"
#include "src/control/state_machine.h"
#include "src/wire/messages.h"

namespace stoat::control {

/// Settings of a control member's replicated log.
struct ControlOptions {
  consensus::ReplicaOptions replica;
  uint64_t entries_per_snapshot = 20000;
  /// A snapshot is also due once the applied entries after the last one take this many bytes, and several
  /// times as many as that snapshot.
  uint64_t min_log_bytes_per_snapshot = 4U << 20U;
  uint64_t max_learner_lag_entries = 200;  ///< maximum lag of a learner that may become a voter
  size_t target_voters = 3;  ///< number of voters that the leader maintains; see member_planner.h
  MembershipOptions planner;
};

/// The answer to propose_command() or read().
struct CallAnswer {
  uint64_t token = 0;
  wire::CallStatus status = wire::CallStatus::kDone;
  CommandResult result;
};

/// A log entry or snapshot that could not be decoded.
struct UnreadableRecord {
  const char* kind = "";        ///< "entry" or "snapshot"
  uint64_t index = 0;           ///< of the entry, or of the last entry that the snapshot covers
  std::optional<uint32_t> tag;  ///< of the command
  size_t bytes = 0;
};

/// A snapshot to be written to disk.
struct DueSnapshot {
  consensus::Snapshot snapshot;
  consensus::HardState hard_state;
};

/// Connects the replica to the state machine. The driver calls take_output(), writes the output to disk, and
/// then calls on_persisted() with the same output, in order.
class ControlCore {
 public:
  ControlCore(const ControlOptions& options, const consensus::RestoredState& restored, uint64_t seed,
              TimePoint now);

  void on_peer_message(const consensus::Message& message, TimePoint now);
  void tick(TimePoint now);
  /// Proposes a command; its answer is returned by take_answers() under `token`.
  void propose_command(uint64_t token, const Command& command, TimePoint now);
  /// Starts a confirmed read. It is answered like propose_command(), with an empty result, once this
  /// member's state is current.
  void read(uint64_t token, TimePoint now);
  /// True when this member should request to join: it is not in its own copy of the member list, or it knows
  /// no leader. In the second case its copy may never have been committed, so that the other members do not
  /// know this member.
  bool wants_to_join() const;
  /// Handles a join request of another member. Requests of listed members are ignored.
  void on_join(const wire::JoinRequest& request, TimePoint now);

  consensus::Output take_output() { return replica_.take_output(); }
  void on_persisted(const consensus::Output& output, TimePoint now);
  std::vector<CallAnswer> take_answers();
  /// A snapshot when enough entries, or bytes of them, were applied since the last one, else nullopt. After
  /// writing it the driver calls compact().
  std::optional<DueSnapshot> due_snapshot() const;
  void compact(std::shared_ptr<const std::string> encoded, const consensus::Snapshot& snapshot);
  /// The entries after `index`, for rewriting the log behind a snapshot.
  std::vector<consensus::Entry> entries_after(uint64_t index) const;

  /// The record that could not be decoded. From then on nothing is applied and no snapshot is due.
  const std::optional<UnreadableRecord>& unreadable_record() const { return unreadable_; }

  const StateMachine& state() const { return state_; }
  const consensus::Replica& replica() const { return replica_; }
  consensus::Replica& replica() { return replica_; }
  uint64_t applied_index() const { return applied_index_; }
  std::string leader_address() const;

 private:
  struct PendingCall {
    uint64_t token = 0;
    uint64_t term = 0;
  };
  struct PendingJoin {
    consensus::Member member;
    TimePoint received{0};  ///< time of the latest request
  };
  void apply(const consensus::Entry& entry);
  void load_state(uint64_t index, const std::string& bytes);
  /// True if a snapshot has to replace the log, which has many entries or bytes.
  bool log_is_long() const;
  /// Whether the current member list contains the id.
  bool is_listed(consensus::MemberId id) const;
  void fail_pending(wire::CallStatus status);
  void update_members(TimePoint now);

  ControlOptions options_;
  consensus::Replica replica_;
  StateMachine state_;
  uint64_t applied_index_ = 0;
  uint64_t applied_bytes_ = 0;   ///< of the entries that were applied after the last snapshot
  uint64_t snapshot_bytes_ = 0;  ///< size of the last snapshot
  bool was_leader_ = false;
  std::map<uint64_t, PendingCall> pending_calls_;  ///< by log index
  std::map<uint64_t, uint64_t> pending_reads_;     ///< read id to token
  uint64_t last_read_id_ = 0;
  std::vector<CallAnswer> answers_;
  std::optional<UnreadableRecord> unreadable_;
  std::map<std::string, PendingJoin> pending_joins_;  ///< by member name
};

}  // namespace stoat::control
