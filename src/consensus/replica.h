/// One member of the replicated log, implementing Raft: elections with pre-vote, replication, check-quorum,
/// linearizable reads, snapshots, single-server membership changes and leadership transfer. Performs no I/O:
/// its inputs are messages and the current time, its result is an Output.
#pragma once

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <vector>

#include "src/common/random.h"
#include "src/common/time.h"
#include "src/consensus/log.h"
#include "src/consensus/message.h"

namespace stoat::consensus {

/// Settings of a replica.
struct ReplicaOptions {
  MemberId id = 0;
  Duration election_timeout = 500ms;  ///< the actual time-out is drawn between one and two times this
  Duration heartbeat_interval = 100ms;
  size_t max_append_entries = 1024;
  size_t max_append_bytes = 1U << 20U;
  size_t max_inflight_appends = 16;
  size_t snapshot_chunk_bytes = 256U << 10U;
};

/// State read from disk at start-up.
struct RestoredState {
  HardState hard_state;
  Snapshot snapshot;  ///< index 0: none
  std::vector<Entry> entries;
};

/// Raft role of a replica.
enum class Role : uint8_t { kFollower, kPreCandidate, kCandidate, kLeader };

/// Work for the driver, in this order: send `send_now`; write `install`, `truncate_from`, `append` and
/// `hard_state` to disk and sync; call persisted(); send `send_after_persist`; load `install` into the state
/// machine and apply `committed`.
struct Output {
  std::vector<Message> send_now;
  std::optional<HardState> hard_state;
  std::optional<Snapshot> install;
  uint64_t truncate_from = 0;  ///< delete entries on disk from this index on; 0: none
  std::vector<Entry> append;
  std::vector<Message> send_after_persist;
  std::vector<Entry> committed;
  std::vector<uint64_t> confirmed_reads;
  bool needs_disk() const { return hard_state || install || truncate_from != 0 || !append.empty(); }
};

/// Why a membership proposal was rejected.
enum class ProposeError : uint8_t {
  kNone,
  kNotLeader,
  kChangePending,
  kInvalidVoterChange,
  kDuplicateMember
};

/// The Raft state machine of one member, driven by receive(), tick() and proposals.
class Replica {
 public:
  Replica(const ReplicaOptions& options, const RestoredState& restored, uint64_t seed, TimePoint now);

  /// Handles a message. Messages addressed to another identity are dropped.
  void receive(const Message& message, TimePoint now);
  /// Drives time-outs and heartbeats. Must be called every few milliseconds.
  void tick(TimePoint now);
  /// Appends a command. Returns its log index, or 0 when this member is not the leader.
  uint64_t propose(std::string payload, TimePoint now);
  /// Proposes a new member list, which may add or remove at most one voter and must keep at least one.
  ProposeError propose_members(const MemberList& members, TimePoint now);
  /// Requests a linearizable read; `read_id` appears in Output::confirmed_reads once a quorum has confirmed
  /// the leader. Returns false when this member is not the leader or has not committed an entry of its term
  /// yet.
  bool request_read(uint64_t read_id, TimePoint now);
  /// Returns the work that has accumulated since the last call.
  Output take_output();
  /// Reports that the log up to `index`, whose entry has the term `term`, is on disk.
  void persisted(uint64_t index, uint64_t term, TimePoint now);
  /// Reports that the state machine has written a snapshot, and removes the log entries that it covers.
  void compact(std::shared_ptr<const std::string> encoded_snapshot, uint64_t index, uint64_t term,
               const MemberList& members);
  /// Transfers leadership before a planned stop: asks the most up-to-date voter to start an election. Returns
  /// false when this member is not the leader or no other voter has the whole log yet.
  bool transfer_leadership(TimePoint now);

