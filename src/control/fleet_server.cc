#include "src/control/fleet_server.h"

#include <algorithm>
#include <stdexcept>

#include "src/common/hash.h"
#include "src/common/random.h"

namespace stoat::control {

namespace {

constexpr Duration kTick = 10ms;
constexpr Duration kJoinInterval = 150ms;
/// Changes of the fleet are gathered for so long before they go to members and routers.
constexpr Duration kFeedInterval = 50ms;
constexpr Duration kKnowledgeInterval = 100ms;
constexpr Duration kCacheInterval = 30ms;
constexpr Duration kRolloutInterval = 20ms;
constexpr Duration kServiceRolloutInterval = 100ms;
/// A router that reaches no member honours keys for about so long (gateway::ControlLinkOptions::key_lease).
constexpr Duration kAloneTime = 5s;
constexpr Duration kStopGrace = 300ms;
constexpr Duration kTrafficInterval = 10s;  ///< of lines in the log
/// From a back end's heartbeat until the members that it did not come to have it.
constexpr Duration kHeartbeatDelay = 200ms;

}  // namespace

FleetControlSettings read_fleet_control_settings(SettingsReader& reader) {
  FleetControlSettings settings;
  settings.name = reader.required_text("name");
  settings.zone = reader.text("zone", "");
  settings.region = reader.text("region", "");
  settings.topology = topology::read_topology(reader);
  settings.internal = read_endpoint(reader, "internal", "127.0.0.1:7000");
  settings.seeds = read_seed_endpoints(reader);
  settings.data_folder = reader.required_text("data_folder");
  settings.first_start = reader.flag("first_start", false);
  const int64_t losses = reader.integer("tolerated_losses", 2, 0, 50);
  settings.core.target_voters = static_cast<size_t>(2 * losses + 1);
  settings.core.entries_per_snapshot =
      static_cast<uint64_t>(reader.integer("entries_per_snapshot", 100, 10, 100000000));
  settings.core.replica.election_timeout =
      Duration(1000 * reader.integer("election_timeout_ms", 250, 50, 60000));
  settings.core.replica.heartbeat_interval = Duration(1000 * reader.integer("heartbeat_ms", 50, 5, 10000));
  settings.registry.lost_after = Duration(1000 * reader.integer("backend_lost_ms", 4000, 100, 600000));
  settings.registry.overdue_after =
      Duration(1000 * reader.integer("backend_heartbeat_ms", 1200, 10, 600000)) + kHeartbeatDelay;
  settings.quotas = admission::read_quota_tolerance(reader);
  settings.service_rollout = rollout::planner_options(rollout::read_exposure_bounds(reader));
  settings.holder_lease = Duration(1000 * reader.integer("holder_lease_ms", 3000, 0, 600000));
  // Versions that follow soon are then loaded in one: a load costs an engine its cache.
  settings.rollout.start_delay = Duration(1000 * reader.integer("weights_limit_ms", 8000, 0, 3600000)) / 4;
  settings.rollout.load_share = reader.number("load_share", settings.rollout.load_share, 0.001, 1.0);
  return settings;
}

FleetServer::FleetServer(EventLoop& loop, FleetControlSettings settings, EngineInterface& orders)
    : loop_(loop),
      settings_(std::move(settings)),
      orders_(orders),
      files_(settings_.data_folder),
      store_(files_),
      knowledge_({to_string(settings_.internal), settings_.zone, settings_.registry, settings_.quotas,
                  seed_from_device(), loop.now(), settings_.topology}),
      watch_(orders),
      rollout_(settings_.rollout),
      confirmations_(kAloneTime) {
  start_core(restore());
  if (core_->replica().last_index() == 0 && settings_.first_start && !settings_.seeds.empty() &&
      settings_.seeds.front() == settings_.internal) {
    found();
  }
  channels_ = std::make_unique<wire::ChannelServer>(
      loop, settings_.internal,
      [this](const ChannelPtr& channel, wire::Message message) { on_message(channel, std::move(message)); },
      [this](const ChannelPtr& channel) { on_router_closed(channel); });
  loop.every(kTick, [this] { tick(); });
  loop.every(kJoinInterval, [this] { ask_to_join(); });
  loop.every(kFeedInterval, [this] {
    exchange_with_peers();
    feed_routers();
  });
  loop.every(kKnowledgeInterval, [this] { keep_knowledge(); });
  loop.every(kCacheInterval, [this] { follow_caches(); });
  loop.every(kRolloutInterval, [this] { roll_out_weights(); });
  loop.every(kTrafficInterval, [this] { log_traffic(); });
  loop.every(kServiceRolloutInterval, [this] { drive_rollouts(); });
  log_.info("started", {{"name", settings_.name},
                        {"internal", to_string(settings_.internal)},
                        {"identity", to_hex(identity_.id)},
                        {"first_start", settings_.first_start},
                        {"last_index", core_->replica().last_index()}});
}

FleetServer::~FleetServer() {
  wire::close_all(peers_);
  wire::close_all(bulk_peers_);
}

consensus::RestoredState FleetServer::restore() {
  auto restored = storage::restore_member(store_, settings_.name);
  identity_ = restored.identity;
  return std::move(restored.state);
}

void FleetServer::start_core(const consensus::RestoredState& restored) {
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
  for (const fleet::RetiredBackend& retired : core_->state().fleet().retired()) {
    knowledge_.retire(retired.id, retired.state);
  }
}

void FleetServer::found() {
  consensus::Snapshot first;
  first.index = 1;
  first.term = 1;
  first.members.members.push_back({identity_.id, to_hex(identity_.id), to_string(settings_.internal), true});
  first.state = StateMachine().save();
  consensus::RestoredState restored;
  restored.snapshot = first;
  restored.hard_state.term = 1;
  driver_.reset();  // its thread must not write at the same time
  const auto written = store_.write_snapshot(wire::encode(first), restored.hard_state, {});
  if (!written) {
    throw std::runtime_error("cannot write the first state: " + written.error().message);
  }
  log_.info("founded the fleet");
  start_core(restored);
}

FleetServer::ChannelPtr FleetServer::channel_to(const std::string& address) {
  return open_channel(peers_, address);
}

FleetServer::ChannelPtr FleetServer::bulk_channel_to(const std::string& address) {
  return open_channel(bulk_peers_, address);
}

FleetServer::ChannelPtr FleetServer::open_channel(std::map<std::string, ChannelPtr>& channels,
                                                  const std::string& address) {
  ChannelPtr& channel = channels[address];
  if (channel != nullptr && channel->open()) {
    return channel;
  }
  Endpoint endpoint;
  if (!parse_endpoint(address, endpoint)) {
    return nullptr;
  }
  channel = wire::Channel::connect(
      loop_, endpoint,
      [this](const ChannelPtr& from, wire::Message message) { on_message(from, std::move(message)); },
      [](const ChannelPtr&) {});
  // Its zone is known from its first news.
  channel->set_meter(traffic_, settings_.topology.distance(settings_.zone, knowledge_.zone_of_peer(address)));
  return channel;
}

FleetServer::ChannelPtr FleetServer::leader_channel() {
  const std::string address = core_->leader_address();
  return address.empty() || core_->replica().leads() ? nullptr : channel_to(address);
}

void FleetServer::send_to_peer(const consensus::Message& message) {
  const auto send_to = [&](const consensus::Member& member) {
    if (member.id != message.to) {
      return false;
    }
    if (const ChannelPtr channel = channel_to(member.address)) {
      channel->send(wire::PeerMessage{message});
    }
    return true;
  };
  const auto& members = core_->replica().members().members;
  if (std::any_of(members.begin(), members.end(), send_to)) {
    return;
  }
  // Answers to a leader that is not in this member's list yet go back on the connection they came from.
  const auto back = peers_.find("id " + to_hex(message.to));
  if (back != peers_.end() && back->second != nullptr) {
    back->second->send(wire::PeerMessage{message});
  }
}

void FleetServer::on_message(const ChannelPtr& channel, wire::Message message) {
  const TimePoint now = loop_.now();
  if (auto* peer = std::get_if<wire::PeerMessage>(&message.value)) {
    peers_["id " + to_hex(peer->message.from)] = channel;
    core_->on_peer(peer->message, now);
    driver_->drive();
  } else if (auto* status = std::get_if<fleet::RouterStatus>(&message.value)) {
    on_router_status(channel, *status);
  } else if (auto* loads = std::get_if<fleet::RouterLoads>(&message.value)) {
    on_router_loads(channel, *loads);
  } else if (auto* permits = std::get_if<fleet::PermitRequest>(&message.value)) {
    on_permit_question(channel, *permits);
  } else if (auto* placements = std::get_if<fleet::PlacementUpdate>(&message.value)) {
    knowledge_.on_placements(placements->placements);
  } else if (auto* news = std::get_if<fleet::PeerUpdate>(&message.value)) {
    on_peer_news(*news);
  } else if (auto* question = std::get_if<fleet::ConfirmationRequest>(&message.value)) {
    on_confirmation_question(channel, *question);
  } else if (auto* confirmed = std::get_if<fleet::ConfirmationResponse>(&message.value)) {
    on_confirmation_answer(*confirmed);
  } else if (auto* call = std::get_if<wire::ControlCall>(&message.value)) {
    on_control_call(channel, std::move(*call));
  } else if (auto* answer = std::get_if<wire::ControlResponse>(&message.value)) {
    const bool kept = answer->status == wire::CallStatus::kNotLeader && forwarded_.holds(answer->call_id);
    if (!kept) {
      finish(answer->call_id, {answer->status == wire::CallStatus::kDone, answer->result});
    }
  } else if (auto* read = std::get_if<fleet::ConfirmedRead>(&message.value)) {
    on_confirmed_read(channel, *read);
  } else if (auto* read_answer = std::get_if<fleet::ConfirmedReadResponse>(&message.value)) {
    finish(read_answer->call_id, {read_answer->confirmed, {}, read_answer->source, read_answer->rollout});
  } else if (auto* join = std::get_if<wire::JoinRequest>(&message.value)) {
    on_join(channel, *join);
  } else if (auto* addresses = std::get_if<fleet::MemberAddresses>(&message.value)) {
    join_addresses_.insert(addresses->addresses.begin(), addresses->addresses.end());
  }
}

size_t FleetServer::voter_count() const {
  const auto& members = core_->replica().members().members;
  return static_cast<size_t>(std::count_if(members.begin(), members.end(),
                                           [](const consensus::Member& member) { return member.voter; }));
}

void FleetServer::on_join(const ChannelPtr& channel, const wire::JoinRequest& request) {
  core_->on_join(request, loop_.now());
  fleet::MemberAddresses addresses;
  for (const consensus::Member& member : core_->replica().members().members) {
    addresses.addresses.push_back(member.address);
  }
  channel->send(addresses);
}

void FleetServer::ask_to_join() {
  if (!core_->wants_to_join()) {
    join_addresses_.clear();
    return;
  }
  std::set<std::string> addresses = join_addresses_;
  for (const Endpoint& seed : settings_.seeds) {
    addresses.insert(to_string(seed));
  }
  for (const consensus::Member& entry : core_->replica().members().members) {
    addresses.insert(entry.address);
  }
  addresses.erase(to_string(settings_.internal));
  for (const std::string& address : addresses) {
    if (const ChannelPtr channel = channel_to(address)) {
      channel->send(
          wire::JoinRequest{{identity_.id, to_hex(identity_.id), to_string(settings_.internal), false}});
    }
  }
}

void FleetServer::tick() {
  const TimePoint now = loop_.now();
  core_->tick(now);
  driver_->drive();
  const bool leads = core_->replica().leads();
  if (leads != led_) {
    led_ = leads;
    leader_since_ = now;
    rollout_.reset();
    if (leads) {
      knowledge_.clear_loading();
      permits_.begin(now);
    }
    log_.info(leads ? "leads" : "leads no more", {{"term", core_->replica().term()}});
    metrics_.set("stoat_control_leads", leads ? 1 : 0);
  }
  ask_for_confirmation();
  note_confirmation();
  send_forwarded();
  expire_calls();
}

void FleetServer::stop() {
  if (stopping_) {
    return;
  }
  stopping_ = true;
  log_.info("stopping", {{"leads", core_->replica().leads()}});
  core_->replica().hand_over(loop_.now());
  driver_->drive();
  loop_.after(kStopGrace, [this] { loop_.stop(); });
}

}  // namespace stoat::control
