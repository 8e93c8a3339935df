#include "src/control/control_client.h"

#include <algorithm>

#include "src/storage/record_log.h"

namespace stoat::control {

namespace {

constexpr char kKeptFile[] = "configuration";
constexpr char kKeptRoutersFile[] = "routers";
constexpr Duration kTick = 20ms;
constexpr Duration kCallRetry = 150ms;
constexpr Duration kNewsPollSpacing = 200ms;

}  // namespace

ControlClient::ControlClient(EventLoop& loop, const ControlClientOptions& options, wire::Node self,
                             uint64_t seed)
    : loop_(loop), options_(options), self_(std::move(self)), random_(seed), files_(options.data_folder) {
  last_call_id_ = random_.bits() >> 16U;
}

ControlClient::~ControlClient() {
  wire::close_all(channels_);
  if (peer_channel_ != nullptr) {
    peer_channel_->close();
  }
}

std::string ControlClient::read_kept(const std::string& file) {
  const auto bytes = files_.read(file);
  if (!bytes || !bytes->has_value()) {
    return "";
  }
  const auto scan = storage::scan_records(**bytes);
  if (!scan || scan->payloads.size() != 1) {
    log_.warning("a kept file is damaged, fetching anew", {{"file", file}});
    return "";
  }
  return scan->payloads.front();
}

void ControlClient::load_kept() {
  if (auto kept = wire::decode<Configuration>(read_kept(kKeptFile))) {
    follower_ = ConfigurationFollower(std::move(*kept));
    log_.info("configuration kept on disk", {{"version", follower_.configuration().version}});
  }
  if (on_configuration) {
    on_configuration(follower_.configuration());
  }
  const auto routers = wire::decode<std::vector<wire::Node>>(read_kept(kKeptRoutersFile));
  if (routers) {
    learn_peers(*routers);
  }
  if (routers && on_routers) {
    on_routers(*routers);
  }
}

void ControlClient::keep(const std::string& file, const std::string& content) {
  const auto written = files_.replace(file, storage::make_record(content));
  if (!written) {
    log_.error("cannot keep a file", {{"file", file}, {"error", written.error().message}});
  }
}

void ControlClient::start() {
  started_at_ = loop_.now();
  load_kept();
  // A herd of restarted nodes spreads its first polls.
  next_poll_ = loop_.now() + Duration(random_.between(0, options_.poll_interval.count() / 4));
  loop_.every(kTick, [this] { tick(); });
}

void ControlClient::set_draining() {
  self_.draining = true;
  next_poll_ = loop_.now();
}

int64_t ControlClient::contact_age_ms() const {
  return last_contact_ < TimePoint(0) ? -1 : to_milliseconds(loop_.now() - last_contact_);
}

std::string ControlClient::any_member() {
  if (options_.members.empty()) {
    return "";
  }
  return to_string(options_.members[random_.below(options_.members.size())]);
}

std::shared_ptr<wire::Channel> ControlClient::channel_to(const std::string& member) {
  const auto found = channels_.find(member);
  if (found != channels_.end() && found->second->open()) {
    return found->second;
  }
  Endpoint endpoint;
  if (!parse_endpoint(member, endpoint)) {
    return nullptr;
  }
  auto channel = wire::Channel::connect(
      loop_, endpoint,
      [this, member](const std::shared_ptr<wire::Channel>&, const wire::Message& message) {
        on_message(member, message);
      },
      [this, member](const std::shared_ptr<wire::Channel>&) { leave(member); });
  channels_[member] = channel;
  return channel;
}

void ControlClient::leave(const std::string& member) {
  if (const auto found = channels_.find(member); found != channels_.end()) {
    found->second->close();
    channels_.erase(found);
  }
  if (leader_ == member) {
    leader_.clear();
  }
  if (poll_member_ == member) {
    poll_member_.clear();
    poll_open_ = false;
    next_poll_ = loop_.now() + Duration(random_.between(20000, 200000));
  }
}

void ControlClient::poll() {
  if (poll_member_.empty()) {
    poll_member_ = leader_.empty() ? any_member() : leader_;
  }
  const auto channel = channel_to(poll_member_);
  if (channel == nullptr) {
    return;
  }
  self_.configuration_version = follower_.configuration().version;
  const uint64_t before = channel->sent_bytes();
  channel->send(wire::NodePoll{self_, routers_digest_});
  sent_bytes_ += channel->sent_bytes() - before;
  poll_sent_at_ = loop_.now();
  poll_open_ = true;
}

void ControlClient::tick() {
  const TimePoint now = loop_.now();
  if (poll_open_ && now - poll_sent_at_ > options_.answer_timeout) {
    const std::string silent = poll_member_;
    leave(silent);
  }
  if (!poll_open_ && now >= next_poll_) {
    next_poll_ = now + options_.poll_interval;
    poll();
  }
  const bool no_contact = now - std::max(last_contact_, started_at_) > options_.peers_after;
  if (no_contact && now >= next_peer_poll_) {
    next_peer_poll_ =
        now + options_.poll_interval + Duration(random_.between(0, options_.poll_interval.count()));
    poll_peer();
  }
  std::vector<uint64_t> expired;
  for (auto& [call_id, call] : calls_) {
    if (now >= call.deadline) {
      expired.push_back(call_id);
    } else if (now >= call.next_try) {
      send_call(call_id, call);
    }
  }
  for (const uint64_t call_id : expired) {
    const CallHandler handler = std::move(calls_[call_id].handler);
    calls_.erase(call_id);
    handler(std::nullopt);
  }
}

void ControlClient::call(const Command& command, CallHandler handler) {
  const bool finishes = std::holds_alternative<FinishClaim>(command.value);
  const uint64_t call_id = ++last_call_id_;
  PendingCall& call = calls_[call_id];
  call.command = command;
  call.handler = std::move(handler);
  call.deadline = loop_.now() + (finishes ? options_.finish_deadline : options_.call_deadline);
  send_call(call_id, call);
}

void ControlClient::send_call(uint64_t call_id, PendingCall& call) {
  // While an answer is out, only its loss makes the call go again; every command may safely be applied twice.
  call.next_try = loop_.now() + options_.answer_timeout;
  const std::string member = leader_.empty() ? any_member() : leader_;
  if (const auto channel = channel_to(member)) {
    channel->send(wire::ControlCall{call_id, call.command});
  }
}

void ControlClient::on_message(const std::string& member, const wire::Message& message) {
  if (const auto* poll_answer = std::get_if<wire::NodePollAnswer>(&message.value)) {
    on_poll_answer(member, *poll_answer);
  } else if (const auto* call_answer = std::get_if<wire::ControlAnswer>(&message.value)) {
    on_call_answer(*call_answer);
  }
}

void ControlClient::take(const wire::NodePollAnswer& answer) {
  if (!follower_.on_answer(answer)) {
    return;
  }
  keep(kKeptFile, wire::encode(follower_.configuration()));
  if (on_configuration) {
    on_configuration(follower_.configuration());
  }
  next_poll_ = loop_.now();  // tell the new version at once
}

void ControlClient::on_version_seen(uint64_t version) {
  // Not with each message: many may come before the answer does.
  if (version > follower_.configuration().version && loop_.now() - poll_sent_at_ > kNewsPollSpacing) {
    next_poll_ = std::min(next_poll_, loop_.now());
  }
}

wire::NodePollAnswer ControlClient::answer_peer(const wire::NodePoll& poll) const {
  wire::NodePollAnswer answer;
  answer.quorum_age_ms = -1;
  answer.version = follower_.configuration().version;
  if (answer.version > poll.node.configuration_version) {
    answer.snapshot.push_back(follower_.configuration());
  }
  return answer;
}

void ControlClient::learn_peers(const std::vector<wire::Node>& routers) {
  peers_.clear();
  for (const wire::Node& router : routers) {
    if (router.name != self_.name) {
      peers_.push_back(router.endpoint);
    }
  }
}

void ControlClient::poll_peer() {
  Endpoint endpoint;
  if (peers_.empty() || !parse_endpoint(peers_[random_.below(peers_.size())], endpoint)) {
    return;
  }
  if (peer_channel_ != nullptr) {
    peer_channel_->close();
  }
  // Another peer each time: the one asked last may itself be behind, or gone.
  peer_channel_ = wire::Channel::connect(
      loop_, endpoint,
      [this](const std::shared_ptr<wire::Channel>&, const wire::Message& message) {
        if (const auto* answer = std::get_if<wire::NodePollAnswer>(&message.value)) {
          take(*answer);
        }
      },
      [](const std::shared_ptr<wire::Channel>&) {});
  self_.configuration_version = follower_.configuration().version;
  peer_channel_->send(wire::NodePoll{self_, routers_digest_});
}

void ControlClient::on_poll_answer(const std::string& member, const wire::NodePollAnswer& answer) {
  if (member != poll_member_) {
    return;
  }
  poll_open_ = false;
  const bool stale = answer.quorum_age_ms < 0 || answer.quorum_age_ms > options_.max_quorum_age_ms;
  take(answer);
  if (stale) {
    // Cut off in silence, it still answers politely. Leave it for any other.
    poll_member_.clear();
    next_poll_ = loop_.now() + Duration(random_.between(50000, 500000));
    return;
  }
  last_contact_ = loop_.now();
  if (!answer.leader.empty()) {
    leader_ = answer.leader;
    poll_member_ = answer.leader;
  }
  if (answer.routers_given) {
    learn_peers(answer.routers);
  }
  if (answer.routers_given && on_routers) {
    routers_digest_ = answer.routers_digest;
    keep(kKeptRoutersFile, wire::encode(answer.routers));
    on_routers(answer.routers);
  }
  if (member == answer.leader && on_leaving) {
    on_leaving(answer.leaving);
  }
}

void ControlClient::on_call_answer(const wire::ControlAnswer& answer) {
  const auto found = calls_.find(answer.call_id);
  if (found == calls_.end()) {
    return;
  }
  if (answer.status == wire::CallStatus::kDone) {
    const CallHandler handler = std::move(found->second.handler);
    calls_.erase(found);
    handler(answer.result);
    return;
  }
  leader_ = answer.leader;
  found->second.next_try = loop_.now() + (answer.leader.empty() ? kCallRetry : Duration(0));
}

}  // namespace stoat::control
