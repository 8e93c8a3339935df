/// One control member without its I/O: the replicated log with the state machine on it, the calls that wait
/// for their commands, and the members that ask to be taken in.
#pragma once

#include <map>
#include <optional>
#include <vector>

#include "src/consensus/replica.h"
#include "src/control/member_planner.h"
#include "src/control/state_machine.h"
#include "src/wire/messages.h"

namespace stoat::control {

/// Settings of a control member.
struct ControlOptions {
  consensus::ReplicaOptions replica;
  uint64_t entries_per_snapshot = 20000;
  uint64_t max_learner_lag_entries = 200;  ///< a learner that lags no more than this may be made a voter
  size_t target_voters = 3;                ///< the leader keeps so many voters; see member_planner.h
  PlannerOptions planner;
};

/// The answer to a waiting call.
struct CallAnswer {
  uint64_t token = 0;
  wire::CallStatus status = wire::CallStatus::kDone;
  CommandResult result;
};

/// A snapshot that is due to be written.
struct DueSnapshot {
  consensus::Snapshot snapshot;
  consensus::HardState hard_state;
};

/// See the head of this file. The driver's duty: take_output(), write it, then on_persisted() with the same
/// output, in order.
class ControlCore {
 public:
  ControlCore(const ControlOptions& options, const consensus::RestoredState& restored, uint64_t seed,
              TimePoint now);

  void on_peer(const consensus::Message& message, TimePoint now);
  void tick(TimePoint now);
  /// Proposes a command; its answer comes through take_answers() under `token`.
  void call(uint64_t token, const Command& command, TimePoint now);
  /// Asks for a confirmed read; answered like a call, with an empty result, once this member's state is
  /// current.
  void read(uint64_t token, TimePoint now);
  /// True when this member is to ask the others to be taken in: it is in no list, or hears no leader. The
  /// list that it has may be one that was never committed, and the others then know nothing of it.
  bool wants_to_join() const;
  /// A member that is not in the list asks to be taken in.
  void on_join(const wire::JoinRequest& request, TimePoint now);

  consensus::Output take_output() { return replica_.take_output(); }
  void on_persisted(const consensus::Output& output, TimePoint now);
  std::vector<CallAnswer> take_answers();
  /// A snapshot when enough entries were applied since the last. After writing it the driver calls compact().
  std::optional<DueSnapshot> due_snapshot() const;
  void compact(std::shared_ptr<const std::string> encoded, const consensus::Snapshot& snapshot);
  /// The entries after an index, for rewriting the log behind a snapshot.
  std::vector<consensus::Entry> entries_after(uint64_t index) const;

  const StateMachine& state() const { return state_; }
  const consensus::Replica& replica() const { return replica_; }
  consensus::Replica& replica() { return replica_; }
  uint64_t applied_index() const { return applied_; }
  std::string leader_address() const;

 private:
  struct WaitingCall {
    uint64_t token = 0;
    uint64_t term = 0;
  };
  struct PendingJoin {
    consensus::Member member;
    TimePoint received{0};  ///< time of the latest request
  };
  void apply(const consensus::Entry& entry);
  /// Whether the current member list contains the id.
  bool is_listed(consensus::MemberId id) const;
  void fail_waiting(wire::CallStatus status);
  void keep_members(TimePoint now);

  ControlOptions options_;
  consensus::Replica replica_;
  StateMachine state_;
  uint64_t applied_ = 0;
  bool was_leader_ = false;
  std::map<uint64_t, WaitingCall> waiting_;     ///< by log index
  std::map<uint64_t, uint64_t> waiting_reads_;  ///< read id to token
  uint64_t last_read_id_ = 0;
  std::vector<CallAnswer> answers_;
  std::map<std::string, PendingJoin> joining_;  ///< by member name
};

}  // namespace stoat::control
