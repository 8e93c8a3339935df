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
  const auto answer = [channel, call_id](bool done) {
    wire::ControlAnswer reply;
    reply.call_id = call_id;
    reply.status = done ? wire::CallStatus::kDone : wire::CallStatus::kUnavailable;
    channel->send(reply);
  };
  if (!core_->replica().leads()) {
    // Never passed on twice: the member that asks sends it to the next leader.
    wire::ControlAnswer reply;
    reply.call_id = call_id;
    reply.status = wire::CallStatus::kNotLeader;
    channel->send(reply);
    return;
  }
  commit(std::move(call.command), answer);
}

void FleetServer::on_confirmed_read(const ChannelPtr& channel, const fleet::ConfirmedRead& read) {
  const uint64_t call_id = read.call_id;
  const auto answer = [channel, call_id](const std::optional<std::string>& source) {
    channel->send(fleet::ConfirmedReadAnswer{call_id, source.has_value(), source.value_or("")});
  };
  if (!core_->replica().leads()) {
    answer(std::nullopt);
    return;
  }
  read_configuration(answer);
}

uint64_t FleetServer::add_waiting(Waiting waiting) {
  const uint64_t token = ++last_token_;
  waiting.expires = loop_.now() + kCallLimit;
  waiting_[token] = std::move(waiting);
  return token;
}

void FleetServer::finish(uint64_t token, bool done, const std::optional<std::string>& source) {
  const auto found = waiting_.find(token);
  if (found == waiting_.end()) {
    return;
  }
  const Waiting waiting = std::move(found->second);
  waiting_.erase(found);
  forwarded_.erase(token);
  if (waiting.on_done) {
    waiting.on_done(done);
  }
  if (waiting.on_read) {
    const bool known = source.has_value() && !source->empty();
    waiting.on_read(done && known ? source : std::nullopt);
  }
}

void FleetServer::commit(Command command, Committed on_done) {
  Waiting waiting;
  waiting.on_done = std::move(on_done);
  const uint64_t token = add_waiting(std::move(waiting));
  if (core_->replica().leads()) {
    if (!accepts(command)) {
      finish(token, false, std::nullopt);
      return;
    }
    core_->call(token, command, loop_.now());
    driver_->drive();
    return;
  }
  forward(token, wire::ControlCall{token, std::move(command)});
}

void FleetServer::forward(uint64_t token, wire::Message message) {
  const TimePoint now = loop_.now();
  forwarded_.on_leader(core_->leader_address(), now);
  if (!forwarded_.add(token, std::move(message), now)) {
    finish(token, false, std::nullopt);
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
      if (!accepts(own->command)) {
        finish(call.token, false, std::nullopt);
        continue;
      }
      core_->call(call.token, own->command, now);  // this member has come to lead
      driver_->drive();
    } else {
      core_->read(call.token, now);
      driver_->drive();
    }
  }
  for (const uint64_t token : forwarded_.leaderless(now)) {
    finish(token, false, std::nullopt);
  }
}

void FleetServer::read_configuration(std::function<void(std::optional<std::string>)> on_read) {
  Waiting waiting;
  waiting.on_read = std::move(on_read);
  const uint64_t token = add_waiting(std::move(waiting));
  if (core_->replica().leads()) {
    core_->read(token, loop_.now());
    driver_->drive();
    return;
  }
  forward(token, fleet::ConfirmedRead{token});
}

void FleetServer::deliver_answers() {
  if (delivering_) {
    return;
  }
  delivering_ = true;
  for (const CallAnswer& answer : core_->take_answers()) {
    finish(answer.token, answer.status == wire::CallStatus::kDone, core_->state().fleet().source());
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
    finish(token, false, std::nullopt);
  }
}

}  // namespace stoat::control
