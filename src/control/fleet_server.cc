#include "src/control/fleet_server.h"

#include <algorithm>
#include <stdexcept>

#include "src/common/build_info.h"
#include "src/common/hash.h"
#include "src/common/random.h"
#include "src/events/fleet_events.h"

namespace stoat::control {

namespace {

constexpr Duration kTickInterval = 10ms;
constexpr Duration kJoinInterval = 150ms;
/// Changes are batched for this long before they are sent to members and routers.
constexpr Duration kFeedInterval = 50ms;
constexpr Duration kSoftStateInterval = 100ms;
constexpr Duration kCachePollInterval = 30ms;
constexpr Duration kWeightRolloutInterval = 20ms;
constexpr Duration kServiceRolloutInterval = 100ms;
/// A router that cannot reach any member continues to accept API keys for about this long
/// (gateway::ControlLinkOptions::key_lease).
constexpr Duration kIsolatedServeTime = 5s;
constexpr Duration kStopGracePeriod = 300ms;
constexpr Duration kTrafficLogInterval = 10s;  ///< between log lines about traffic
/// A tick that comes later than this is logged; elections begin after some 250 ms without a heartbeat.
constexpr Duration kLateTick = 100ms;
/// Minimum time between two log lines about a late loop.
constexpr Duration kLateLogInterval = 250ms;
/// Maximum delay until a backend's heartbeat is known to the members that did not receive it directly.
constexpr Duration kHeartbeatPropagationDelay = 200ms;

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
      Duration(1000 * reader.integer("backend_heartbeat_ms", 1200, 10, 600000)) + kHeartbeatPropagationDelay;
  settings.quotas = admission::read_quota_tolerance(reader);
  settings.service_rollout = rollout::planner_options(rollout::read_exposure_bounds(reader));
  settings.holder_lease = Duration(1000 * reader.integer("holder_lease_ms", 3000, 0, 600000));
  // The delay lets versions announced in quick succession be loaded as one: loading discards the engine's
  // cache.
  settings.rollout.start_delay = Duration(1000 * reader.integer("weights_limit_ms", 8000, 0, 3600000)) / 4;
  settings.rollout.load_share = reader.number("load_share", settings.rollout.load_share, 0.001, 1.0);
  return settings;
}

FleetServer::FleetServer(EventLoop& loop, FleetControlSettings settings, EngineInterface& orders)
    : loop_(loop),
      settings_(std::move(settings)),
      engine_orders_(orders),
      files_(settings_.data_folder),
      store_(files_),
      soft_state_({to_string(settings_.internal), settings_.zone, settings_.registry, settings_.quotas,
                   seed_from_device(), loop.now(), settings_.topology}),
      cache_event_poller_(orders),
      weight_rollout_(settings_.rollout),
      router_confirmations_(kIsolatedServeTime),
      soft_state_files_(settings_.data_folder) {
  start_core(restore());
  restore_soft_state();
  if (core_->replica().last_index() == 0 && settings_.first_start && !settings_.seeds.empty() &&
      settings_.seeds.front() == settings_.internal) {
    bootstrap();
  }
  channels_ = std::make_unique<wire::ChannelServer>(
      loop, settings_.internal,
      [this](const ChannelPtr& channel, wire::Message message) { on_message(channel, std::move(message)); },
      [this](const ChannelPtr& channel) { on_router_closed(channel); });
  channels_->set_unreadable_handler(unreadable_handler());
  loop.every(kTickInterval, [this] { tick(); });
  loop.every(kJoinInterval, [this] { ask_to_join(); });
  loop.every(kFeedInterval, [this] { exchange_state(); });
  loop.every(kSoftStateInterval, [this] {
    const MemberWorkMeter::Scope work(work_, MemberWork::kUpkeep);
    maintain_soft_state();
  });
  loop.every(kCachePollInterval, [this] {
    const MemberWorkMeter::Scope work(work_, MemberWork::kCaches);
    poll_followed_caches();
  });
  loop.every(kWeightRolloutInterval, [this] { advance_weight_rollout(); });
  loop.every(kTrafficLogInterval, [this] { log_traffic(); });
  loop.every(kServiceRolloutInterval, [this] { advance_service_rollouts(); });
  late_logged_at_ = loop.now();
  log_.info("started", {{"name", settings_.name},
                        {"internal", to_string(settings_.internal)},
                        {"identity", to_hex(identity_.id)},
                        {"first_start", settings_.first_start},
                        {"last_index", core_->replica().last_index()},
                        {"version", kBuildVersion},
                        {"commit", build_commit()}});
  metrics_.set("stoat_build_info", 1, build_labels());
}

FleetServer::~FleetServer() {
  wire::close_all(peer_channels_);
  wire::close_all(bulk_channels_);
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
  if (core_->unreadable_record()) {
    throw std::runtime_error("cannot read the state in " + settings_.data_folder +
                             "/snapshot, which covers " + std::to_string(restored.snapshot.index) +
                             " entries");
  }
  driver_ = std::make_unique<DurableDriver>(
      loop_, *core_, store_, [this](const consensus::Message& message) { send_to_peer(message); },
      [this] { deliver_answers(); },
      [this](const storage::FileError& error) {
        log_.error("cannot write, stopping", {{"file", error.path}, {"error", error.message}});
        loop_.stop();
      });
  for (const fleet::RetiredBackend& retired : core_->state().fleet().retired()) {
    soft_state_.retire(retired.id, retired.state);
  }
}

void FleetServer::bootstrap() {
  consensus::Snapshot first;
  first.index = 1;
  first.term = 1;
  first.members.members.push_back({identity_.id, to_hex(identity_.id), to_string(settings_.internal), true});
  first.state = StateMachine().save();
  consensus::RestoredState restored;
  restored.snapshot = first;
  restored.hard_state.term = 1;
  driver_.reset();  // its thread must not write to the store concurrently
  const auto written = store_.write_snapshot(wire::encode(first), restored.hard_state, {});
  if (!written) {
    throw std::runtime_error("cannot write the initial state: " + written.error().message);
  }
  log_.info("founded the fleet");
  start_core(restored);
}

FleetServer::ChannelPtr FleetServer::channel_to(const std::string& address) {
  return open_channel(peer_channels_, address);
}

FleetServer::ChannelPtr FleetServer::bulk_channel_to(const std::string& address) {
  return open_channel(bulk_channels_, address);
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
  channel->set_unreadable_handler(unreadable_handler());
  // The other member's zone is unknown until its first update arrives.
  channel->set_meter(traffic_,
                     settings_.topology.distance(settings_.zone, soft_state_.zone_of_peer(address)));
  return channel;
}

wire::Channel::UnreadableHandler FleetServer::unreadable_handler() {
  return [this](const wire::Channel& channel, const wire::UnreadableMessage& message) {
    unreadable_messages_.report(channel, message, loop_.now());
  };
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
  // Replies to a leader that is not yet in this member's list go back on the connection the request came
  // from.
  const auto back = peer_channels_.find("id " + to_hex(message.to));
  if (back != peer_channels_.end() && back->second != nullptr) {
    back->second->send(wire::PeerMessage{message});
  }
}

void FleetServer::exchange_state() {
  {
    const MemberWorkMeter::Scope work(work_, MemberWork::kPeers);
    exchange_with_peers();
    update_software_history();  // on its way to the disk before routers hear of new backends
  }
  const MemberWorkMeter::Scope work(work_, MemberWork::kFeeds);
  feed_routers();
}

MemberWork FleetServer::work_of(const wire::Message& message) {
  if (std::holds_alternative<fleet::PeerUpdate>(message.value)) {
    return MemberWork::kPeers;
  }
  if (std::holds_alternative<fleet::ConfigurationRequest>(message.value)) {
    return MemberWork::kConfigurations;
  }
  const bool of_log = std::holds_alternative<wire::PeerMessage>(message.value) ||
                      std::holds_alternative<wire::ControlCall>(message.value) ||
                      std::holds_alternative<wire::ControlResponse>(message.value) ||
                      std::holds_alternative<fleet::ConfirmationRequest>(message.value) ||
                      std::holds_alternative<fleet::ConfirmationResponse>(message.value) ||
                      std::holds_alternative<fleet::ConfirmedRead>(message.value) ||
                      std::holds_alternative<wire::JoinRequest>(message.value);
  return of_log ? MemberWork::kLog : MemberWork::kRouterStatus;
}

void FleetServer::on_message(const ChannelPtr& channel, wire::Message message) {
  const TimePoint now = loop_.now();
  const MemberWorkMeter::Scope work(work_, work_of(message));
  if (auto* peer = std::get_if<wire::PeerMessage>(&message.value)) {
    peer_channels_["id " + to_hex(peer->message.from)] = channel;
    core_->on_peer_message(peer->message, now);
    driver_->process_output();
  } else if (auto* status = std::get_if<fleet::RouterStatus>(&message.value)) {
    on_router_status(channel, *status);
  } else if (auto* loads = std::get_if<fleet::RouterLoads>(&message.value)) {
    on_router_loads(channel, *loads);
  } else if (auto* permits = std::get_if<fleet::PermitRequest>(&message.value)) {
    on_permit_request(channel, *permits);
  } else if (auto* slots = std::get_if<fleet::SlotReport>(&message.value)) {
    on_slot_report(channel, *slots);
  } else if (auto* configuration_request = std::get_if<fleet::ConfigurationRequest>(&message.value)) {
    on_configuration_request(channel, *configuration_request);
  } else if (auto* records = std::get_if<fleet::StreamRecordBatch>(&message.value)) {
    on_stream_records(channel, *records);
  } else if (auto* incarnation_request = std::get_if<fleet::IncarnationRequest>(&message.value)) {
    on_incarnation_request(channel, *incarnation_request);
  } else if (auto* incarnations = std::get_if<fleet::IncarnationResponse>(&message.value)) {
    incarnation_lookup_.on_response(*incarnations);
  } else if (auto* record_request = std::get_if<fleet::StreamRecordRequest>(&message.value)) {
    on_stream_record_request(channel, *record_request);
  } else if (auto* placements = std::get_if<fleet::PlacementUpdate>(&message.value)) {
    soft_state_.on_placements(placements->placements);
  } else if (auto* peer_update = std::get_if<fleet::PeerUpdate>(&message.value)) {
    on_peer_update(*peer_update);
  } else if (auto* confirmation_request = std::get_if<fleet::ConfirmationRequest>(&message.value)) {
    on_confirmation_request(channel, *confirmation_request);
  } else if (auto* confirmed = std::get_if<fleet::ConfirmationResponse>(&message.value)) {
    on_confirmation_answer(*confirmed);
  } else if (auto* call = std::get_if<wire::ControlCall>(&message.value)) {
    on_control_call(channel, std::move(*call));
  } else if (auto* answer = std::get_if<wire::ControlResponse>(&message.value)) {
    const bool kept =
        answer->status == wire::CallStatus::kNotLeader && forwarded_calls_.contains(answer->call_id);
    if (!kept) {
      finish_call(answer->call_id, {answer->status == wire::CallStatus::kDone, answer->result});
    }
  } else if (auto* read = std::get_if<fleet::ConfirmedRead>(&message.value)) {
    on_confirmed_read(channel, *read);
  } else if (auto* read_answer = std::get_if<fleet::ConfirmedReadResponse>(&message.value)) {
    finish_call(read_answer->call_id,
                {read_answer->confirmed, {}, read_answer->source, read_answer->rollout});
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

void FleetServer::watch_loop(TimePoint now) {
  const Duration late = now - next_tick_;
  const bool is_late = next_tick_ > TimePoint(0) && late > kLateTick;
  next_tick_ = now + kTickInterval;
  if (!is_late) {
    return;
  }
  metrics_.count("stoat_control_late_seconds_total", {}, to_seconds(late));
  if (now - late_logged_at_ < kLateLogInterval) {
    return;
  }
  events::LoopLate event;
  event.late_ms = to_milliseconds(late);
  event.since_ms = to_milliseconds(now - std::exchange(late_logged_at_, now));
  event.busy = work_.take_text();
  for (const auto& [name, link] : router_links_) {
    event.feeds += link.status.follows && !link.silent ? 1 : 0;
    event.full_feeds +=
        link.status.follows && !link.silent && feed_publisher_.needs_full_state(link.feed) ? 1 : 0;
  }
  log_.event(event);
}

void FleetServer::tick() {
  if (stop_if_unreadable()) {
    return;
  }
  const TimePoint now = loop_.now();
  watch_loop(now);
  const MemberWorkMeter::Scope work(work_, MemberWork::kLog);
  core_->tick(now);
  driver_->process_output();
  const bool leads = core_->replica().leads();
  if (leads != was_leader_) {
    was_leader_ = leads;
    leader_since_ = now;
    weight_rollout_.reset();
    if (leads) {
      soft_state_.clear_loading();
      permit_issuer_.start_leading(now);
      slot_issuer_.start_leading(now);
    }
    log_.info(leads ? "leads" : "leads no more", {{"term", core_->replica().term()}});
    metrics_.set("stoat_control_leads", leads ? 1 : 0);
  }
  request_confirmation();
  track_confirmation();
  send_forwarded();
  expire_calls();
  advance_lookups();
}

bool FleetServer::stop_if_unreadable() {
  const std::optional<UnreadableRecord>& record = core_->unreadable_record();
  if (!record) {
    return false;
  }
  metrics_.count("stoat_control_unreadable_records_total", {{"kind", record->kind}});
  log_.event(events::RecordUnreadable{record->kind, record->index,
                                      record->tag ? std::to_string(*record->tag) : "none", record->bytes});
  log_.error("replicated state unreadable, stopping", {{"folder", settings_.data_folder}});
  loop_.stop();
  return true;
}

void FleetServer::stop() {
  if (stopping_) {
    return;
  }
  stopping_ = true;
  log_.info("stopping", {{"leads", core_->replica().leads()}});
  core_->replica().transfer_leadership(loop_.now());
  driver_->process_output();
  loop_.after(kStopGracePeriod, [this] { loop_.stop(); });
}

}  // namespace stoat::control
