/// One control member without its I/O: the replicated log with the state machine on it, the calls that wait
/// for their commands, and the fleet's nodes as soft state.
#pragma once

#include <map>
#include <optional>
#include <set>
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
  Duration node_lease = 5s;            ///< a node that has not polled for so long is gone
  Duration claim_retention = 7200s;    ///< by the wall clock of the members
  uint64_t learner_lag_entries = 200;  ///< a learner that lags no more than this is made a voter
  /// 0: operators replace voters. Else the leader keeps so many voters by itself; see member_planner.h.
  size_t target_voters = 0;
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
  void call(uint64_t token, Command command, int64_t wall_ms, TimePoint now);
  /// Asks for a confirmed read; answered like a call, with an empty result, once this member's state is
  /// current.
  void read(uint64_t token, TimePoint now);
  wire::NodePollAnswer on_poll(const wire::NodePoll& poll, TimePoint now);
  /// A member that is not in the list asks to be taken in.
  void on_join(const wire::JoinRequest& request, TimePoint now);
  /// An operator replaces the voter of a name by the blank member that asked to join under that name.
  consensus::ProposeError replace_member(const std::string& name, TimePoint now);
  void set_leaving(std::vector<std::string> backends) { leaving_ = std::move(backends); }

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
  /// Nodes whose lease runs, with the version each has in force.
  std::vector<wire::Node> live_nodes(TimePoint now) const;
  /// Members that asked to join and are not in yet.
  std::vector<consensus::Member> joining() const;
  int64_t quorum_age_ms(TimePoint now) const;

 private:
  struct WaitingCall {
    uint64_t token = 0;
    uint64_t term = 0;
  };
  struct SeenNode {
    wire::Node node;
    TimePoint seen_at{0};
  };
  void apply(const consensus::Entry& entry);
  void fail_waiting(wire::CallStatus status);
  void promote_learners(TimePoint now);
  void keep_members(TimePoint now);
  void expire_claims(int64_t wall_ms, TimePoint now);

  ControlOptions options_;
  consensus::Replica replica_;
  StateMachine state_;
  uint64_t applied_ = 0;
  bool was_leader_ = false;
  std::map<uint64_t, WaitingCall> waiting_;     ///< by log index
  std::map<uint64_t, uint64_t> waiting_reads_;  ///< read id to token
  uint64_t last_read_id_ = 0;
  std::vector<CallAnswer> answers_;
  std::map<std::string, SeenNode> nodes_;
  std::map<std::string, consensus::Member> joining_;
  std::map<std::string, TimePoint> joining_heard_;  ///< by name
  std::vector<std::string> leaving_;
  TimePoint led_since_{0};
  TimePoint next_expiry_{0};
};

}  // namespace stoat::control
