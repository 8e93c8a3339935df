// Leader side of Replica: replication, commitment, linearizable reads, membership and leadership transfer.
#include <algorithm>
#include <utility>

#include "src/consensus/replica.h"
#include "src/wire/codec.h"

namespace stoat::consensus {

void Replica::become_leader(TimePoint now) {
  role_ = Role::kLeader;
  leader_ = options_.id;
  progress_.clear();
  reads_.clear();
  round_started_at_.clear();
  // Committing an entry of the new term also commits the entries of earlier terms.
  Entry entry;
  entry.index = log_.last_index() + 1;
  entry.term = hard_state_.term;
  term_start_index_ = entry.index;
  append_entry(std::move(entry));
  adjust_progress(now);
  heartbeat(now);
}

void Replica::adjust_progress(TimePoint now) {
  std::map<MemberId, Progress> adjusted;
  for (const Member& member : members_.members) {
    if (member.id == options_.id) {
      continue;
    }
    const auto found = progress_.find(member.id);
    if (found != progress_.end()) {
      adjusted[member.id] = found->second;
      continue;
    }
    Progress fresh;
    fresh.next = log_.last_index() + 1;
    fresh.last_response = now;
    adjusted[member.id] = fresh;
  }
  progress_ = std::move(adjusted);
}

uint64_t Replica::propose(std::string payload, TimePoint now) {
  if (role_ != Role::kLeader) {
    return 0;
  }
  Entry entry;
  entry.index = log_.last_index() + 1;
  entry.term = hard_state_.term;
  entry.kind = EntryKind::kCommand;
  entry.payload = std::move(payload);
  const uint64_t index = entry.index;
  append_entry(std::move(entry));
  broadcast_append(now);
  return index;
}

ProposeError Replica::propose_members(const MemberList& members, TimePoint now) {
  if (role_ != Role::kLeader || commit_ < term_start_index_) {
    return ProposeError::kNotLeader;
  }
  for (uint64_t index = commit_ + 1; index <= log_.last_index(); ++index) {
    if (log_.at(index).kind == EntryKind::kMembers) {
      return ProposeError::kChangePending;
    }
  }
  std::set<MemberId> before;
  std::set<MemberId> after;
  std::set<MemberId> all;
  for (const Member& member : members.members) {
    if (!all.insert(member.id).second) {
      return ProposeError::kDuplicateMember;
    }
  }
  for (const Member& member : members_.members) {
    if (member.voter) {
      before.insert(member.id);
    }
  }
  for (const Member& member : members.members) {
    if (member.voter) {
      after.insert(member.id);
    }
  }
  std::vector<MemberId> changed;
  std::set_symmetric_difference(before.begin(), before.end(), after.begin(), after.end(),
                                std::back_inserter(changed));
  if (changed.size() > 1 || after.empty()) {
    return ProposeError::kInvalidVoterChange;
  }
  Entry entry;
  entry.index = log_.last_index() + 1;
  entry.term = hard_state_.term;
  entry.kind = EntryKind::kMembers;
  entry.payload = wire::encode(members);
  append_entry(std::move(entry));
  adjust_progress(now);
  broadcast_append(now);
  return ProposeError::kNone;
}

void Replica::send_append(MemberId member, Progress& progress, bool heartbeat, TimePoint now) {
  if (progress.next <= log_.snapshot_index() && encoded_snapshot_ != nullptr) {
    if (!progress.sending_snapshot) {
      progress.sending_snapshot = true;
      send_snapshot_chunk(member, progress, now);
    } else if (heartbeat) {
      send_snapshot_probe(member, progress, now);
    }
    return;
  }
  if (progress.sending_snapshot) {
    // A late response to an earlier append has shown that the follower needs no snapshot.
    progress.sending_snapshot = false;
    progress.snapshot_offset = 0;
    progress.inflight = 0;
  }
  if (!heartbeat && progress.inflight >= options_.max_inflight_appends) {
    return;
  }
  Message message = make_message(MessageKind::kAppend, member);
  message.log_index = progress.next - 1;
  message.log_term = log_.term_at(progress.next - 1);
  message.commit = commit_;
  message.round = round_;
  if (!progress.probing) {
    message.entries = log_.slice(progress.next, options_.max_append_entries, options_.max_append_bytes);
  }
  progress.next += message.entries.size();
  progress.inflight += message.entries.empty() ? 0 : 1;
  progress.last_sent = now;
  output_.send_now.push_back(std::move(message));
}

Message Replica::make_snapshot_message(MemberId member, Progress& progress) const {
  Message message = make_message(MessageKind::kSnapshotChunk, member);
  if (progress.snapshot_offset > encoded_snapshot_->size()) {
    progress.snapshot_offset = 0;
  }
  message.round = round_;
  message.log_index = log_.snapshot_index();
  message.offset = progress.snapshot_offset;
  return message;
}

void Replica::send_snapshot_probe(MemberId member, Progress& progress, TimePoint now) {
  progress.last_sent = now;
  output_.send_now.push_back(make_snapshot_message(member, progress));
}

void Replica::send_snapshot_chunk(MemberId member, Progress& progress, TimePoint now) {
  Message message = make_snapshot_message(member, progress);
  progress.chunk_round = round_;
  message.bytes = encoded_snapshot_->substr(progress.snapshot_offset, options_.snapshot_chunk_bytes);
  message.last_chunk = progress.snapshot_offset + message.bytes.size() == encoded_snapshot_->size();
  progress.last_sent = now;
  output_.send_now.push_back(std::move(message));
}

void Replica::on_snapshot_response(const Message& message, TimePoint now) {
  const auto found = progress_.find(message.from);
  if (role_ != Role::kLeader || message.term != hard_state_.term || found == progress_.end()) {
    return;
  }
  Progress& progress = found->second;
  progress.last_response = now;
  progress.confirmed_round = std::max(progress.confirmed_round, message.round);
  confirm_reads();
  if (!progress.sending_snapshot) {
    return;
  }
  if (message.log_index >= log_.snapshot_index() || message.log_index >= progress.next) {
    progress.sending_snapshot = false;
    progress.snapshot_offset = 0;
    progress.inflight = 0;
    progress.match = std::max(progress.match, message.log_index);
    progress.next = progress.match + 1;
    send_append(message.from, progress, false, now);
    return;
  }
  if (message.log_term != log_.snapshot_index()) {
    return;  // the response is for a snapshot that has since been replaced
  }
  // Only a response that advances the transfer, or that answers a probe sent after the chunk, triggers a
  // chunk. If every response did, a message duplicated by the network would be duplicated for ever.
  const bool advances = message.offset > progress.snapshot_offset;
  const bool chunk_was_lost = message.round > progress.chunk_round;
  if (advances || chunk_was_lost) {
    progress.snapshot_offset = message.offset;
    send_snapshot_chunk(message.from, progress, now);
  }
}

void Replica::broadcast_append(TimePoint now) {
  for (auto& [member, progress] : progress_) {
    send_append(member, progress, false, now);
  }
  update_commit();
}

void Replica::heartbeat(TimePoint now) {
  ++round_;
  round_started_at_[round_] = now;
  next_heartbeat_ = now + options_.heartbeat_interval;
  // A follower that has lost appends rejects the next heartbeat, which follows them. Without a response they
  // may still be under way, and are not sent again.
  for (auto& [member, progress] : progress_) {
    send_append(member, progress, true, now);
  }
  update_commit();
  confirm_reads();
}

void Replica::on_append_response(const Message& message, TimePoint now) {
  const auto found = progress_.find(message.from);
  if (role_ != Role::kLeader || message.term != hard_state_.term || found == progress_.end()) {
    return;
  }
  Progress& progress = found->second;
  progress.last_response = now;
  progress.inflight -= progress.inflight > 0 ? 1 : 0;
  progress.confirmed_round = std::max(progress.confirmed_round, message.round);
  confirm_reads();
  // As with snapshots, a response without new information triggers no message.
  if (message.granted) {
    const bool found_match = std::exchange(progress.probing, false);
    if (message.log_index <= progress.match && !found_match) {
      return;
    }
    progress.match = std::max(progress.match, message.log_index);
    progress.next = std::max(found_match ? 0 : progress.next, progress.match + 1);
    update_commit();
  } else {
    const bool stale =
        message.offset <= progress.match || (progress.probing && message.offset + 1 != progress.next);
    if (stale) {
      return;
    }
    progress.next = std::max(progress.match, std::min(message.offset - 1, message.log_index)) + 1;
    progress.probing = true;
    progress.inflight = 0;
  }
  if (progress.next <= log_.last_index()) {
    send_append(message.from, progress, false, now);
  }
}

void Replica::persisted(uint64_t index, uint64_t term, TimePoint) {
  if (!log_.holds(index) || log_.term_at(index) != term) {
    return;
  }
  persisted_index_ = std::max(persisted_index_, index);
  update_commit();
}

void Replica::update_commit() {
  if (role_ != Role::kLeader) {
    return;
  }
  std::vector<uint64_t> matches;
  for (const Member& member : members_.members) {
    if (!member.voter) {
      continue;
    }
    matches.push_back(member.id == options_.id ? persisted_index_ : progress_[member.id].match);
  }
  if (matches.empty()) {
    return;
  }
  std::sort(matches.begin(), matches.end(), std::greater<>());
  const uint64_t quorum_match = matches[quorum_size() - 1];
  // Only entries of the current term are committed by counting replicas. Committing one of them also commits
  // all earlier entries.
  if (quorum_match > commit_ && log_.term_at(quorum_match) == hard_state_.term) {
    advance_commit_to(quorum_match);
  }
}

bool Replica::request_read(uint64_t read_id, TimePoint now) {
  if (role_ != Role::kLeader || commit_ < term_start_index_) {
    return false;
  }
  reads_.push_back({read_id, commit_, round_ + 1});
  heartbeat(now);
  return true;
}

void Replica::confirm_reads() {
  if (role_ != Role::kLeader) {
    return;
  }
  std::vector<uint64_t> rounds;
  for (const Member& member : members_.members) {
    if (member.voter) {
      rounds.push_back(member.id == options_.id ? round_ : progress_[member.id].confirmed_round);
    }
  }
  if (rounds.empty()) {
    return;
  }
  std::sort(rounds.begin(), rounds.end(), std::greater<>());
  const uint64_t confirmed = rounds[quorum_size() - 1];
  const auto started = round_started_at_.find(confirmed);
  if (started != round_started_at_.end()) {
    quorum_confirmed_at_ = std::max(quorum_confirmed_at_, started->second);
    round_started_at_.erase(round_started_at_.begin(), started);
  }
  while (!reads_.empty() && reads_.front().round <= confirmed) {
    output_.confirmed_reads.push_back(reads_.front().read_id);
    reads_.erase(reads_.begin());
  }
}

void Replica::check_quorum(TimePoint now) {
  size_t active = 0;
  for (const Member& member : members_.members) {
    if (!member.voter) {
      continue;
    }
    const bool self = member.id == options_.id;
    active += (self || now - progress_[member.id].last_response < options_.election_timeout) ? 1 : 0;
  }
  if (active < quorum_size()) {
    become_follower(hard_state_.term, 0, now);
  }
}

TimePoint Replica::last_response_of(MemberId member) const {
  const auto found = progress_.find(member);
  return found == progress_.end() ? TimePoint(0) : found->second.last_response;
}

bool Replica::transfer_leadership(TimePoint now) {
  if (role_ != Role::kLeader) {
    return false;
  }
  MemberId best = 0;
  uint64_t best_match = 0;
  for (const Member& member : members_.members) {
    if (!member.voter || member.id == options_.id) {
      continue;
    }
    const Progress& progress = progress_[member.id];
    if (best == 0 || progress.match > best_match) {
      best = member.id;
      best_match = progress.match;
    }
  }
  if (best == 0 || best_match < log_.last_index()) {
    heartbeat(now);
    return false;
  }
  output_.send_now.push_back(make_message(MessageKind::kTimeoutNow, best));
  return true;
}

uint64_t Replica::match_of(MemberId member) const {
  if (member == options_.id) {
    return log_.last_index();
  }
  const auto found = progress_.find(member);
  return found == progress_.end() ? 0 : found->second.match;
}

}  // namespace stoat::consensus
