#include "src/control/control_core.h"

#include <algorithm>

#include "src/common/hash.h"

namespace stoat::control {

namespace {

constexpr Duration kExpiryInterval = 10s;

}  // namespace

ControlCore::ControlCore(const ControlOptions& options, const consensus::RestoredState& restored,
                         uint64_t seed, TimePoint now)
    : options_(options), replica_(options.replica, restored, seed, now), applied_(restored.snapshot.index) {
  if (restored.snapshot.index > 0) {
    state_.load(restored.snapshot.state);
  }
}

void ControlCore::on_peer(const consensus::Message& message, TimePoint now) {
  replica_.receive(message, now);
}

void ControlCore::tick(TimePoint now) {
  replica_.tick(now);
  const bool leads = replica_.leads();
  if (leads && !was_leader_) {
    led_since_ = now;
    nodes_.clear();
  }
  if (!leads && was_leader_) {
    // What was proposed may still be committed by another leader: the callers must ask again.
    fail_waiting(wire::CallStatus::kUnavailable);
  }
  was_leader_ = leads;
  if (leads && options_.target_voters > 0) {
    keep_members(now);
  } else if (leads) {
    promote_learners(now);
  }
}

void ControlCore::keep_members(TimePoint now) {
  std::vector<MemberView> views;
  for (const consensus::Member& member : replica_.members().members) {
    MemberView view;
    view.member = member;
    const bool self = member.id == replica_.id();
    const uint64_t match = self ? replica_.last_index() : replica_.match_of(member.id);
    view.caught_up = match > 0 && match + options_.learner_lag_entries >= replica_.last_index();
    view.silence = self ? Duration(0) : now - replica_.last_answer_of(member.id);
    views.push_back(view);
  }
  std::vector<consensus::Member> joining;
  for (const auto& [name, member] : joining_) {
    if (now - joining_heard_[name] < options_.planner.joining_lease) {
      joining.push_back(member);
    }
  }
  if (const auto list = plan_members(views, joining, options_.target_voters, options_.planner)) {
    replica_.propose_members(*list, now);
  }
}

void ControlCore::fail_waiting(wire::CallStatus status) {
  for (const auto& [index, call] : waiting_) {
    answers_.push_back({call.token, status, {}});
  }
  for (const auto& [read_id, token] : waiting_reads_) {
    answers_.push_back({token, status, {}});
  }
  waiting_.clear();
  waiting_reads_.clear();
}

void ControlCore::call(uint64_t token, Command command, int64_t wall_ms, TimePoint now) {
  if (auto* claim = std::get_if<ClaimKey>(&command.value)) {
    claim->at_ms = wall_ms;  // one clock for retention: the leader's, not each router's
  }
  if (auto* finish = std::get_if<FinishClaim>(&command.value)) {
    finish->at_ms = wall_ms;
  }
  if (auto* change = std::get_if<ChangeConfiguration>(&command.value)) {
    change->submitted_at_ms = wall_ms;
  }
  const uint64_t index = replica_.propose(wire::encode(command), now);
  if (index == 0) {
    answers_.push_back({token, wire::CallStatus::kNotLeader, {}});
    return;
  }
  waiting_[index] = WaitingCall{token, replica_.term()};
  expire_claims(wall_ms, now);
}

void ControlCore::expire_claims(int64_t wall_ms, TimePoint now) {
  if (now < next_expiry_) {
    return;
  }
  next_expiry_ = now + kExpiryInterval;
  replica_.propose(wire::encode(Command(ExpireClaims{wall_ms - to_milliseconds(options_.claim_retention)})),
                   now);
}

void ControlCore::read(uint64_t token, TimePoint now) {
  const uint64_t read_id = ++last_read_id_;
  if (!replica_.request_read(read_id, now)) {
    answers_.push_back({token, wire::CallStatus::kNotLeader, {}});
    return;
  }
  waiting_reads_[read_id] = token;
}

void ControlCore::on_persisted(const consensus::Output& output, TimePoint now) {
  if (!output.append.empty()) {
    const consensus::Entry& last = output.append.back();
    replica_.persisted(last.index, last.term, now);
  }
  if (output.install && output.install->index > applied_) {
    state_.load(output.install->state);
    applied_ = output.install->index;
  }
  for (const consensus::Entry& entry : output.committed) {
    apply(entry);
  }
  for (const uint64_t read_id : output.confirmed_reads) {
    const auto found = waiting_reads_.find(read_id);
    if (found != waiting_reads_.end()) {
      answers_.push_back({found->second, wire::CallStatus::kDone, {}});
      waiting_reads_.erase(found);
    }
  }
}

void ControlCore::apply(const consensus::Entry& entry) {
  if (entry.index != applied_ + 1) {
    return;  // covered by a snapshot already
  }
  applied_ = entry.index;
  CommandResult result;
  if (entry.kind == consensus::EntryKind::kCommand) {
    if (const auto command = wire::decode<Command>(entry.payload)) {
      result = state_.apply(*command);
    }
  }
  const auto found = waiting_.find(entry.index);
  if (found == waiting_.end()) {
    return;
  }
  const bool same_entry = found->second.term == entry.term;
  answers_.push_back(
      {found->second.token, same_entry ? wire::CallStatus::kDone : wire::CallStatus::kUnavailable, result});
  waiting_.erase(found);
}

std::vector<CallAnswer> ControlCore::take_answers() {
  std::vector<CallAnswer> answers;
  answers.swap(answers_);
  return answers;
}

std::optional<DueSnapshot> ControlCore::due_snapshot() const {
  if (applied_ < replica_.snapshot_index() + options_.entries_per_snapshot) {
    return std::nullopt;
  }
  DueSnapshot due;
  due.snapshot.index = applied_;
  due.snapshot.term = replica_.term_at(applied_);
  due.snapshot.members = replica_.committed_members();
  due.snapshot.state = state_.save();
  due.hard_state = consensus::HardState{replica_.term(), replica_.voted_for()};
  return due;
}

void ControlCore::compact(std::shared_ptr<const std::string> encoded, const consensus::Snapshot& snapshot) {
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

int64_t ControlCore::quorum_age_ms(TimePoint now) const {
  const TimePoint confirmed = replica_.quorum_confirmed_at();
  return confirmed < TimePoint(0) ? -1 : to_milliseconds(now - confirmed);
}

std::vector<wire::Node> ControlCore::live_nodes(TimePoint now) const {
  std::vector<wire::Node> nodes;
  for (const auto& [name, seen] : nodes_) {
    if (now - seen.seen_at <= options_.node_lease) {
      nodes.push_back(seen.node);
    }
  }
  return nodes;
}

wire::NodePollAnswer ControlCore::on_poll(const wire::NodePoll& poll, TimePoint now) {
  wire::NodePollAnswer answer;
  answer.leader = leader_address();
  answer.quorum_age_ms = quorum_age_ms(now);
  answer.version = state_.configuration().version;
  const uint64_t known = poll.node.configuration_version;
  const auto& changes = state_.changes();
  if (known < answer.version) {
    const bool enough = !changes.empty() && changes.front().version <= known + 1;
    if (enough) {
      const auto first = std::find_if(changes.begin(), changes.end(), [known](const VersionedChange& change) {
        return change.version > known;
      });
      answer.changes.assign(first, changes.end());
    } else {
      answer.snapshot.push_back(state_.configuration());
    }
  }
  if (!replica_.leads()) {
    return answer;
  }
  nodes_[poll.node.name] = SeenNode{poll.node, now};
  // A new leader hears of the nodes only as they poll: it gives no list before all had their turn.
  if (now - led_since_ < options_.node_lease / 2) {
    return answer;
  }
  answer.leaving = leaving_;
  for (const wire::Node& node : live_nodes(now)) {
    if (node.role == "router") {
      answer.routers.push_back(node);
      answer.routers.back().configuration_version = 0;  // not part of what routers and sidecars act on
    }
  }
  answer.routers_digest = hash_bytes(wire::encode(answer.routers));
  answer.routers_given = answer.routers_digest != poll.routers_digest;
  if (!answer.routers_given) {
    answer.routers.clear();
  }
  return answer;
}

void ControlCore::on_join(const wire::JoinRequest& request, TimePoint now) {
  const consensus::Member& member = request.member;
  const auto& members = replica_.members().members;
  const bool known = std::any_of(members.begin(), members.end(),
                                 [&](const consensus::Member& other) { return other.id == member.id; });
  if (known) {
    joining_.erase(member.name);
    return;
  }
  joining_[member.name] = member;
  joining_heard_[member.name] = now;
  if (!replica_.leads() || options_.target_voters > 0) {
    return;
  }
  // A name that is not in the list yet (a spare) may come in as a learner by itself; a voter is replaced by
  // order.
  const bool name_taken = std::any_of(members.begin(), members.end(), [&](const consensus::Member& other) {
    return other.name == member.name;
  });
  if (!name_taken) {
    consensus::MemberList list = replica_.members();
    list.members.push_back(member);
    list.members.back().voter = false;
    replica_.propose_members(list, now);
  }
}

consensus::ProposeError ControlCore::replace_member(const std::string& name, TimePoint now) {
  const auto newcomer = joining_.find(name);
  if (newcomer == joining_.end()) {
    return consensus::ProposeError::kChangePending;
  }
  // The newcomer catches up as a learner while the former voter still counts; promote_learners() does the
  // rest.
  consensus::MemberList list = replica_.members();
  const bool in_already =
      std::any_of(list.members.begin(), list.members.end(),
                  [&](const consensus::Member& member) { return member.id == newcomer->second.id; });
  if (in_already) {
    return consensus::ProposeError::kNone;
  }
  list.members.push_back(newcomer->second);
  list.members.back().voter = false;
  return replica_.propose_members(list, now);
}

void ControlCore::promote_learners(TimePoint now) {
  const consensus::MemberList& current = replica_.members();
  for (size_t position = 0; position < current.members.size(); ++position) {
    const consensus::Member& member = current.members[position];
    const bool caught_up =
        replica_.match_of(member.id) > 0 &&
        replica_.match_of(member.id) + options_.learner_lag_entries >= replica_.last_index();
    if (member.voter || !caught_up) {
      continue;
    }
    consensus::MemberList list = current;
    const size_t removed = std::erase_if(list.members, [&](const consensus::Member& other) {
      return other.name == member.name && other.id != member.id && other.voter;
    });
    if (removed == 0) {
      list.members[position].voter = true;  // its predecessor, if any, has gone in an earlier step
    }
    replica_.propose_members(list, now);
    return;
  }
}

std::vector<consensus::Member> ControlCore::joining() const {
  std::vector<consensus::Member> list;
  for (const auto& [name, member] : joining_) {
    const auto& members = replica_.members().members;
    const bool in =
        std::any_of(members.begin(), members.end(),
                    [&, &member = member](const consensus::Member& other) { return other.id == member.id; });
    if (!in) {
      list.push_back(member);
    }
  }
  return list;
}

}  // namespace stoat::control
