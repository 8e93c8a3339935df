/// FleetServer: commands and confirmed reads, from this member's callers and from other members.
#include "src/control/fleet_server.h"

namespace stoat::control {

namespace {

/// Callers turn to another member after a second without an answer.
constexpr Duration kCallLimit = 2500ms;

}  // namespace

bool FleetServer::accepts(const Command& command) const {
  // While the fleet is founded, a configuration waits until it would be on enough disks.
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
    // Never passed on twice: the member that asks sends it to the next leader.
    wire::ControlResponse reply;
    reply.call_id = call_id;
    reply.status = wire::CallStatus::kNotLeader;
    channel->send(reply);
    return;
  }
  propose(std::move(call.command), answer);
}

void FleetServer::on_confirmed_read(const ChannelPtr& channel, const fleet::ConfirmedRead& question) {
  const uint64_t call_id = question.call_id;
  const auto answer = [channel, call_id](const CallOutcome& outcome) {
    channel->send(fleet::ConfirmedReadResponse{call_id, outcome.done, outcome.source, outcome.rollout});
  };
  if (!core_->replica().leads()) {
    answer({});
    return;
  }
  read(question.rollout_of, answer);
}

uint64_t FleetServer::add_waiting(Waiting waiting) {
  const uint64_t token = ++last_token_;
  waiting.expires = loop_.now() + kCallLimit;
  waiting_[token] = std::move(waiting);
  return token;
}

void FleetServer::finish(uint64_t token, const CallOutcome& outcome) {
  const auto found = waiting_.find(token);
  if (found == waiting_.end()) {
    return;
  }
  const Waiting waiting = std::move(found->second);
  waiting_.erase(found);
  forwarded_.erase(token);
  waiting.on_end(outcome);
}

void FleetServer::take_command(uint64_t token, Command command) {
  if (!accepts(command)) {
    finish(token, {});
    return;
  }
  if (auto* order = std::get_if<fleet::StartServiceRollout>(&command.value)) {
    stamp(*order);
  }
  core_->call(token, command, loop_.now());
  driver_->drive();
}

void FleetServer::propose(Command command, std::function<void(const CallOutcome&)> on_end) {
  const uint64_t token = add_waiting({.on_end = std::move(on_end)});
  if (core_->replica().leads()) {
    take_command(token, std::move(command));
    return;
  }
  forward(token, wire::ControlCall{token, std::move(command)});
}

void FleetServer::commit(Command command, Committed on_done) {
  propose(std::move(command),
          [on_done = std::move(on_done)](const CallOutcome& outcome) { on_done(outcome.done); });
}

void FleetServer::forward(uint64_t token, wire::Message message) {
  const TimePoint now = loop_.now();
  forwarded_.on_leader(core_->leader_address(), now);
  if (!forwarded_.add(token, std::move(message), now)) {
    finish(token, {});
    return;
  }
  send_forwarded();
}

void FleetServer::send_forwarded() {
  const TimePoint now = loop_.now();
  forwarded_.on_leader(core_->leader_address(), now);
  for (ForwardedCalls::Call& call : forwarded_.take_due()) {
    if (const ChannelPtr leader = leader_channel()) {
      leader->send(call.message);
    } else if (auto* own = std::get_if<wire::ControlCall>(&call.message.value)) {
      take_command(call.token, std::move(own->command));  // this member has come to lead
    } else {
      core_->read(call.token, now);
      driver_->drive();
    }
  }
  for (const uint64_t token : forwarded_.expired_without_leader(now)) {
    finish(token, {});
  }
}

void FleetServer::read(const std::string& rollout_of, std::function<void(const CallOutcome&)> on_end) {
  const uint64_t token = add_waiting({.on_end = std::move(on_end), .rollout_of = rollout_of});
  if (core_->replica().leads()) {
    core_->read(token, loop_.now());
    driver_->drive();
    return;
  }
  forward(token, fleet::ConfirmedRead{token, rollout_of});
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
    const auto waiting = waiting_.find(answer.token);
    if (waiting != waiting_.end() && !waiting->second.rollout_of.empty()) {
      outcome.rollout = rollout_of(waiting->second.rollout_of);
    } else {
      outcome.source = core_->state().fleet().source();
    }
    finish(answer.token, outcome);
  }
  delivering_ = false;
  notice_changes();
}

void FleetServer::expire_calls() {
  const TimePoint now = loop_.now();
  std::vector<uint64_t> expired;
  for (const auto& [token, waiting] : waiting_) {
    if (now >= waiting.expires) {
      expired.push_back(token);
    }
  }
  for (const uint64_t token : expired) {
    finish(token, {});
  }
}

}  // namespace stoat::control
