/// FleetServer: what control members tell one another besides the log, and the caches that they share out.
#include "src/control/fleet_server.h"
#include "src/events/fleet_events.h"

namespace stoat::control {

namespace {

/// Members hear from one another at least so often.
constexpr Duration kExchangeInterval = 200ms;
/// A follower asks the leader for its last confirmation so often; without a fresh one, at the shorter
/// interval.
constexpr Duration kQuestionInterval = 100ms;
constexpr Duration kFirstQuestionInterval = 20ms;
/// A confirmation of this age is fresh.
constexpr Duration kFreshConfirmation = 500ms;

}  // namespace

void FleetServer::exchange_with_peers() {
  const TimePoint now = loop_.now();
  const bool leads = core_->replica().leads();
  const uint64_t term = core_->replica().term();
  const fleet::PeerUpdate news = knowledge_.take_peer_news(term, leads, now);
  if (news.empty() && now < next_exchange_) {
    knowledge_.give_back_number();
    return;
  }
  next_exchange_ = now + kExchangeInterval;
  send_to_members(wire::make_frame(news));
  for (const std::string& address : knowledge_.take_whole_requests()) {
    peer_feeds_.on_request(address, now);
  }
  send_wholes(term, leads);
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

void FleetServer::send_wholes(uint64_t term, bool leads) {
  const TimePoint now = loop_.now();
  wire::Frame whole;  // the same for all who are owed it
  for (const std::string& address : other_members()) {
    const ChannelPtr channel = bulk_channel_to(address);
    if (channel == nullptr || !peer_feeds_.full_state_due(address, channel->unsent_bytes(), now)) {
      continue;
    }
    if (whole.empty()) {
      whole = wire::make_frame(knowledge_.whole_for_peer(term, leads, named_, now));
    }
    channel->send_frame(whole);
    peer_feeds_.on_full_state_sent(address, whole.bytes.size(), now);
    log_.event(events::FullStateSent{address, whole.bytes.size()});
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

void FleetServer::on_peer_news(const fleet::PeerUpdate& news) {
  const TimePoint now = loop_.now();
  measure_peer(news.sender, news.zone);
  knowledge_.on_peer_news(news, now);
  for (const fleet::RouterRollouts& entry : news.applied) {
    confirmations_.note(entry.router, entry.applied, now);
  }
  adopt_ages(news);
  for (const fleet::TargetWeightsVersion& named : news.weights) {
    const auto known = named_.find(named.model);
    if (known != named_.end() && known->second.versions().count(named.version) > 0) {
      known->second.note(named.version, now - Duration(1000 * named.age_ms));
    }
  }
}

void FleetServer::measure_peer(const std::string& address, const std::string& zone) {
  const topology::Distance distance = settings_.topology.distance(settings_.zone, zone);
  for (const auto* channels : {&peers_, &bulk_peers_}) {
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

void FleetServer::ask_for_confirmation() {
  const TimePoint now = loop_.now();
  if (now < next_question_ || core_->replica().leads()) {
    return;
  }
  const auto& newest = questions_.newest();
  const bool fresh = newest && now - newest->at < kFreshConfirmation;
  next_question_ = now + (fresh ? kQuestionInterval : kFirstQuestionInterval);
  if (const ChannelPtr leader = leader_channel()) {
    leader->send(questions_.ask(now));
  }
}

void FleetServer::on_confirmation_question(const ChannelPtr& channel,
                                           const fleet::ConfirmationRequest& question) {
  fleet::ConfirmationResponse answer;
  answer.number = question.number;
  answer.quorum_age_ms = core_->replica().leads() ? confirmed_age_ms() : -1;
  answer.configuration_version = configuration_version();
  channel->send(answer);
}

void FleetServer::on_confirmation_answer(const fleet::ConfirmationResponse& answer) {
  questions_.on_answer(answer);
  note_confirmation();
}

std::optional<LeaderConfirmation> FleetServer::confirmation() const {
  if (!core_->replica().leads()) {
    return questions_.newest();
  }
  const int64_t age_ms = confirmed_age_ms();
  if (age_ms < 0) {
    return std::nullopt;
  }
  return LeaderConfirmation{loop_.now() - Duration(1000 * age_ms), configuration_version()};
}

void FleetServer::note_confirmation() {
  const auto newest = confirmation();
  if (newest) {
    last_confirmed_ = std::max(last_confirmed_.value_or(newest->at), newest->at);
  }
  const bool confirmed = newest && loop_.now() - newest->at < kFreshConfirmation;
  if (confirmed && !was_confirmed_) {
    push_to_routers();  // they wait for the key lease, after a restart for the configuration as well
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
  watch_.follow(knowledge_.choose_caches(store_zones, loop_.now()));
}

void FleetServer::follow_caches() {
  watch_.poll(loop_.now());
  const std::vector<fleet::CacheChanges> changes = watch_.take_changes();
  for (const fleet::CacheChanges& change : changes) {
    if (change.anew || !change.followed) {
      log_.event(events::CacheSubscriptionChanged{change.holder, change.followed});
    }
  }
  knowledge_.on_cache_changes(changes);
}

}  // namespace stoat::control
