#include "simulation/control_simulation.h"

#include "src/common/hash.h"
#include "src/wire/codec.h"

namespace stoat::simulation {

namespace {

using control::ChangeConfiguration;
using control::ClaimKey;
using control::CommandResult;
using control::ResultCode;

constexpr Duration kCallRetry = 300ms;
constexpr Duration kCallLimit = 4s;
constexpr Duration kNodePoll = 400ms;
constexpr Duration kHealLimit = 15s;
constexpr size_t kNodes = 3;
constexpr char kTenant[] = "tenant";
constexpr int64_t kMaxQuorumAgeMs = 3000;

control::ControlOptions member_options(const ControlSimulationOptions& options) {
  control::ControlOptions member;
  member.entries_per_snapshot = options.entries_per_snapshot;
  member.replica.election_timeout = 300ms;
  member.replica.heartbeat_interval = 60ms;
  member.replica.snapshot_piece_bytes = 4096;
  member.learner_lag_entries = 20;
  return member;
}

}  // namespace

ControlSimulation::ControlSimulation(const ControlSimulationOptions& options)
    : options_(options), random_(options.seed), network_(events_, random_) {
  consensus::MemberList founders;
  for (uint32_t position = 0; position < options.voters; ++position) {
    const std::string name = "member-" + std::to_string(position);
    const auto send_from = [this, position](const consensus::Message& message) { send(position, message); };
    const auto answer_from = [this, position](const control::CallAnswer& answer) {
      on_answer(position, answer);
    };
    members_.push_back(std::make_unique<SimulatedMember>(events_, name, member_options(options),
                                                         random_.bits(), send_from, answer_from));
    founders.members.push_back({random_.bits() | 1U, name, name, true});
  }
  for (size_t position = 0; position < members_.size(); ++position) {
    members_[position]->found(founders.members[position].id, founders);
    members_[position]->start();
  }
  for (size_t position = 0; position < kNodes; ++position) {
    Node node;
    node.name = "node-" + std::to_string(position);
    node.member = position % members_.size();
    nodes_.push_back(std::move(node));
  }
  checked_commit_.resize(members_.size());
  checked_start_.resize(members_.size());
}

void ControlSimulation::violate(const std::string& what) {
  violations_.push_back("at " + std::to_string(events_.now().count()) + " us: " + what);
}

void ControlSimulation::send(size_t from, const consensus::Message& message) {
  for (size_t to = 0; to < members_.size(); ++to) {
    if (members_[to]->id() != message.to) {
      continue;
    }
    network_.send(members_[from]->name(), members_[to]->name(), [this, to, message] {
      // A message for a former identity is dropped by the replica itself.
      members_[to]->run([message](control::ControlCore& core, TimePoint now) { core.on_peer(message, now); });
    });
  }
}

void ControlSimulation::run_for(Duration span) {
  const TimePoint end = events_.now() + span;
  while (events_.now() < end && violations_.empty()) {
    step();
  }
}

bool ControlSimulation::run_until(const std::function<bool()>& condition, Duration limit) {
  const TimePoint end = events_.now() + limit;
  while (events_.now() < end && violations_.empty()) {
    if (condition()) {
      return true;
    }
    step();
  }
  return condition();
}

void ControlSimulation::step() {
  const TimePoint until = events_.now() + options_.step;
  while (events_.run_next(until)) {
  }
  for (auto& member : members_) {
    member->tick();
  }
  announce_joins();
  drive_calls();
  drive_nodes();
  check_leaders();
  for (size_t position = 0; position < members_.size(); ++position) {
    check_committed(position);
  }
}

int ControlSimulation::leader() const {
  int best = -1;
  uint64_t best_term = 0;
  for (size_t position = 0; position < members_.size(); ++position) {
    SimulatedMember& member = *members_[position];
    if (member.running() && !member.frozen() && member.core().replica().leads() &&
        member.core().replica().term() > best_term) {
      best = static_cast<int>(position);
      best_term = member.core().replica().term();
    }
  }
  return best;
}

void ControlSimulation::cut_off(size_t position) {
  for (size_t other = 0; other < members_.size(); ++other) {
    if (other != position) {
      cut_between(position, other);
      cut_between(other, position);
    }
  }
}

void ControlSimulation::cut_between(size_t from, size_t to) {
  network_.cut_one_way(members_[from]->name(), members_[to]->name());
}

// Calls to the leader.

void ControlSimulation::start_call(const control::Command& command,
                                   std::function<void(const CommandResult&)> on_result) {
  Call& call = calls_[++last_token_];
  call.command = command;
  call.on_result = std::move(on_result);
  call.give_up_at = events_.now() + kCallLimit;
  const int leader_now = leader();
  call.target = leader_now >= 0 ? static_cast<size_t>(leader_now) : random_.below(members_.size());
}

void ControlSimulation::send_call(uint64_t token, Call& call) {
  call.next_try = events_.now() + kCallRetry;
  const control::Command command = call.command;
  const size_t target = call.target;
  const int64_t wall_ms = to_milliseconds(events_.now());
  network_.send("client", members_[target]->name(), [this, target, token, command, wall_ms] {
    members_[target]->run([token, command, wall_ms](control::ControlCore& core, TimePoint now) {
      core.call(token, command, wall_ms, now);
    });
  });
}

void ControlSimulation::drive_calls() {
  for (auto call = calls_.begin(); call != calls_.end();) {
    if (events_.now() >= call->second.give_up_at) {
      call = calls_.erase(call);
      continue;
    }
    if (events_.now() >= call->second.next_try) {
      if (call->second.next_try != TimePoint(0)) {
        call->second.target =
            (call->second.target + 1) % members_.size();  // the answer was lost, or there is none
      }
      send_call(call->first, call->second);
    }
    ++call;
  }
}

void ControlSimulation::on_answer(size_t from, const control::CallAnswer& answer) {
  const uint64_t version = members_[from]->core().state().configuration().version;
  network_.send(members_[from]->name(), "client", [this, version, answer] {
    if (const auto read = reads_.find(answer.token); read != reads_.end()) {
      const Read asked = read->second;
      reads_.erase(read);
      if (answer.status == wire::CallStatus::kDone) {
        if (version < asked.least_version) {
          violate("a confirmed read gave version " + std::to_string(version) + " after " +
                  std::to_string(asked.least_version) + " was acknowledged");
        }
        read_version_ = std::max(read_version_, version);
      }
      return;
    }
    const auto found = calls_.find(answer.token);
    if (found == calls_.end()) {
      return;
    }
    if (answer.status != wire::CallStatus::kDone) {
      found->second.next_try = std::min(found->second.next_try, events_.now() + Duration(50000));
      return;
    }
    const auto on_result = found->second.on_result;
    calls_.erase(found);
    on_result(answer.result);
  });
}

bool ControlSimulation::call(const control::Command& command, CommandResult& result, Duration limit) {
  bool done = false;
  const TimePoint end = events_.now() + limit;
  while (!done && events_.now() < end && violations_.empty()) {
    start_call(command, [&](const CommandResult& answer) {
      done = true;
      result = answer;
    });
    const uint64_t token = last_token_;
    run_until([&] { return done; }, std::min(kCallLimit, end - events_.now()));
    calls_.erase(token);
  }
  return done;
}

bool ControlSimulation::change(const std::string& request_id, uint64_t base_version, CommandResult& result,
                               Duration limit) {
  ChangeConfiguration change;
  change.operator_request_id = request_id;
  change.operator_name = "operator";
  change.base_version = base_version;
  change.items.emplace_back(control::Tenant{"tenant-" + request_id, "", {}});
  const bool done = call(change, result, limit);
  if (done) {
    note_change_result(change, result);
  }
  return done;
}

bool ControlSimulation::claim(const std::string& key, uint64_t claim_id, CommandResult& result,
                              Duration limit) {
  ClaimKey claim_key;
  claim_key.tenant = kTenant;
  claim_key.key = key;
  claim_key.digest = hash_bytes(key);
  claim_key.claim_id = claim_id;
  const bool done = call(claim_key, result, limit);
  if (done) {
    note_claim_result(claim_key, result);
  }
  return done;
}

bool ControlSimulation::replace(size_t position, Duration limit) {
  const std::string name = members_[position]->name();
  const consensus::MemberId newcomer = members_[position]->id();
  TimePoint next_order{0};
  return run_until(
      [&] {
        const int leader_now = leader();
        if (leader_now < 0) {
          return false;
        }
        control::ControlCore& core = members_[static_cast<size_t>(leader_now)]->core();
        for (const consensus::Member& listed : core.replica().committed_members().members) {
          if (listed.id == newcomer && listed.voter) {
            return true;
          }
        }
        if (events_.now() >= next_order) {
          next_order = events_.now() + Duration(500000);
          members_[static_cast<size_t>(leader_now)]->run(
              [name](control::ControlCore& leading, TimePoint now) { leading.replace_member(name, now); });
        }
        return false;
      },
      limit);
}

// Nodes and blank members.

void ControlSimulation::announce_joins() {
  for (auto& member : members_) {
    if (!member->running() || member->frozen()) {
      continue;
    }
    bool listed = false;
    for (const consensus::Member& known : member->core().replica().members().members) {
      listed |= known.id == member->id();
    }
    if (listed) {
      continue;
    }
    const wire::JoinRequest request{{member->id(), member->name(), member->name(), false},
                                    !member->has_state()};
    for (auto& other : members_) {
      if (other != member) {
        network_.send(member->name(), other->name(), [&other, request] {
          other->run([request](control::ControlCore& core, TimePoint now) { core.on_join(request, now); });
        });
      }
    }
  }
}

void ControlSimulation::drive_nodes() {
  for (Node& node : nodes_) {
    if (events_.now() < node.next_poll) {
      continue;
    }
    node.next_poll = events_.now() + kNodePoll;
    // A poll and its answer in one go; loss and cuts apply to both ways.
    const size_t target = node.member;
    SimulatedMember& member = *members_[target];
    const bool reachable = member.running() && !member.frozen() && !network_.is_cut(node.name, member.name());
    if (!reachable || random_.chance(network_.faults.loss)) {
      node.member = random_.below(members_.size());
      continue;
    }
    wire::NodePoll poll;
    poll.node.name = node.name;
    poll.node.role = "router";
    poll.node.configuration_version = node.follower.configuration().version;
    wire::NodePollAnswer answer;
    member.run([&](control::ControlCore& core, TimePoint now) { answer = core.on_poll(poll, now); });
    node.follower.on_answer(answer);
    check_node(node);
    if (answer.quorum_age_ms < 0 || answer.quorum_age_ms > kMaxQuorumAgeMs) {
      node.member = random_.below(members_.size());
    }
  }
}

void ControlSimulation::check_node(Node& node) {
  const control::Configuration& configuration = node.follower.configuration();
  if (configuration.version < node.highest_version) {
    violate(node.name + " went back from version " + std::to_string(node.highest_version));
  }
  node.highest_version = configuration.version;
  const uint64_t content = hash_bytes(wire::encode(configuration));
  const auto [known, fresh] = configuration_hash_.emplace(configuration.version, content);
  if (!fresh && known->second != content) {
    violate("two contents under version " + std::to_string(configuration.version));
  }
}

// Checks.

void ControlSimulation::check_leaders() {
  for (auto& member : members_) {
    if (!member->running() || !member->core().replica().leads()) {
      continue;
    }
    const uint64_t term = member->core().replica().term();
    const auto [known, fresh] = leader_of_term_.emplace(term, member->id());
    result_.leaders_seen += fresh ? 1 : 0;
    if (known->second != member->id()) {
      violate("two leaders in term " + std::to_string(term));
    }
  }
}

void ControlSimulation::check_committed(size_t position) {
  SimulatedMember& member = *members_[position];
  if (!member.running()) {
    return;
  }
  const consensus::Replica& replica = member.core().replica();
  if (checked_start_[position] != member.starts()) {
    checked_start_[position] = member.starts();
    checked_commit_[position] = 0;
  }
  const uint64_t commit = replica.commit_index();
  if (commit <= checked_commit_[position]) {
    return;
  }
  for (const consensus::Entry& entry :
       replica.entries_after(std::max(checked_commit_[position], replica.snapshot_index()))) {
    if (entry.index > commit) {
      break;
    }
    const uint64_t content =
        hash_pair(entry.term, hash_bytes(entry.payload, static_cast<uint64_t>(entry.kind)));
    const auto [known, fresh] = committed_hash_.emplace(entry.index, content);
    if (!fresh && known->second != content) {
      violate("committed entry " + std::to_string(entry.index) + " differs on " + member.name());
    }
  }
  checked_commit_[position] = commit;
}

void ControlSimulation::note_change_result(const ChangeConfiguration& change, const CommandResult& result) {
  const auto [first, fresh] = first_answers_.emplace(change.operator_request_id, result);
  if (!fresh && (first->second.code != result.code || first->second.version != result.version)) {
    violate("a resend of " + change.operator_request_id + " got another answer than the first");
  }
  if (result.code != ResultCode::kOk) {
    return;
  }
  const auto [winner, only] = accepted_by_base_.emplace(change.base_version, change.operator_request_id);
  if (winner->second != change.operator_request_id) {
    violate("two changes won on base version " + std::to_string(change.base_version));
  }
  if (only) {
    ++result_.changes_accepted;
  }
  acknowledged_version_ = std::max(acknowledged_version_, result.version);
}

void ControlSimulation::note_claim_result(const ClaimKey& claim, const CommandResult& result) {
  if (result.code != ResultCode::kOk) {
    return;
  }
  const auto [holder, fresh] = grant_of_key_.emplace(claim.key, claim.claim_id);
  result_.claims_granted += fresh ? 1 : 0;
  if (holder->second != claim.claim_id) {
    violate("key " + claim.key + " was granted twice");
  }
}

// Load.

void ControlSimulation::operator_change(uint64_t base_version) {
  ChangeConfiguration change;
  change.operator_request_id = "request-" + std::to_string(++last_operator_request_);
  change.operator_name = "operator-" + std::to_string(random_.below(3));
  change.base_version = base_version;
  change.items.emplace_back(control::Tenant{"tenant-" + std::to_string(last_operator_request_), "", {}});
  sent_changes_.push_back(change);
  start_call(change, [this, change](const CommandResult& result) { note_change_result(change, result); });
}

void ControlSimulation::start_read() {
  const int leader_now = leader();
  const size_t target = leader_now >= 0 && random_.chance(0.7) ? static_cast<size_t>(leader_now)
                                                               : random_.below(members_.size());
  const uint64_t token = ++last_token_;
  reads_[token] = Read{std::max(acknowledged_version_, read_version_), target};
  members_[target]->run([token](control::ControlCore& core, TimePoint now) { core.read(token, now); });
}

void ControlSimulation::add_client_load() {
  if (random_.chance(0.05)) {
    operator_change(acknowledged_version_);
    if (random_.chance(0.5)) {
      operator_change(acknowledged_version_);  // another operator races under the same version
    }
  }
  if (!sent_changes_.empty() && random_.chance(0.02)) {
    const ChangeConfiguration change = sent_changes_[random_.below(sent_changes_.size())];
    start_call(change, [this, change](const CommandResult& result) { note_change_result(change, result); });
  }
  if (random_.chance(0.1)) {
    ClaimKey claim;
    claim.tenant = kTenant;
    claim.key = "key-" + std::to_string(random_.below(300));
    claim.digest = hash_bytes(claim.key);
    claim.claim_id = random_.bits() | 1U;
    start_call(claim, [this, claim](const CommandResult& result) { note_claim_result(claim, result); });
  }
  if (random_.chance(0.05)) {
    start_read();
  }
}

// Faults.

void ControlSimulation::random_wipe() {
  // A disk may be lost while a majority of the others is sound; a second loss waits for the repair to be
  // finished.
  if (wiped_member_ >= 0) {
    return;
  }
  const auto position = random_.below(members_.size());
  for (auto& member : members_) {
    if (!member->running() || !member->start_error().empty()) {
      return;
    }
  }
  wiped_member_ = static_cast<int>(position);
  members_[position]->wipe_disk();
  members_[position]->start();
}

void ControlSimulation::add_random_fault() {
  const size_t position = random_.below(members_.size());
  SimulatedMember& member = *members_[position];
  ++result_.faults;
  switch (random_.below(9)) {
    case 0:
    case 1:
      member.crash(random_.chance(0.5));
      break;
    case 2:
      if (member.running()) {
        member.freeze();
      }
      break;
    case 3:
      cut_off(position);
      break;
    case 4:
      cut_between(position, random_.below(members_.size()));
      break;
    case 5:
      network_.faults.loss = random_.unit() * 0.3;
      network_.faults.duplication = random_.unit() * 0.2;
      network_.faults.most_delay = Duration(random_.between(1000, 120000));
      break;
    case 6:
      member.set_clock_rate(0.8 + 0.4 * random_.unit());
      break;
    case 7:
      random_wipe();
      break;
    default:
      heal_network();
      network_.faults = NetworkFaults();
      break;
  }
  for (auto& other : members_) {
    if (random_.chance(0.6)) {
      other->thaw();
    }
    if (!other->running() && random_.chance(0.7)) {
      other->start();
    }
  }
}

void ControlSimulation::heal_everything() {
  heal_network();
  network_.faults = NetworkFaults();
  for (auto& member : members_) {
    if (!member->running()) {
      member->start();
    }
    if (!member->start_error().empty()) {
      violate(member->name() + " does not start: " + member->start_error());
    }
    member->thaw();
  }
}

SimulationResult ControlSimulation::run() {
  const TimePoint end = events_.now() + options_.duration;
  TimePoint next_fault = events_.now() + Duration(1000000);
  while (events_.now() < end && violations_.empty()) {
    if (options_.client_load) {
      add_client_load();
    }
    if (options_.random_faults && events_.now() >= next_fault) {
      next_fault = events_.now() + Duration(random_.between(50000, 1500000));
      add_random_fault();
    }
    step();
    if (wiped_member_ >= 0 && random_.chance(0.01)) {
      const auto wiped = static_cast<size_t>(wiped_member_);
      if (members_[wiped]->running() && replace(wiped, Duration(2000000))) {
        wiped_member_ = -1;
      }
    }
  }
  heal_everything();
  if (wiped_member_ >= 0 && violations_.empty() && !replace(static_cast<size_t>(wiped_member_), kHealLimit)) {
    violate("the wiped member could not be replaced after all faults were healed");
  }
  CommandResult result;
  bool accepted = false;
  const TimePoint heal_end = events_.now() + kHealLimit;
  for (int number = 0; !accepted && violations_.empty() && events_.now() < heal_end; ++number) {
    if (change("final-" + std::to_string(number), acknowledged_version_, result) &&
        result.code != ResultCode::kOk) {
      acknowledged_version_ = std::max(acknowledged_version_, result.version);
    }
    accepted = result.code == ResultCode::kOk && result.version > 0;
  }
  if (!accepted && violations_.empty()) {
    violate("no change was accepted after all faults were healed");
  }
  const uint64_t final_version = result.version;
  const auto everywhere = [&] {
    for (Node& node : nodes_) {
      if (node.follower.configuration().version < final_version) {
        return false;
      }
    }
    return true;
  };
  if (violations_.empty() && !run_until(everywhere, kHealLimit)) {
    violate("the last change did not reach every node after all faults were healed");
  }
  result_.violations = violations_;
  return result_;
}

}  // namespace stoat::simulation
