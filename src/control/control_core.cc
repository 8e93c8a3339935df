#include "src/control/control_core.h"

#include <algorithm>

namespace stoat::control {

ControlCore::ControlCore(const ControlOptions& options, const consensus::RestoredState& restored,
                         uint64_t seed, TimePoint now)
    : options_(options),
      replica_(options.replica, restored, seed, now),
      applied_index_(restored.snapshot.index) {
  if (restored.snapshot.index > 0) {
    load_state(restored.snapshot.index, restored.snapshot.state);
  }
}

void ControlCore::on_peer_message(const consensus::Message& message, TimePoint now) {
  replica_.receive(message, now);
}

void ControlCore::tick(TimePoint now) {
  replica_.tick(now);
  const bool leads = replica_.leads();
  if (!leads && was_leader_) {
    // Another leader may still commit what this member has proposed, so the outcome is unknown and the
    // callers must retry.
    fail_pending(wire::CallStatus::kUnavailable);
  }
  was_leader_ = leads;
  if (leads) {
    update_members(now);
  }
}

void ControlCore::update_members(TimePoint now) {
  std::vector<MemberView> views;
  for (const consensus::Member& member : replica_.members().members) {
    MemberView view;
    view.member = member;
    const bool self = member.id == replica_.id();
    const uint64_t match = self ? replica_.last_index() : replica_.match_of(member.id);
    view.caught_up = match > 0 && match + options_.max_learner_lag_entries >= replica_.last_index();
    view.silence = self ? Duration(0) : now - replica_.last_response_of(member.id);
    views.push_back(view);
  }
  // Drops requests of listed members: a stale request would re-add a member after its removal.
  std::erase_if(pending_joins_, [&](const auto& entry) {
    const PendingJoin& request = entry.second;
    return is_listed(request.member.id) || now - request.received >= options_.planner.join_request_lifetime;
  });
  std::vector<consensus::Member> joining;
  for (const auto& [name, request] : pending_joins_) {
    joining.push_back(request.member);
  }
  if (const auto new_members = plan_members(views, joining, options_.target_voters, options_.planner)) {
    replica_.propose_members(*new_members, now);
  }
}

void ControlCore::fail_pending(wire::CallStatus status) {
  for (const auto& [index, call] : pending_calls_) {
    answers_.push_back({call.token, status, {}});
  }
  for (const auto& [read_id, token] : pending_reads_) {
    answers_.push_back({token, status, {}});
  }
  pending_calls_.clear();
  pending_reads_.clear();
}

void ControlCore::propose_command(uint64_t token, const Command& command, TimePoint now) {
  const uint64_t index = replica_.propose(wire::encode(command), now);
  if (index == 0) {
    answers_.push_back({token, wire::CallStatus::kNotLeader, {}});
    return;
  }
  pending_calls_[index] = PendingCall{token, replica_.term()};
}

void ControlCore::read(uint64_t token, TimePoint now) {
  const uint64_t read_id = ++last_read_id_;
  if (!replica_.request_read(read_id, now)) {
    answers_.push_back({token, wire::CallStatus::kNotLeader, {}});
    return;
  }
  pending_reads_[read_id] = token;
}

void ControlCore::on_persisted(const consensus::Output& output, TimePoint now) {
  if (!output.append.empty()) {
    const consensus::Entry& last = output.append.back();
    replica_.persisted(last.index, last.term, now);
  }
  if (output.install && output.install->index > applied_index_) {
    load_state(output.install->index, output.install->state);
    applied_index_ = output.install->index;
    applied_bytes_ = 0;
  }
  for (const consensus::Entry& entry : output.committed) {
    apply(entry);
  }
  for (const uint64_t read_id : output.confirmed_reads) {
    const auto found = pending_reads_.find(read_id);
    if (found != pending_reads_.end()) {
      answers_.push_back({found->second, wire::CallStatus::kDone, {}});
      pending_reads_.erase(found);
    }
  }
}

void ControlCore::load_state(uint64_t index, const std::string& bytes) {
  snapshot_bytes_ = bytes.size();
  if (!state_.load(bytes)) {
    unreadable_ = {"snapshot", index, std::nullopt, bytes.size()};
  }
}

void ControlCore::apply(const consensus::Entry& entry) {
  if (unreadable_ || entry.index != applied_index_ + 1) {
    return;  // already covered by a snapshot, or after an entry that could not be applied
  }
  CommandResult result;
  if (entry.kind == consensus::EntryKind::kCommand) {
    const auto command = wire::decode<Command>(entry.payload);
    if (!command) {
      unreadable_ = {"entry", entry.index, wire::tag_of(entry.payload), entry.payload.size()};
      return;
    }
    result = state_.apply(*command);
  }
  applied_index_ = entry.index;
  applied_bytes_ += entry.payload.size();
  const auto found = pending_calls_.find(entry.index);
  if (found == pending_calls_.end()) {
    return;
  }
  const bool own_proposal_committed = found->second.term == entry.term;
  answers_.push_back({found->second.token,
                      own_proposal_committed ? wire::CallStatus::kDone : wire::CallStatus::kUnavailable,
                      result});
  pending_calls_.erase(found);
}

std::vector<CallAnswer> ControlCore::take_answers() {
  std::vector<CallAnswer> answers;
  answers.swap(answers_);
  return answers;
}

bool ControlCore::log_is_long() const {
  // Entries may each hold a whole configuration, and then a few take more than the disk has.
  constexpr uint64_t kSnapshotsPerLog = 4;
  const uint64_t max_bytes =
      std::max(options_.min_log_bytes_per_snapshot, kSnapshotsPerLog * snapshot_bytes_);
  return applied_index_ >= replica_.snapshot_index() + options_.entries_per_snapshot ||
         applied_bytes_ >= max_bytes;
}

std::optional<DueSnapshot> ControlCore::due_snapshot() const {
  if (unreadable_ || applied_index_ == replica_.snapshot_index() || !log_is_long()) {
    return std::nullopt;
  }
  DueSnapshot due;
  due.snapshot.index = applied_index_;
  due.snapshot.term = replica_.term_at(applied_index_);
  due.snapshot.members = replica_.committed_members();
  due.snapshot.state = state_.save();
  due.hard_state = consensus::HardState{replica_.term(), replica_.voted_for()};
  return due;
}

void ControlCore::compact(std::shared_ptr<const std::string> encoded, const consensus::Snapshot& snapshot) {
  snapshot_bytes_ = encoded->size();
  applied_bytes_ = 0;
  for (const consensus::Entry& entry : replica_.entries_after(snapshot.index)) {
    applied_bytes_ += entry.index <= applied_index_ ? entry.payload.size() : 0;
  }
  replica_.compact(std::move(encoded), snapshot.index, snapshot.term, snapshot.members);
}

std::vector<consensus::Entry> ControlCore::entries_after(uint64_t index) const {
  return replica_.entries_after(index);
}

std::string ControlCore::leader_address() const {
  for (const consensus::Member& member : replica_.members().members) {
    if (member.id == replica_.leader()) {
      return member.address;
    }
  }
  return "";
}

bool ControlCore::wants_to_join() const { return !is_listed(replica_.id()) || replica_.leader() == 0; }

bool ControlCore::is_listed(consensus::MemberId id) const {
  const auto& members = replica_.members().members;
  return std::any_of(members.begin(), members.end(),
                     [id](const consensus::Member& member) { return member.id == id; });
}

void ControlCore::on_join(const wire::JoinRequest& request, TimePoint now) {
  const consensus::Member& member = request.member;
  if (is_listed(member.id)) {
    pending_joins_.erase(member.name);
    return;
  }
  pending_joins_[member.name] = {member, now};
}

}  // namespace stoat::control
