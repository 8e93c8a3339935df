/// FleetServer: heartbeats of backends and connections of routers. Every member sends authoritative state
/// (configurations, retirements, confirmations) to every router. Soft state is sent only to the routers that
/// follow this member, as differences.
#include <algorithm>

#include "src/control/fleet_server.h"
#include "src/events/fleet_events.h"
#include "src/fleet/incarnation.h"

namespace stoat::control {

namespace {

/// A router that follows this member reports its status every 400 ms; other routers report every 1.2 s.
constexpr Duration kFollowingRouterTimeout = 1500ms;
constexpr Duration kOtherRouterTimeout = 3500ms;
/// Number of retirements sent to a newly connected router; backends retired earlier are no longer in
/// any registry.
constexpr uint64_t kMaxRecentRetirements = 256;
/// A member that has had no confirmation of a leader for this long is considered cut off: heartbeats it
/// receives do not reach the others. Elections take less time than this; backends count as lost after 4 s.
constexpr Duration kIsolationTimeout = 1s;
/// Number of routers that relay for each router.
constexpr size_t kMaxRelays = 6;
/// Number of the newest versions of each model's weights that are sent to routers.
constexpr size_t kMaxNamedVersions = 6;

}  // namespace

HeartbeatAdvice FleetServer::receive_heartbeat(const fleet::BackendRecord& record) {
  const MemberWorkMeter::Scope work(work_, MemberWork::kHeartbeats);
  const TimePoint now = loop_.now();
  soft_state_.on_heartbeat(record, now);
  if (!leader_confirmed_at_) {
    return HeartbeatAdvice::kNone;
  }
  if (now - *leader_confirmed_at_ > kIsolationTimeout) {
    return HeartbeatAdvice::kMoveAway;
  }
  return soft_state_.is_home_member(record, now) ? HeartbeatAdvice::kStayHere : HeartbeatAdvice::kNone;
}

bool FleetServer::conflicts_with_registry(const fleet::BackendRecord& record) const {
  const fleet::BackendRegistry& registry = soft_state_.registry();
  if (registry.contradicts(record)) {
    return true;
  }
  // A backend of an unconfigured service receives no requests, so it must not take an address from another
  // backend.
  return registry.find(record.id) == nullptr && configuration_version() > 0 && !has_service(record.service) &&
         registry.address_taken(record.address, record.id);
}

bool FleetServer::is_retired(const std::string& id, fleet::BackendState state) const {
  return core_->state().fleet().retired_state(id) >= state;
}

std::vector<fleet::RouterRecord> FleetServer::ready_routers(const std::string& zone, size_t limit) {
  std::vector<fleet::RouterRecord> routers =
      soft_state_.routers().select_for_callers(zone, limit, loop_.now());
  std::map<topology::Distance, size_t> count_by_distance;
  for (const fleet::RouterRecord& router : routers) {
    ++count_by_distance[settings_.topology.distance(zone, router.zone)];
  }
  for (const auto& [distance, count] : count_by_distance) {
    metrics_.count("stoat_control_directory_routers_total", {{"distance", topology::to_text(distance)}},
                   static_cast<double>(count));
  }
  return routers;
}

void FleetServer::maintain_soft_state() {
  soft_state_.expire(loop_.now());
  ready_router_count_ = soft_state_.routers().ready_count(loop_.now());
  choose_caches();
  const auto following_count =
      std::count_if(router_links_.begin(), router_links_.end(),
                    [](const auto& entry) { return entry.second.status.follows && !entry.second.silent; });
  metrics_.set("stoat_control_feeds", static_cast<double>(following_count));
  metrics_.set("stoat_control_followed_caches", static_cast<double>(cache_event_poller_.size()));
  metrics_.set("stoat_control_metered_tenants", static_cast<double>(soft_state_.quotas().metered()));
  for (const fleet::QuotaLevel& change : soft_state_.take_quota_changes()) {
    log_.event(events::TenantMeteringChanged{change.tenant, change.metered, change.level,
                                             soft_state_.quotas().unheard_share()});
  }
  traffic_->publish(metrics_, "stoat_control_sent_bytes_total");
  log_registry_changes();
  track_member_changes();
  drop_silent_routers();
  maintain_permits();
  maintain_slots();
  maintain_stream_records();
  store_soft_state();
}

uint64_t FleetServer::configuration_version() const { return core_->state().fleet().configuration().version; }

int64_t FleetServer::confirmed_age_ms() const {
  const consensus::Replica& replica = core_->replica();
  const bool current = replica.term_committed() && core_->applied_index() >= replica.commit_index();
  const TimePoint confirmed = replica.quorum_confirmed_at();
  if (!current || confirmed < leader_since_) {
    return -1;
  }
  // Rounded up, since this age limits how long a router may still accept an API key.
  return to_milliseconds(loop_.now() - confirmed) + 1;
}

fleet::FleetUpdate FleetServer::make_update(const RouterLink& link) const {
  const TimePoint now = loop_.now();
  fleet::FleetUpdate update;
  update.leads = core_->replica().leads();
  update.zone = settings_.zone;
  update.protocol_version = fleet::kProtocolVersion;
  if (const auto confirmed = confirmation()) {
    update.quorum_age_ms = to_milliseconds(now - confirmed->at) + 1;
    update.confirmed_version = confirmed->version;
  }
  const uint64_t newest = retired_backends_.revision();
  const uint64_t since = std::max(link.sent.retired, newest - std::min(newest, kMaxRecentRetirements));
  retired_backends_.visit_since(since, SIZE_MAX,
                                [&](const std::string& id, const fleet::BackendState* state) {
                                  if (state != nullptr) {
                                    update.retired.push_back({id, *state});
                                  }
                                });
  if (link.sent.weights != target_weights_revision_) {
    for (const auto& [model, history] : target_weights_) {
      const auto& versions = history.versions();
      const size_t skip = versions.size() > kMaxNamedVersions ? versions.size() - kMaxNamedVersions : 0;
      for (auto entry = std::next(versions.begin(), static_cast<std::ptrdiff_t>(skip));
           entry != versions.end(); ++entry) {
        update.weights.push_back({model, entry->first, to_milliseconds(now - entry->second)});
      }
    }
  }
  if (link.sent.members != members_revision_) {
    for (const consensus::Member& member : core_->replica().members().members) {
      update.members.push_back(member.address);
    }
  }
  if (link.sent.rollouts != rollouts_revision_) {
    for (const auto& [service, rollout] : core_->state().fleet().rollouts()) {
      update.rollouts.push_back(rollout);
    }
  }
  if (link.sent.mixed_services != mixed_services_revision_) {
    update.mixed_services.push_back(mixed_services_);
  }
  update.router_count = static_cast<uint32_t>(ready_router_count_);
  update.configuration_version = configuration_publisher_.version();
  return update;
}

void FleetServer::add_relays(RouterLink& link, fleet::FleetUpdate& update) const {
  if (!link.status.follows || link.status.protocol_version < fleet::kFirstRelayingVersion) {
    return;
  }
  const RelaySelection& selection = soft_state_.routers().relays();
  if (link.relays_revision == selection.revision()) {
    return;
  }
  link.relays_revision = selection.revision();
  fleet::RelayList relays{selection.select(link.status.router, kMaxRelays)};
  if (relays != link.sent_relays) {
    link.sent_relays = relays;
    update.relays.push_back(std::move(relays));
  }
}

SentRevisions FleetServer::newest_revisions() const {
  return {retired_backends_.revision(), target_weights_revision_, members_revision_, rollouts_revision_,
          mixed_services_revision_};
}

void FleetServer::reply_to_router(RouterLink& link) {
  fleet::FleetUpdate update = make_update(link);
  update.answers = link.status.sequence;
  update.acknowledged_spending_sequence = link.acknowledged_spending_sequence;
  add_relays(link, update);
  const bool configuration = needs_whole_configuration(link, true);
  if (configuration) {
    update.configuration.push_back(core_->state().fleet().configuration());
  }
  link.sent = newest_revisions();
  const wire::Frame frame = wire::make_frame(update);
  link.channel->send_frame(frame);
  if (configuration) {
    record_configuration_sent(link,
                              {link.status.router.name, configuration_version(), 0, frame.bytes.size()});
  }
}

void FleetServer::push_to_routers() {
  // Routers that have received the same revisions get the same frame.
  std::map<std::pair<SentRevisions, bool>, wire::Frame> frames;
  const SentRevisions newest = newest_revisions();
  for (auto& [name, link] : router_links_) {
    if (!link.channel->open()) {
      continue;
    }
    const bool configuration = needs_whole_configuration(link, false);
    wire::Frame& frame = frames[{link.sent, configuration}];
    if (frame.empty()) {
      fleet::FleetUpdate update = make_update(link);
      if (configuration) {
        update.configuration.push_back(core_->state().fleet().configuration());
      }
      frame = wire::make_frame(update);
    }
    link.sent = newest;
    link.channel->send_frame(frame);
    if (configuration) {
      record_configuration_sent(link,
                                {link.status.router.name, configuration_version(), 0, frame.bytes.size()});
    }
  }
}

void FleetServer::on_router_status(const ChannelPtr& channel, const fleet::RouterStatus& status) {
  const std::string& name = status.router.name;
  const bool known = router_links_.count(name) > 0;
  RouterLink& link = router_links_[name];
  const bool was_present = known && !link.silent;
  if (status.follows && (!was_present || link.status.router.ready != status.router.ready)) {
    const char* change = status.router.ready ? "ready" : was_present ? "not ready" : "appeared";
    log_.event(events::RouterChanged{name, change, status.configuration_version});
  }
  if (link.channel != channel) {
    link.reconnect(channel);
    incarnation_lookup_.on_connection_ended(name);
  }
  if (status.follows && !(known && link.status.follows)) {
    link.feed = {};
  }
  channel->set_meter(traffic_, settings_.topology.distance(settings_.zone, status.router.zone));
  link.status = status;
  link.last_status_at = loop_.now();
  link.silent = false;
  soft_state_.on_router(status.router, status.follows, loop_.now());
  record_applied_rollouts(name, status.rollouts);
  if (status.follows && !rollout_progress_.empty()) {
    soft_state_.add_applied_rollouts({name, status.rollouts});
  }
  reply_to_router(link);
}

void FleetServer::on_router_loads(const ChannelPtr& channel, const fleet::RouterLoads& loads) {
  soft_state_.on_router_loads(loads, loop_.now());
  const auto found = router_links_.find(loads.router);
  if (found != router_links_.end() && found->second.channel == channel) {
    found->second.acknowledged_spending_sequence =
        std::max(found->second.acknowledged_spending_sequence, loads.spending_sequence);
  }
}

void FleetServer::on_router_closed(const ChannelPtr& channel) {
  for (auto& [name, link] : router_links_) {
    if (link.channel == channel && !link.silent) {
      link.silent = true;
      soft_state_.forget_router(name);
      router_confirmations_.on_connection_closed(name, loop_.now());
      log_.event(events::RouterChanged{name, "closed", link.status.configuration_version});
    }
  }
}

void FleetServer::drop_silent_routers() {
  const TimePoint now = loop_.now();
  for (auto entry = router_links_.begin(); entry != router_links_.end();) {
    RouterLink& link = entry->second;
    const Duration limit = link.status.follows ? kFollowingRouterTimeout : kOtherRouterTimeout;
    if (!link.silent && now - link.last_status_at > limit) {
      link.silent = true;
      soft_state_.on_router_silent(entry->first, now);
      log_.event(events::RouterChanged{entry->first, "silent", link.status.configuration_version});
    }
    if (link.silent && !link.channel->open()) {
      entry = router_links_.erase(entry);
    } else {
      ++entry;
    }
  }
}

void FleetServer::record_named_weights() {
  for (const auto& [model, version] : core_->state().fleet().weights()) {
    if (target_weights_[model].newest() < version) {
      target_weights_[model].record_version(version, loop_.now());
      ++target_weights_revision_;
      log_.event(events::TargetWeightsChanged{model, version, 0});
    }
  }
}

void FleetServer::log_registry_changes() {
  const auto& table = soft_state_.registry().table();
  std::vector<events::BackendChanged> changes;
  logged_registry_revision_ = table.visit_since(
      logged_registry_revision_, SIZE_MAX, [&](const std::string& id, const fleet::BackendRecord* record) {
        const auto known = logged_registry_.find(id);
        const fleet::BackendRecord* before = known == logged_registry_.end() ? nullptr : &known->second;
        events::add_backend_changes(before, record, changes);
        if (record == nullptr) {
          logged_registry_.erase(id);
        } else {
          logged_registry_[id] = *record;
        }
      });
  events::log_backend_changes(log_, changes);
}

void FleetServer::log_retirement(const fleet::RetiredBackend& retired) const {
  const fleet::BackendRegistry& registry = soft_state_.registry();
  log_.event(events::BackendRetired{
      retired.id, retired.state == fleet::BackendState::kGone, registry.find(retired.id) != nullptr,
      registry.newest_incarnation(std::string(fleet::backend_name(retired.id)))});
}

void FleetServer::track_member_changes() {
  events::MembersChanged change;
  for (const consensus::Member& member : core_->replica().members().members) {
    ++(member.voter ? change.voters : change.learners);
    change.members += change.members.empty() ? "" : ",";
    change.members += member.voter ? member.address : "(" + member.address + ")";
  }
  if (change.members != logged_members_) {
    logged_members_ = change.members;
    ++members_revision_;
    log_.event(change);
  }
}

void FleetServer::handle_state_changes() {
  const fleet::FleetState& state = core_->state().fleet();
  if (state.revision() == handled_state_revision_) {
    return;
  }
  handled_state_revision_ = state.revision();
  record_named_weights();
  track_rollouts();
  for (const fleet::RetiredBackend& retired : state.retired()) {
    if (retired_backends_.set(retired.id, retired.state)) {
      log_retirement(retired);
      soft_state_.retire(retired.id, retired.state);
    }
  }
  if (state.configuration().version != logged_configuration_version_) {
    logged_configuration_version_ = state.configuration().version;
    configuration_applied_at_ = loop_.now();
    soft_state_.configure_quotas(state.configuration().tenants, loop_.now());
    log_.event(events::ConfigurationInForce{
        state.configuration().version, state.configuration().routes.size(),
        state.configuration().tenants.size(), to_milliseconds(loop_.now() - configuration_applied_at_)});
    software_history_.set_retention(fleet::software_retention(state.configuration()));
    configuration_publisher_.publish(state.configuration());
    push_configuration_change();
  }
  push_to_routers();
}

}  // namespace stoat::control
