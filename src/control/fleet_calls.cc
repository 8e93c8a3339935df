/// FleetServer: commands and confirmed reads, from local callers and from other members.
#include <algorithm>

#include "src/control/fleet_server.h"

namespace stoat::control {

namespace {

/// Upper bound for pending calls. Clients try another member after 1 s without a reply.
constexpr Duration kCallTimeout = 2500ms;

}  // namespace

bool FleetServer::all_processes_speak(fleet::ProtocolVersion version) const {
  return soft_state_.peers_speak(version) &&
         std::all_of(router_links_.begin(), router_links_.end(), [version](const auto& entry) {
           return entry.second.silent || entry.second.status.protocol_version >= version;
         });
}

bool FleetServer::accepts(const Command& command) const {
  if (std::holds_alternative<fleet::StartServiceRollout>(command.value) &&
      !all_processes_speak(fleet::kFirstStatedVersion)) {
    log_.info("rollout refused, a member or router of an earlier build is running");
    return false;
  }
  // During bootstrap, only retirements are accepted until there are enough voters to make a command durable.
  return voter_count() >= settings_.core.target_voters ||
         std::holds_alternative<fleet::RetireBackend>(command.value);
}

void FleetServer::on_control_call(const ChannelPtr& channel, wire::ControlCall call) {
  const uint64_t call_id = call.call_id;
  const auto answer = [channel, call_id](const CallOutcome& outcome) {
    wire::ControlResponse reply;
    reply.call_id = call_id;
    reply.status = outcome.done ? wire::CallStatus::kDone : wire::CallStatus::kUnavailable;
    reply.result = outcome.result;
    channel->send(reply);
  };
  if (!core_->replica().leads()) {
    // A call is never forwarded a second time: the member that sent it retries with the next leader.
    wire::ControlResponse reply;
    reply.call_id = call_id;
    reply.status = wire::CallStatus::kNotLeader;
    channel->send(reply);
    return;
  }
  propose(std::move(call.command), answer);
}

void FleetServer::on_confirmed_read(const ChannelPtr& channel, const fleet::ConfirmedRead& confirmed_read) {
  const uint64_t call_id = confirmed_read.call_id;
  const auto answer = [channel, call_id](const CallOutcome& outcome) {
    channel->send(fleet::ConfirmedReadResponse{call_id, outcome.done, outcome.source, outcome.rollout});
  };
  if (!core_->replica().leads()) {
    answer({});
    return;
  }
  read(confirmed_read.rollout_of, answer);
}

uint64_t FleetServer::add_pending_call(PendingCall pending) {
  const uint64_t token = ++last_token_;
  pending.expires = loop_.now() + kCallTimeout;
  pending_calls_[token] = std::move(pending);
  return token;
}

void FleetServer::finish_call(uint64_t token, const CallOutcome& outcome) {
  const auto found = pending_calls_.find(token);
  if (found == pending_calls_.end()) {
    return;
  }
  const PendingCall pending = std::move(found->second);
  pending_calls_.erase(found);
  forwarded_calls_.erase(token);
  pending.on_end(outcome);
}

void FleetServer::append_command(uint64_t token, Command command) {
  if (!accepts(command)) {
    finish_call(token, {});
    return;
  }
  if (auto* order = std::get_if<fleet::StartServiceRollout>(&command.value)) {
    fill_in_order(*order);
  }
  core_->propose_command(token, command, loop_.now());
  driver_->process_output();
}

void FleetServer::propose(Command command, std::function<void(const CallOutcome&)> on_end) {
  const uint64_t token = add_pending_call({.on_end = std::move(on_end)});
  if (core_->replica().leads()) {
    append_command(token, std::move(command));
    return;
  }
  forward(token, wire::ControlCall{token, std::move(command)});
}

void FleetServer::commit(Command command, CommitCallback on_done) {
  propose(std::move(command),
          [on_done = std::move(on_done)](const CallOutcome& outcome) { on_done(outcome.done); });
}

void FleetServer::forward(uint64_t token, wire::Message message) {
  const TimePoint now = loop_.now();
  forwarded_calls_.on_leader(core_->leader_address(), now);
  if (!forwarded_calls_.add(token, std::move(message), now)) {
    finish_call(token, {});
    return;
  }
  send_forwarded();
}

void FleetServer::send_forwarded() {
  const TimePoint now = loop_.now();
  forwarded_calls_.on_leader(core_->leader_address(), now);
  for (ForwardedCalls::Call& call : forwarded_calls_.take_due()) {
    if (const ChannelPtr leader = leader_channel()) {
      leader->send(call.message);
    } else if (auto* own = std::get_if<wire::ControlCall>(&call.message.value)) {
      append_command(call.token, std::move(own->command));  // this member has become the leader
    } else {
      core_->read(call.token, now);
      driver_->process_output();
    }
  }
  for (const uint64_t token : forwarded_calls_.expired_without_leader(now)) {
    finish_call(token, {});
  }
}

void FleetServer::read(const std::string& rollout_service, std::function<void(const CallOutcome&)> on_end) {
  const uint64_t token = add_pending_call({.on_end = std::move(on_end), .rollout_service = rollout_service});
  if (core_->replica().leads()) {
    core_->read(token, loop_.now());
    driver_->process_output();
    return;
  }
  forward(token, fleet::ConfirmedRead{token, rollout_service});
}

void FleetServer::read_configuration(std::function<void(std::optional<std::string>)> on_read) {
  read("", [on_read = std::move(on_read)](const CallOutcome& outcome) {
    const bool known = outcome.done && !outcome.source.empty();
    on_read(known ? std::optional(outcome.source) : std::nullopt);
  });
}

void FleetServer::deliver_answers() {
  if (delivering_) {
    return;
  }
  delivering_ = true;
  for (const CallAnswer& answer : core_->take_answers()) {
    CallOutcome outcome;
    outcome.done = answer.status == wire::CallStatus::kDone;
    outcome.result = answer.result;
    const auto pending = pending_calls_.find(answer.token);
    if (pending != pending_calls_.end() && !pending->second.rollout_service.empty()) {
      outcome.rollout = last_rollout(pending->second.rollout_service);
    } else {
      outcome.source = core_->state().fleet().source();
    }
    finish_call(answer.token, outcome);
  }
  delivering_ = false;
  handle_state_changes();
}

void FleetServer::expire_calls() {
  const TimePoint now = loop_.now();
  std::vector<uint64_t> expired;
  for (const auto& [token, pending] : pending_calls_) {
    if (now >= pending.expires) {
      expired.push_back(token);
    }
  }
  for (const uint64_t token : expired) {
    finish_call(token, {});
  }
}

}  // namespace stoat::control
