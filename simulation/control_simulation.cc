#include "simulation/control_simulation.h"

#include <algorithm>

#include "src/common/hash.h"

namespace stoat::simulation {

namespace {

constexpr Duration kCallRetryInterval = 300ms;
constexpr Duration kCallTimeout = 4s;
constexpr Duration kRejectedCallRetryDelay = 50ms;
constexpr Duration kJoinRequestInterval = 150ms;

control::ControlOptions member_options(const ControlSimulationOptions& options) {
  control::ControlOptions member;
  member.entries_per_snapshot = options.entries_per_snapshot;
  member.replica.election_timeout = 300ms;
  member.replica.heartbeat_interval = 60ms;
  member.replica.snapshot_chunk_bytes = 4096;
  member.max_learner_lag_entries = 20;
  member.target_voters = options.voters;
  return member;
}

}  // namespace

fleet::PutConfiguration make_configuration(uint64_t version, const std::string& source) {
  fleet::PutConfiguration put;
  put.configuration.version = version;
  put.source = source;
  return put;
}

ControlSimulation::ControlSimulation(const ControlSimulationOptions& options)
    : options_(options), random_(options.seed), network_(events_, random_) {
  consensus::MemberList initial_members;
  for (uint32_t position = 0; position < options.voters; ++position) {
    const std::string name = "member-" + std::to_string(position);
    const auto send_from = [this, position](const consensus::Message& message) { send(position, message); };
    const auto answer_from = [this, position](const control::CallAnswer& answer) {
      on_answer(position, answer);
    };
    members_.push_back(std::make_unique<SimulatedMember>(events_, name, member_options(options),
                                                         random_.bits(), send_from, answer_from));
    if (options.initial_voters == 0 || position < options.initial_voters) {
      initial_members.members.push_back({random_.bits() | 1U, name, name, true});
    }
  }
  for (size_t position = 0; position < members_.size(); ++position) {
    if (position < initial_members.members.size()) {
      members_[position]->bootstrap(initial_members.members[position].id, initial_members);
    }
    members_[position]->start();
  }
  checked_progress_.resize(members_.size());
}

void ControlSimulation::record_violation(const std::string& what) {
  violations_.push_back("at " + std::to_string(events_.now().count()) + " us: " + what);
}

void ControlSimulation::send(size_t from, const consensus::Message& message) {
  for (size_t to = 0; to < members_.size(); ++to) {
    if (members_[to]->id() != message.to) {
      continue;
    }
    network_.send(members_[from]->name(), members_[to]->name(), [this, to, message] {
      // The replica itself drops messages that are addressed to an earlier identity of the member.
      members_[to]->run(
          [message](control::ControlCore& core, TimePoint now) { core.on_peer_message(message, now); });
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
  send_join_requests();
  advance_calls();
  check_leaders();
  for (size_t position = 0; position < members_.size(); ++position) {
    check_committed(position);
    check_applied(position);
  }
}

int ControlSimulation::leader() const {
  int best = -1;
  uint64_t best_term = 0;
  for (size_t position = 0; position < members_.size(); ++position) {
    SimulatedMember& member = *members_[position];
    if (member.running() && !member.paused() && member.core().replica().leads() &&
        member.core().replica().term() > best_term) {
      best = static_cast<int>(position);
      best_term = member.core().replica().term();
    }
  }
  return best;
}

void ControlSimulation::isolate(size_t position) {
  for (size_t other = 0; other < members_.size(); ++other) {
    if (other != position) {
      cut_link(position, other);
      cut_link(other, position);
    }
  }
}

void ControlSimulation::cut_link(size_t from, size_t to) {
  network_.cut_one_way(members_[from]->name(), members_[to]->name());
}

// Client calls to the leader.

void ControlSimulation::start_call(const control::Command& command, std::function<void()> on_done) {
  Call& call = calls_[++last_token_];
  call.command = command;
  call.on_done = std::move(on_done);
  call.deadline = events_.now() + kCallTimeout;
  const int current_leader = leader();
  call.target = current_leader >= 0 ? static_cast<size_t>(current_leader) : random_.below(members_.size());
}

void ControlSimulation::send_call(uint64_t token, Call& call) {
  call.next_attempt = events_.now() + kCallRetryInterval;
  const control::Command command = call.command;
  const size_t target = call.target;
  network_.send("client", members_[target]->name(), [this, target, token, command] {
    members_[target]->run([token, command](control::ControlCore& core, TimePoint now) {
      core.propose_command(token, command, now);
    });
  });
}

void ControlSimulation::advance_calls() {
  for (auto call = calls_.begin(); call != calls_.end();) {
    if (events_.now() >= call->second.deadline) {
      call = calls_.erase(call);
      continue;
    }
    if (events_.now() >= call->second.next_attempt) {
      if (call->second.next_attempt != TimePoint(0)) {
        call->second.target =
            (call->second.target + 1) % members_.size();  // no answer came in time: try the next member
      }
      send_call(call->first, call->second);
    }
    ++call;
  }
}

void ControlSimulation::on_answer(size_t from, const control::CallAnswer& answer) {
  const bool done = answer.status == wire::CallStatus::kDone;
  if (const auto read = reads_.find(answer.token); read != reads_.end()) {
    if (done) {
      ++result_.reads_confirmed;
      check_confirmed_read(read->second, state_of(from));
    }
    reads_.erase(read);
    return;
  }
  network_.send(members_[from]->name(), "client", [this, done, token = answer.token] {
    const auto found = calls_.find(token);
    if (found == calls_.end()) {
      return;
    }
    if (!done) {
      found->second.next_attempt =
          std::min(found->second.next_attempt, events_.now() + kRejectedCallRetryDelay);
      return;
    }
    const Call finished = std::move(found->second);
    calls_.erase(found);
    record_acknowledged(finished.command);
    if (finished.on_done) {
      finished.on_done();
    }
  });
}

bool ControlSimulation::call(const control::Command& command, Duration limit) {
  bool done = false;
  const TimePoint end = events_.now() + limit;
  while (!done && events_.now() < end && violations_.empty()) {
    start_call(command, [&] { done = true; });
    const uint64_t token = last_token_;
    run_until([&] { return done; }, std::min(kCallTimeout, end - events_.now()));
    calls_.erase(token);
  }
  return done;
}

bool ControlSimulation::put(uint64_t version, const std::string& source, Duration limit) {
  return call(make_configuration(version, source), limit);
}

// Replacement of members whose disk was lost.

bool ControlSimulation::is_replaced(size_t position) {
  const int current_leader = leader();
  if (current_leader < 0) {
    return false;
  }
  const consensus::MemberList list =
      member(static_cast<size_t>(current_leader)).core().replica().committed_members();
  const auto is_listed_voter = [&](const consensus::Member& listed) {
    return listed.id == members_[position]->id() && listed.voter;
  };
  return list.members.size() == options_.voters &&
         std::any_of(list.members.begin(), list.members.end(), is_listed_voter);
}

bool ControlSimulation::wait_until_replaced(size_t position, Duration limit) {
  return run_until([&] { return is_replaced(position); }, limit);
}

void ControlSimulation::send_join_requests() {
  if (events_.now() < next_join_requests_at_) {
    return;
  }
  next_join_requests_at_ = events_.now() + kJoinRequestInterval;
  for (auto& member : members_) {
    if (!member->running() || member->paused() || !member->core().wants_to_join()) {
      continue;
    }
    const wire::JoinRequest request{{member->id(), to_hex(member->id()), member->name(), false}};
    for (auto& other : members_) {
      if (other != member) {
        network_.send(member->name(), other->name(), [&other, request] {
          other->run([request](control::ControlCore& core, TimePoint now) { core.on_join(request, now); });
        });
      }
    }
  }
}

}  // namespace stoat::simulation
