/// FleetServer: soft state exchanged between members outside the log, confirmations of the leader, and the
/// caches that the members divide among themselves.
#include "src/control/fleet_server.h"
#include "src/events/fleet_events.h"

namespace stoat::control {

namespace {

/// Members send one another an update at least this often.
constexpr Duration kMaxPeerUpdateInterval = 200ms;
/// Intervals at which a follower asks the leader for its last confirmation by a quorum; the shorter one
/// applies while the follower has no recent confirmation.
constexpr Duration kConfirmationRequestInterval = 100ms;
constexpr Duration kUnconfirmedRequestInterval = 20ms;
/// A confirmation younger than this is recent.
constexpr Duration kMaxConfirmationAge = 500ms;

}  // namespace

void FleetServer::exchange_with_peers() {
  const TimePoint now = loop_.now();
  const bool leads = core_->replica().leads();
  const uint64_t term = core_->replica().term();
  const fleet::PeerUpdate peer_update = soft_state_.take_peer_update(term, leads, now);
  if (peer_update.empty() && now < next_peer_update_) {
    soft_state_.release_last_number();
    return;
  }
  next_peer_update_ = now + kMaxPeerUpdateInterval;
  send_to_members(wire::make_frame(peer_update));
  for (const std::string& address : soft_state_.take_full_state_requests()) {
    peer_feeds_.on_full_state_request(address, now);
  }
  send_full_states(term, leads);
}

std::vector<std::string> FleetServer::other_members() const {
  std::vector<std::string> addresses;
  for (const consensus::Member& member : core_->replica().members().members) {
    if (member.id != identity_.id) {
      addresses.push_back(member.address);
    }
  }
  return addresses;
}

void FleetServer::send_full_states(uint64_t term, bool leads) {
  const TimePoint now = loop_.now();
  wire::Frame full_state;  // encoded once for all members that need it
  for (const std::string& address : other_members()) {
    const ChannelPtr channel = bulk_channel_to(address);
    if (channel == nullptr || !peer_feeds_.full_state_due(address, channel->unsent_bytes(), now)) {
      continue;
    }
    if (full_state.empty()) {
      fleet::PeerUpdate peer_update = soft_state_.full_state_for_peer(term, leads, target_weights_, now);
      peer_update.software = software_history_.services();
      full_state = wire::make_frame(peer_update);
    }
    channel->send_frame(full_state);
    peer_feeds_.on_full_state_sent(address, full_state.bytes.size(), now);
    log_.event(events::FullStateSent{address, full_state.bytes.size()});
  }
}

void FleetServer::send_to_members(const wire::Frame& frame) {
  for (const std::string& address : other_members()) {
    const ChannelPtr channel = bulk_channel_to(address);
    if (channel != nullptr && peer_feeds_.accepts_update(address, channel->unsent_bytes())) {
      channel->send_frame(frame);
    }
  }
}

void FleetServer::on_peer_update(const fleet::PeerUpdate& peer_update) {
  const TimePoint now = loop_.now();
  meter_peer_traffic(peer_update.sender, peer_update.zone);
  soft_state_.on_peer_update(peer_update, now);
  software_history_.restore(peer_update.software, now);
  for (const fleet::RouterRollouts& entry : peer_update.applied) {
    router_confirmations_.record_applied(entry.router, entry.applied, now);
  }
  adopt_rollout_ages(peer_update);
  for (const fleet::TargetWeightsVersion& named : peer_update.weights) {
    const auto known = target_weights_.find(named.model);
    if (known != target_weights_.end() && known->second.versions().count(named.version) > 0) {
      known->second.record_version(named.version, now - Duration(1000 * named.age_ms));
    }
  }
}

void FleetServer::meter_peer_traffic(const std::string& address, const std::string& zone) {
  const topology::Distance distance = settings_.topology.distance(settings_.zone, zone);
  for (const auto* channels : {&peer_channels_, &bulk_channels_}) {
    const auto found = channels->find(address);
    if (found != channels->end() && found->second != nullptr) {
      found->second->set_meter(traffic_, distance);
    }
  }
}

void FleetServer::log_traffic() {
  for (const wire::TrafficMeter::Line& line : traffic_->take_lines()) {
    log_.event(events::BytesSent{line.distance, line.bytes});
  }
}

void FleetServer::request_confirmation() {
  const TimePoint now = loop_.now();
  if (now < next_confirmation_request_ || core_->replica().leads()) {
    return;
  }
  const auto& newest = confirmation_tracker_.newest();
  const bool fresh = newest && now - newest->at < kMaxConfirmationAge;
  next_confirmation_request_ = now + (fresh ? kConfirmationRequestInterval : kUnconfirmedRequestInterval);
  if (const ChannelPtr leader = leader_channel()) {
    leader->send(confirmation_tracker_.make_request(now));
  }
}

void FleetServer::on_confirmation_request(const ChannelPtr& channel,
                                          const fleet::ConfirmationRequest& confirmation_request) {
  fleet::ConfirmationResponse answer;
  answer.number = confirmation_request.number;
  answer.quorum_age_ms = core_->replica().leads() ? confirmed_age_ms() : -1;
  answer.configuration_version = configuration_version();
  channel->send(answer);
}

void FleetServer::on_confirmation_answer(const fleet::ConfirmationResponse& answer) {
  confirmation_tracker_.on_answer(answer);
  track_confirmation();
}

std::optional<LeaderConfirmation> FleetServer::confirmation() const {
  if (!core_->replica().leads()) {
    return confirmation_tracker_.newest();
  }
  const int64_t age_ms = confirmed_age_ms();
  if (age_ms < 0) {
    return std::nullopt;
  }
  return LeaderConfirmation{loop_.now() - Duration(1000 * age_ms), configuration_version()};
}

void FleetServer::track_confirmation() {
  const auto newest = confirmation();
  if (newest) {
    leader_confirmed_at_ = std::max(leader_confirmed_at_.value_or(newest->at), newest->at);
  }
  const bool confirmed = newest && loop_.now() - newest->at < kMaxConfirmationAge;
  if (confirmed && !was_confirmed_) {
    push_to_routers();  // they wait for the key lease and, after a restart, for the configuration
  }
  was_confirmed_ = confirmed;
}

void FleetServer::choose_caches() {
  std::map<std::string, std::string> store_zones;
  for (const fleet::Service& service : core_->state().fleet().configuration().services) {
    if (!service.store_address.empty()) {
      store_zones[service.store_address] = service.store_zone;
    }
  }
  cache_event_poller_.follow(soft_state_.choose_caches(store_zones, loop_.now()));
}

void FleetServer::poll_followed_caches() {
  cache_event_poller_.poll(loop_.now());
  const std::vector<fleet::CacheChanges> changes = cache_event_poller_.take_changes();
  for (const fleet::CacheChanges& change : changes) {
    if (change.is_full_state || !change.is_subscribed) {
      log_.event(events::CacheSubscriptionChanged{change.holder, change.is_subscribed});
    }
  }
  soft_state_.on_cache_changes(changes);
}

}  // namespace stoat::control
