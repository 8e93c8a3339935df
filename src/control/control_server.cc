#include "src/control/control_server.h"

#include <chrono>

#include "src/common/hash.h"
#include "src/common/random.h"

namespace stoat::control {

namespace {

constexpr Duration kTick = 10ms;
constexpr int64_t kMaxClaimRetentionS = 2592000;
constexpr Duration kPlatformPoll = 1s;
constexpr Duration kOrderPoll = 500ms;
constexpr Duration kJoinInterval = 200ms;
/// How fresh a peer's word that it is blank must be for founding.
constexpr Duration kBlankPeerLease = 1s;
constexpr Duration kStopGrace = 300ms;

int64_t wall_clock_ms() {
  const auto since_epoch = std::chrono::system_clock::now().time_since_epoch();
  return std::chrono::duration_cast<std::chrono::milliseconds>(since_epoch).count();
}

}  // namespace

ControlSettings read_control_settings(SettingsReader& reader) {
  ControlSettings settings;
  settings.name = reader.required_text("name");
  settings.listen = read_endpoint(reader, "listen", "127.0.0.1:7000");
  settings.advertise = read_endpoint(reader, "advertise", to_string(settings.listen));
  settings.admin = read_endpoint(reader, "admin", "127.0.0.1:7001");
  settings.data_folder = reader.required_text("data_folder");
  settings.found_cluster = reader.flag("found_cluster", false);
  settings.operator_key = reader.text("operator_key", "");
  settings.platform = reader.text("platform", "");
  settings.max_weight_loads = reader.integer("max_weight_loads", 2, 1, 1000);
  settings.core.entries_per_snapshot =
      static_cast<uint64_t>(reader.integer("entries_per_snapshot", 20000, 10, 100000000));
  settings.core.claim_retention =
      std::chrono::seconds(reader.integer("claim_retention_s", 7200, 1, kMaxClaimRetentionS));
  settings.core.replica.election_timeout =
      Duration(1000 * reader.integer("election_timeout_ms", 500, 50, 60000));
  settings.core.replica.heartbeat_interval = Duration(1000 * reader.integer("heartbeat_ms", 100, 5, 10000));
  for (const std::string& peer : reader.text_list("peers")) {
    const size_t equals = peer.find('=');
    PeerSetting setting;
    setting.name = peer.substr(0, equals);
    if (equals == std::string::npos || !parse_endpoint(peer.substr(equals + 1), setting.endpoint)) {
      reader.add_finding("peers", "'" + peer + "' must be NAME=ADDRESS:PORT");
      continue;
    }
    settings.peers.push_back(setting);
  }
  return settings;
}

ControlServer::ControlServer(EventLoop& loop, const ControlSettings& settings)
    : loop_(loop), settings_(settings), files_(settings.data_folder), store_(files_), client_(loop) {
  start_core(restore());
  channels_ = std::make_unique<wire::ChannelServer>(
      loop, settings.listen,
      [this](const std::shared_ptr<wire::Channel>& channel, wire::Message message) {
        on_message(channel, std::move(message));
      },
      [](const std::shared_ptr<wire::Channel>&) {});
  admin_ = std::make_unique<http::Server>(loop, settings.admin);
  add_routes();
  loop.every(kTick, [this] { tick(); });
  loop.every(kPlatformPoll, [this] { poll_platform(); });
  loop.every(kOrderPoll, [this] { run_orders(); });
  loop.every(kJoinInterval, [this] { announce_join(); });
  loop.on_terminate([this] { stop(); });
  log_.info("serving", {{"name", settings.name},
                        {"listen", to_string(settings.listen)},
                        {"admin", to_string(settings.admin)},
                        {"blank", blank_}});
}

consensus::RestoredState ControlServer::restore() {
  auto restored = storage::restore_member(store_, settings_.name);
  identity_ = restored.identity;
  return std::move(restored.state);
}

void ControlServer::start_core(const consensus::RestoredState& restored) {
  blank_ = restored.snapshot.index == 0 && restored.entries.empty();
  settings_.core.replica.id = identity_.id;
  driver_.reset();
  core_ = std::make_unique<ControlCore>(settings_.core, restored, seed_from_device(), loop_.now());
  driver_ = std::make_unique<DurableDriver>(
      loop_, *core_, store_, [this](const consensus::Message& message) { send_to_peer(message); },
      [this] { deliver_answers(); },
      [this](const storage::FileError& error) {
        log_.error("cannot write, stopping", {{"file", error.path}, {"error", error.message}});
        loop_.stop();
      });
}

void ControlServer::found_cluster() {
  // Only the first by name founds, and only when every peer has just said that it is blank: a member that
  // lost its disk can never found a second cluster beside the one that lives on.
  consensus::Snapshot first;
  first.index = 1;
  first.term = 1;
  first.members.members.push_back({identity_.id, settings_.name, to_string(settings_.advertise), true});
  for (const PeerSetting& peer : settings_.peers) {
    const auto joining = blank_peers_.find(peer.name);
    if (peer.name < settings_.name || joining == blank_peers_.end() ||
        loop_.now() - joining->second.heard_at > kBlankPeerLease) {
      return;
    }
    first.members.members.push_back(joining->second.member);
    first.members.members.back().voter = true;
  }
  first.state = StateMachine().save();
  consensus::RestoredState restored;
  restored.snapshot = first;
  restored.hard_state.term = 1;
  driver_.reset();  // its thread must not write at the same time
  const auto written = store_.write_snapshot(wire::encode(first), restored.hard_state, {});
  if (!written) {
    log_.error("cannot write the first state", {{"error", written.error().message}});
    start_core({});
    return;
  }
  log_.info("founded", {{"members", first.members.members.size()}});
  start_core(restored);
}

void ControlServer::send_to_peer(const consensus::Message& message) {
  std::string address;
  for (const consensus::Member& member : core_->replica().members().members) {
    if (member.id == message.to) {
      address = member.address;
    }
  }
  if (address.empty()) {
    for (const consensus::Member& member : core_->joining()) {
      address = member.id == message.to ? member.address : address;
    }
  }
  // Answers to a leader that is not in this member's list yet go back on the connection they came from.
  auto& channel = peer_channels_[address.empty() ? "id " + to_hex(message.to) : address];
  Endpoint endpoint;
  if ((channel == nullptr || !channel->open()) && parse_endpoint(address, endpoint)) {
    const auto on_peer = [this](const std::shared_ptr<wire::Channel>& from, wire::Message received) {
      on_message(from, std::move(received));
    };
    channel = wire::Channel::connect(loop_, endpoint, on_peer, [](const std::shared_ptr<wire::Channel>&) {});
  }
  if (channel != nullptr) {
    channel->send(wire::PeerMessage{message});
  }
}

void ControlServer::on_message(const std::shared_ptr<wire::Channel>& channel, wire::Message message) {
  const TimePoint now = loop_.now();
  if (auto* peer = std::get_if<wire::PeerMessage>(&message.value)) {
    auto& back = peer_channels_["id " + to_hex(peer->message.from)];
    if (back == nullptr || !back->open()) {
      back = channel;
    }
    core_->on_peer(peer->message, now);
  } else if (auto* poll = std::get_if<wire::NodePoll>(&message.value)) {
    channel->send(core_->on_poll(*poll, now));
    return;
  } else if (auto* call = std::get_if<wire::ControlCall>(&message.value)) {
    const uint64_t call_id = call->call_id;
    const uint64_t token = add_waiting([this, channel, call_id](const CallAnswer& answer) {
      channel->send(wire::ControlAnswer{call_id, answer.status, core_->leader_address(), answer.result});
    });
    core_->call(token, std::move(call->command), wall_clock_ms(), now);
  } else if (auto* join = std::get_if<wire::JoinRequest>(&message.value)) {
    if (join->blank) {
      blank_peers_[join->member.name] = BlankPeer{join->member, now};
    }
    core_->on_join(*join, now);
  }
  driver_->drive();
}

uint64_t ControlServer::add_waiting(AnswerHandler handler) {
  const uint64_t token = ++last_token_;
  waiting_[token] = std::move(handler);
  return token;
}

void ControlServer::deliver_answers() {
  if (delivering_) {
    return;
  }
  delivering_ = true;
  for (const CallAnswer& answer : core_->take_answers()) {
    const auto found = waiting_.find(answer.token);
    if (found == waiting_.end()) {
      continue;
    }
    const AnswerHandler handler = std::move(found->second);
    waiting_.erase(found);
    handler(answer);
  }
  delivering_ = false;
}

void ControlServer::tick() {
  core_->tick(loop_.now());
  driver_->drive();
  metrics_.set("stoat_control_leads", core_->replica().leads() ? 1 : 0);
  metrics_.set("stoat_control_commit_index", static_cast<double>(core_->replica().commit_index()));
  metrics_.set("stoat_control_claims", static_cast<double>(core_->state().claim_count()));
  metrics_.set("stoat_control_log_bytes", static_cast<double>(driver_->log_bytes()));
}

void ControlServer::announce_join() {
  const auto& members = core_->replica().members().members;
  for (const consensus::Member& member : members) {
    if (member.id == identity_.id) {
      return;
    }
  }
  if (blank_ && core_->replica().last_index() == 0 && settings_.found_cluster) {
    found_cluster();
  }
  for (const PeerSetting& peer : settings_.peers) {
    auto& channel = peer_channels_[to_string(peer.endpoint)];
    if (channel == nullptr || !channel->open()) {
      const auto on_peer = [this](const std::shared_ptr<wire::Channel>& from, wire::Message received) {
        on_message(from, std::move(received));
      };
      channel =
          wire::Channel::connect(loop_, peer.endpoint, on_peer, [](const std::shared_ptr<wire::Channel>&) {});
    }
    channel->send(wire::JoinRequest{{identity_.id, settings_.name, to_string(settings_.advertise), false},
                                    core_->replica().last_index() == 0});
  }
}

void ControlServer::stop() {
  log_.info("stopping", {{"leads", core_->replica().leads()}});
  core_->replica().hand_over(loop_.now());
  driver_->drive();
  loop_.after(kStopGrace, [this] { loop_.stop(); });
}

}  // namespace stoat::control
