#include "src/consensus/replica.h"

#include <algorithm>

#include "src/wire/codec.h"

namespace stoat::consensus {

Replica::Replica(const ReplicaOptions& options, const RestoredState& restored, uint64_t seed, TimePoint now)
    : options_(options),
      random_(seed),
      hard_state_(restored.hard_state),
      log_(restored.snapshot.index, restored.snapshot.term, restored.entries),
      snapshot_members_(restored.snapshot.members),
      commit_(restored.snapshot.index),
      persisted_index_(log_.last_index()) {
  if (restored.snapshot.index > 0) {
    encoded_snapshot_ = std::make_shared<const std::string>(wire::encode(restored.snapshot));
  }
  recompute_members();
  reset_election_deadline(now);
}

Message Replica::make_message(MessageKind kind, MemberId to) const {
  Message message;
  message.kind = kind;
  message.from = options_.id;
  message.to = to;
  message.term = hard_state_.term;
  return message;
}

bool Replica::is_voter() const {
  return std::any_of(members_.members.begin(), members_.members.end(),
                     [this](const Member& member) { return member.id == options_.id && member.voter; });
}

size_t Replica::quorum_size() const {
  const auto voters = std::count_if(members_.members.begin(), members_.members.end(),
                                    [](const Member& member) { return member.voter; });
  return static_cast<size_t>(voters) / 2 + 1;
}

void Replica::set_members(const MemberList& members) { members_ = members; }

void Replica::recompute_members() {
  members_ = snapshot_members_;
  for (uint64_t index = log_.last_index(); index > log_.snapshot_index(); --index) {
    const Entry& entry = log_.at(index);
    if (entry.kind != EntryKind::kMembers) {
      continue;
    }
    if (auto list = wire::decode<MemberList>(entry.payload)) {
      members_ = *list;
    }
    return;
  }
}

MemberList Replica::committed_members() const {
  for (uint64_t index = commit_; index > log_.snapshot_index(); --index) {
    const Entry& entry = log_.at(index);
    if (entry.kind == EntryKind::kMembers) {
      auto list = wire::decode<MemberList>(entry.payload);
      return list ? *list : snapshot_members_;
    }
  }
  return snapshot_members_;
}

void Replica::reset_election_deadline(TimePoint now) {
  const int64_t base = options_.election_timeout.count();
  election_deadline_ = now + Duration(random_.between(base, 2 * base));
}

void Replica::set_term(uint64_t term, MemberId voted_for) {
  const HardState next{term, voted_for};
  if (next == hard_state_) {
    return;
  }
  hard_state_ = next;
  output_.hard_state = next;
}

void Replica::become_follower(uint64_t term, MemberId leader, TimePoint now) {
  if (term > hard_state_.term) {
    set_term(term, 0);
  }
  role_ = Role::kFollower;
  leader_ = leader;
  progress_.clear();
  reads_.clear();
  votes_.clear();
  reset_election_deadline(now);
}

void Replica::tick(TimePoint now) {
  if (role_ == Role::kLeader) {
    check_quorum(now);
    if (role_ == Role::kLeader && now >= next_heartbeat_) {
      heartbeat(now);
    }
    return;
  }
  if (now < election_deadline_) {
    return;
  }
  leader_ = 0;
  reset_election_deadline(now);
  if (is_voter()) {
    start_election(true, false, now);
  }
}

void Replica::start_election(bool pre_vote, bool forced, TimePoint now) {
  role_ = pre_vote ? Role::kPreCandidate : Role::kCandidate;
  leader_ = 0;
  if (!pre_vote) {
    set_term(hard_state_.term + 1, options_.id);
  }
  reset_election_deadline(now);
  votes_ = {options_.id};
  if (votes_.size() >= quorum_size()) {
    if (pre_vote) {
      start_election(false, forced, now);
    } else {
      become_leader(now);
    }
    return;
  }
  for (const Member& member : members_.members) {
    if (!member.voter || member.id == options_.id) {
      continue;
    }
    Message message = make_message(pre_vote ? MessageKind::kPreVote : MessageKind::kVote, member.id);
    message.term = pre_vote ? hard_state_.term + 1 : hard_state_.term;
    message.log_index = log_.last_index();
    message.log_term = log_.last_term();
    message.granted = forced;
    output_.send_after_persist.push_back(message);
  }
}

bool Replica::log_is_current(const Message& message) const {
  if (message.log_term != log_.last_term()) {
    return message.log_term > log_.last_term();
  }
  return message.log_index >= log_.last_index();
}

void Replica::receive(const Message& message, TimePoint now) {
  if (message.to != options_.id) {
    return;
  }
  const bool is_vote_request = message.kind == MessageKind::kPreVote || message.kind == MessageKind::kVote;
  const bool is_pre_vote_response = message.kind == MessageKind::kPreVoteResponse;
  if (message.term > hard_state_.term && !is_vote_request && !(is_pre_vote_response && message.granted)) {
    become_follower(message.term, 0, now);
  }
  switch (message.kind) {
    case MessageKind::kPreVote:
    case MessageKind::kVote:
      on_vote_request(message, now);
      break;
    case MessageKind::kPreVoteResponse:
    case MessageKind::kVoteResponse:
      on_vote_response(message, now);
      break;
    case MessageKind::kAppend:
      on_append(message, now);
      break;
    case MessageKind::kAppendResponse:
      on_append_response(message, now);
      break;
    case MessageKind::kSnapshotChunk:
      on_snapshot_chunk(message, now);
      break;
    case MessageKind::kSnapshotResponse:
      on_snapshot_response(message, now);
      break;
    case MessageKind::kTimeoutNow:
      if (message.term == hard_state_.term && is_voter()) {
        start_election(false, true, now);
      }
      break;
  }
}

void Replica::on_vote_request(const Message& message, TimePoint now) {
  const bool pre_vote = message.kind == MessageKind::kPreVote;
  // Vote requests are ignored while a leader is in contact, so that a member that rejoins after a network
  // partition cannot depose it.
  const bool has_live_leader =
      role_ == Role::kLeader || (leader_ != 0 && now - last_leader_contact_ < options_.election_timeout);
  const bool ignored = has_live_leader && !message.granted;
  Message response =
      make_message(pre_vote ? MessageKind::kPreVoteResponse : MessageKind::kVoteResponse, message.from);
  if (ignored || message.term < hard_state_.term) {
    response.granted = false;
    output_.send_after_persist.push_back(response);
    return;
  }
  if (pre_vote) {
    response.granted = message.term > hard_state_.term && log_is_current(message);
    response.term = response.granted ? message.term : hard_state_.term;
    output_.send_after_persist.push_back(response);
    return;
  }
  if (message.term > hard_state_.term) {
    become_follower(message.term, 0, now);
  }
  const bool free_to_vote = hard_state_.voted_for == 0 || hard_state_.voted_for == message.from;
  response.granted = free_to_vote && log_is_current(message);
  if (response.granted) {
    set_term(hard_state_.term, message.from);
    reset_election_deadline(now);
  }
  response.term = hard_state_.term;
  output_.send_after_persist.push_back(response);
}

void Replica::on_vote_response(const Message& message, TimePoint now) {
  const bool pre_vote = message.kind == MessageKind::kPreVoteResponse;
  const Role expected_role = pre_vote ? Role::kPreCandidate : Role::kCandidate;
  const uint64_t expected_term = pre_vote ? hard_state_.term + 1 : hard_state_.term;
  if (role_ != expected_role || !message.granted || message.term != expected_term) {
    return;
  }
  const bool from_voter =
      std::any_of(members_.members.begin(), members_.members.end(),
                  [&](const Member& member) { return member.id == message.from && member.voter; });
  if (!from_voter) {
    return;
  }
  votes_.insert(message.from);
  if (votes_.size() < quorum_size()) {
    return;
  }
  if (pre_vote) {
    start_election(false, false, now);
  } else {
    become_leader(now);
  }
}

void Replica::respond_to_append(const Message& request, bool granted, uint64_t index) {
  Message response = make_message(MessageKind::kAppendResponse, request.from);
  response.granted = granted;
  response.log_index = index;
  response.round = request.round;
  response.offset = request.log_index;
  output_.send_after_persist.push_back(response);
}

void Replica::on_append(const Message& message, TimePoint now) {
  if (message.term < hard_state_.term) {
    respond_to_append(message, false, 0);
    return;
  }
  if (role_ != Role::kFollower || leader_ != message.from) {
    become_follower(message.term, message.from, now);
  }
  last_leader_contact_ = now;
  quorum_confirmed_at_ = now;
  reset_election_deadline(now);
  if (message.log_index < log_.snapshot_index()) {
    // Everything up to the snapshot is committed and therefore matches.
    respond_to_append(message, true, log_.snapshot_index());
    return;
  }
  if (!log_.holds(message.log_index) || log_.term_at(message.log_index) != message.log_term) {
    const uint64_t hint = std::min(log_.last_index(), message.log_index == 0 ? 0 : message.log_index - 1);
    respond_to_append(message, false, std::max(hint, log_.snapshot_index()));
    return;
  }
  store_entries(message);
  const uint64_t match = message.log_index + message.entries.size();
  advance_commit_to(std::min(message.commit, match));
  respond_to_append(message, true, match);
}

void Replica::store_entries(const Message& message) {
  for (const Entry& entry : message.entries) {
    if (log_.holds(entry.index)) {
      if (entry.index <= log_.snapshot_index() || log_.term_at(entry.index) == entry.term) {
        continue;
      }
      truncate_log(entry.index);
    }
    append_entry(entry);
  }
}

void Replica::truncate_log(uint64_t index) {
  log_.truncate_from(index);
  persisted_index_ = std::min(persisted_index_, index - 1);
  std::erase_if(output_.append, [index](const Entry& entry) { return entry.index >= index; });
  output_.truncate_from = output_.truncate_from == 0 ? index : std::min(output_.truncate_from, index);
  recompute_members();
}

void Replica::append_entry(Entry entry) {
  if (entry.kind == EntryKind::kMembers) {
    if (auto list = wire::decode<MemberList>(entry.payload)) {
      set_members(*list);
    }
  }
  output_.append.push_back(entry);
  log_.append(std::move(entry));
}

void Replica::advance_commit_to(uint64_t index) {
  while (commit_ < std::min(index, log_.last_index())) {
    ++commit_;
    output_.committed.push_back(log_.at(commit_));
  }
}

void Replica::on_snapshot_chunk(const Message& message, TimePoint now) {
  if (message.term < hard_state_.term) {
    respond_to_append(message, false, 0);
    return;
  }
  if (role_ != Role::kFollower || leader_ != message.from) {
    become_follower(message.term, message.from, now);
  }
  last_leader_contact_ = now;
  quorum_confirmed_at_ = now;
  reset_election_deadline(now);
  if (snapshot_buffer_index_ != message.log_index || snapshot_buffer_term_ != message.term) {
    snapshot_buffer_.clear();
    snapshot_buffer_term_ = message.term;
    snapshot_buffer_index_ = message.log_index;
  }
  if (message.offset == snapshot_buffer_.size()) {
    snapshot_buffer_ += message.bytes;
    if (message.last_chunk) {
      install_snapshot(now);
    }
  }
  Message response = make_message(MessageKind::kSnapshotResponse, message.from);
  response.round = message.round;
  response.offset = snapshot_buffer_.size();
  response.log_term = message.log_index;
  // Committed entries match the leader's log, even beyond the snapshot that was sent.
  response.log_index = commit_;
  output_.send_after_persist.push_back(response);
}

void Replica::install_snapshot(TimePoint) {
  auto snapshot = wire::decode<Snapshot>(snapshot_buffer_);
  if (!snapshot || snapshot->index <= commit_) {
    snapshot_buffer_.clear();
    return;
  }
  if (log_.holds(snapshot->index) && log_.term_at(snapshot->index) == snapshot->term) {
    // The log already contains the snapshot; entries after it may have been acknowledged and must be kept.
    snapshot_buffer_.clear();
    advance_commit_to(snapshot->index);
    return;
  }
  encoded_snapshot_ = std::make_shared<const std::string>(std::move(snapshot_buffer_));
  snapshot_buffer_.clear();
  log_.reset_to(snapshot->index, snapshot->term);
  commit_ = snapshot->index;
  persisted_index_ = snapshot->index;
  snapshot_members_ = snapshot->members;
  set_members(snapshot->members);
  output_.append.clear();
  output_.committed.clear();
  output_.truncate_from = 0;
  output_.install = std::move(*snapshot);
}

void Replica::compact(std::shared_ptr<const std::string> encoded_snapshot, uint64_t index, uint64_t term,
                      const MemberList& members) {
  if (index <= log_.snapshot_index() || index > commit_) {
    return;
  }
  encoded_snapshot_ = std::move(encoded_snapshot);
  snapshot_members_ = members;
  log_.compact_to(index, term);
  for (auto& [member, progress] : progress_) {
    progress.snapshot_offset = 0;
  }
}

Output Replica::take_output() {
  Output output = std::move(output_);
  output_ = Output();
  return output;
}

}  // namespace stoat::consensus