  Role role() const { return role_; }
  bool leads() const { return role_ == Role::kLeader; }
  MemberId id() const { return options_.id; }
  MemberId leader() const { return leader_; }
  MemberId voted_for() const { return hard_state_.voted_for; }
  std::vector<Entry> entries_after(uint64_t index) const { return log_.slice(index + 1, SIZE_MAX, SIZE_MAX); }
  uint64_t term() const { return hard_state_.term; }
  uint64_t commit_index() const { return commit_; }
  uint64_t last_index() const { return log_.last_index(); }
  uint64_t snapshot_index() const { return log_.snapshot_index(); }
  uint64_t term_at(uint64_t index) const { return log_.term_at(index); }
  bool holds(uint64_t index) const { return log_.holds(index); }
  const MemberList& members() const { return members_; }
  /// The membership as of the commit index, which is the one that a snapshot must contain.
  MemberList committed_members() const;
  /// When a quorum last confirmed this member as the leader. On a follower: when its leader last sent an
  /// append or a snapshot chunk.
  TimePoint quorum_confirmed_at() const { return quorum_confirmed_at_; }
  /// Leader only: the highest index up to which a member's log is known to match.
  uint64_t match_of(MemberId member) const;
  /// Leader only: when a member last responded.
  TimePoint last_response_of(MemberId member) const;
  /// True on a leader that has committed an entry of its own term, so that its commit index covers everything
  /// that earlier leaders acknowledged.
  bool term_committed() const { return leads() && commit_ >= term_start_index_; }
  /// True when this member counts towards a quorum.
  bool is_voter() const;

 private:
  /// The leader's replication state for one other member.
  struct Progress {
    uint64_t match = 0;
    uint64_t next = 1;
    size_t inflight = 0;
    uint64_t confirmed_round = 0;
    TimePoint last_response{0};
    TimePoint last_sent{0};
    bool probing = false;  ///< searching for the last matching entry, with appends without entries
    bool sending_snapshot = false;
    uint64_t snapshot_offset = 0;
    uint64_t chunk_round = 0;  ///< round in which the chunk at snapshot_offset was sent
  };
  struct PendingRead {
    uint64_t read_id = 0;
    uint64_t index = 0;
    uint64_t round = 0;
  };

  // replica.cc: terms, elections, follower side
  void become_follower(uint64_t term, MemberId leader, TimePoint now);
  void start_election(bool pre_vote, bool forced, TimePoint now);
  void become_leader(TimePoint now);
  void reset_election_deadline(TimePoint now);
  bool log_is_current(const Message& message) const;
  void on_vote_request(const Message& message, TimePoint now);
  void on_vote_response(const Message& message, TimePoint now);
  void on_append(const Message& message, TimePoint now);
  void on_snapshot_chunk(const Message& message, TimePoint now);
  void install_snapshot(TimePoint now);
  void respond_to_append(const Message& request, bool granted, uint64_t index);
  void store_entries(const Message& message);
  void append_entry(Entry entry);
  void truncate_log(uint64_t index);
  void advance_commit_to(uint64_t index);
  void set_term(uint64_t term, MemberId voted_for);
  Message make_message(MessageKind kind, MemberId to) const;

  // replica_leader.cc: leader side
  void on_append_response(const Message& message, TimePoint now);
  void on_snapshot_response(const Message& message, TimePoint now);
  void send_append(MemberId member, Progress& progress, bool heartbeat, TimePoint now);
  /// A snapshot message for the position that the transfer has reached, without bytes.
  Message make_snapshot_message(MemberId member, Progress& progress) const;
  void send_snapshot_chunk(MemberId member, Progress& progress, TimePoint now);
  /// Sends a heartbeat to a follower that is sent a snapshot. The response tells whether a chunk was lost.
  void send_snapshot_probe(MemberId member, Progress& progress, TimePoint now);
  void broadcast_append(TimePoint now);
  void heartbeat(TimePoint now);
  void update_commit();
  void confirm_reads();
  void check_quorum(TimePoint now);
  void adjust_progress(TimePoint now);
  size_t quorum_size() const;

  void set_members(const MemberList& members);
  void recompute_members();

  ReplicaOptions options_;
  Random random_;
  HardState hard_state_;
  Log log_;
  MemberList members_;
  MemberList snapshot_members_;
  std::shared_ptr<const std::string> encoded_snapshot_;
  uint64_t commit_ = 0;
  uint64_t persisted_index_ = 0;
  Role role_ = Role::kFollower;
  MemberId leader_ = 0;
  TimePoint election_deadline_{0};
  TimePoint last_leader_contact_{Duration::min() / 2};
  TimePoint quorum_confirmed_at_{Duration::min() / 2};
  std::set<MemberId> votes_;
  std::string snapshot_buffer_;
  uint64_t snapshot_buffer_term_ = 0;
  uint64_t snapshot_buffer_index_ = 0;  ///< index of the snapshot being received

  std::map<MemberId, Progress> progress_;
  std::vector<PendingRead> reads_;
  uint64_t round_ = 0;
  std::map<uint64_t, TimePoint> round_started_at_;
  TimePoint next_heartbeat_{0};
  uint64_t term_start_index_ = 0;

  Output output_;
};

}  // namespace stoat::consensus
