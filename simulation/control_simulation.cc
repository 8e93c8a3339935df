#include "simulation/control_simulation.h"

#include "src/common/hash.h"
#include "src/wire/codec.h"

namespace stoat::simulation {

namespace {

using control::ChangeConfiguration;
using control::ClaimKey;
using control::CommandResult;

constexpr Duration kCallRetry = 300ms;
constexpr Duration kCallLimit = 4s;
constexpr Duration kNodePoll = 400ms;
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

}  // namespace stoat::simulation
