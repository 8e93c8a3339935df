/// FleetServer: the routers. What binds (configurations, retirements, confirmations) goes to every router
/// from every member; what is known of the running fleet goes to those that follow this member, as
/// differences.
#include <algorithm>

#include "src/control/fleet_server.h"
#include "src/events/fleet_events.h"

namespace stoat::control {

namespace {

/// A router that follows this member tells its state each 400 ms; one that follows another, each 1.2 s.
constexpr Duration kFollowerSilence = 1500ms;
constexpr Duration kRouterSilence = 3500ms;
/// Members that a router does not follow leave a new configuration to the one that it follows for so long.
constexpr Duration kOthersDelay = 400ms;
/// A configuration that is on its way to a router is not sent again for so long.
constexpr Duration kConfigurationResend = 1s;
/// Retirements that a router which has just connected is told of; older ones are in no registry any more.
constexpr uint64_t kRecentRetired = 256;
/// While so many bytes wait for a router, no news are added: what is newer replaces what is older.
constexpr size_t kMaxUnsentNews = 64U << 10U;
/// A member without a confirmation of a leader for so long is taken to be cut off: what it hears does not
/// come to the others. An election takes less; a back end counts as lost after 4 s.
constexpr Duration kCutOff = 1s;
/// Named versions of a model that routers are told.
constexpr size_t kNamedVersions = 6;

}  // namespace

HeartbeatAdvice FleetServer::heartbeat(const fleet::BackendRecord& record) {
  const TimePoint now = loop_.now();
  knowledge_.on_heartbeat(record, now);
  if (!last_confirmed_) {
    return HeartbeatAdvice::kNone;
  }
  if (now - *last_confirmed_ > kCutOff) {
    return HeartbeatAdvice::kMove;
  }
  return knowledge_.is_home(record, now) ? HeartbeatAdvice::kStay : HeartbeatAdvice::kNone;
}

bool FleetServer::contradicts(const fleet::BackendRecord& record) const {
  const fleet::BackendRegistry& registry = knowledge_.registry();
  if (registry.contradicts(record)) {
    return true;
  }
  // A service that no configuration names serves nobody: its back end takes no address from another one.
  return registry.find(record.id) == nullptr && configuration_version() > 0 && !has_service(record.service) &&
         registry.address_taken(record.address, record.id);
}

std::string FleetServer::incarnation_of(const std::string& name) const {
  const fleet::BackendRecord* newest = knowledge_.registry().find_by_name(name);
  return newest == nullptr ? name : newest->id;
}

bool FleetServer::retired(const std::string& id, fleet::BackendState state) const {
  return core_->state().fleet().retired_state(id) >= state;
}

std::vector<fleet::RouterRecord> FleetServer::routers_for(const std::string& zone, size_t limit) {
  std::vector<fleet::RouterRecord> routers =
      knowledge_.routers().select_for_callers(zone, limit, loop_.now());
  std::map<topology::Distance, size_t> named;
  for (const fleet::RouterRecord& router : routers) {
    ++named[settings_.topology.distance(zone, router.zone)];
  }
  for (const auto& [distance, count] : named) {
    metrics_.count("stoat_control_directory_routers_total", {{"distance", topology::to_text(distance)}},
                   static_cast<double>(count));
  }
  return routers;
}

void FleetServer::keep_knowledge() {
  knowledge_.expire(loop_.now());
  ready_count_ = knowledge_.routers().ready_count(loop_.now());
  choose_caches();
  const auto feeds = std::count_if(routers_.begin(), routers_.end(), [](const auto& entry) {
    return entry.second.status.follows && !entry.second.silent;
  });
  metrics_.set("stoat_control_feeds", static_cast<double>(feeds));
  metrics_.set("stoat_control_followed_caches", static_cast<double>(watch_.size()));
  metrics_.set("stoat_control_metered_tenants", static_cast<double>(knowledge_.quotas().metered()));
  for (const fleet::QuotaLevel& change : knowledge_.take_quota_changes()) {
    log_.event(events::TenantMeteringChanged{change.tenant, change.metered, change.level,
                                             knowledge_.quotas().unheard_share()});
  }
  traffic_->publish(metrics_, "stoat_control_sent_bytes_total");
  note_backends();
  note_members();
  drop_silent_routers();
  keep_permits();
}

uint64_t FleetServer::configuration_version() const { return core_->state().fleet().configuration().version; }

int64_t FleetServer::confirmed_age_ms() const {
  const consensus::Replica& replica = core_->replica();
  const bool current = replica.term_committed() && core_->applied_index() >= replica.commit_index();
  const TimePoint confirmed = replica.quorum_confirmed_at();
  if (!current || confirmed < leader_since_) {
    return -1;
  }
  // Rounded up, since this bounds how long a key may still be honoured.
  return to_milliseconds(loop_.now() - confirmed) + 1;
}

fleet::FleetUpdate FleetServer::make_update(const RouterLink& link) const {
  const TimePoint now = loop_.now();
  fleet::FleetUpdate update;
  update.leads = core_->replica().leads();
  update.zone = settings_.zone;
  if (const auto confirmed = confirmation()) {
    update.quorum_age_ms = to_milliseconds(now - confirmed->at) + 1;
    update.confirmed_version = confirmed->version;
  }
  const uint64_t newest = retired_.revision();
  const uint64_t since = std::max(link.told.retired, newest - std::min(newest, kRecentRetired));
  retired_.visit_since(since, SIZE_MAX, [&](const std::string& id, const fleet::BackendState* state) {
    if (state != nullptr) {
      update.retired.push_back({id, *state});
    }
  });
  if (link.told.weights != named_revision_) {
    for (const auto& [model, history] : named_) {
      const auto& versions = history.versions();
      const size_t skip = versions.size() > kNamedVersions ? versions.size() - kNamedVersions : 0;
      for (auto entry = std::next(versions.begin(), static_cast<std::ptrdiff_t>(skip));
           entry != versions.end(); ++entry) {
        update.weights.push_back({model, entry->first, to_milliseconds(now - entry->second)});
      }
    }
  }
  if (link.told.members != members_revision_) {
    for (const consensus::Member& member : core_->replica().members().members) {
      update.members.push_back(member.address);
    }
  }
  if (link.told.rollouts != rollouts_revision_) {
    for (const auto& [service, rollout] : core_->state().fleet().rollouts()) {
      update.rollouts.push_back(rollout);
    }
  }
  update.router_count = static_cast<uint32_t>(ready_count_);
  return update;
}

bool FleetServer::needs_configuration(const RouterLink& link, bool prompted) const {
  const uint64_t version = configuration_version();
  const TimePoint now = loop_.now();
  if (link.status.configuration_version >= version) {
    return false;
  }
  if (link.sent_configuration_version >= version && now - link.configuration_sent_at < kConfigurationResend) {
    return false;
  }
  return link.status.follows || (prompted && now - configuration_applied_ >= kOthersDelay);
}

void FleetServer::answer_router(RouterLink& link) {
  fleet::FleetUpdate update = make_update(link);
  update.answers = link.status.sequence;
  update.acknowledged_spending_sequence = link.acknowledged_spending_sequence;
  if (needs_configuration(link, true)) {
    update.configuration.push_back(core_->state().fleet().configuration());
    link.sent_configuration_version = configuration_version();
    link.configuration_sent_at = loop_.now();
  }
  link.told = {retired_.revision(), named_revision_, members_revision_, rollouts_revision_};
  link.channel->send(update);
}

void FleetServer::push_to_routers() {
  // Routers that were told the same get the same frame.
  std::map<std::pair<SentRevisions, bool>, wire::Frame> frames;
  const SentRevisions newest{retired_.revision(), named_revision_, members_revision_, rollouts_revision_};
  for (auto& [name, link] : routers_) {
    if (!link.channel->open()) {
      continue;
    }
    const bool configuration = needs_configuration(link, false);
    wire::Frame& frame = frames[{link.told, configuration}];
    if (frame.empty()) {
      fleet::FleetUpdate update = make_update(link);
      if (configuration) {
        update.configuration.push_back(core_->state().fleet().configuration());
      }
      frame = wire::make_frame(update);
    }
    link.told = newest;
    if (configuration) {
      link.sent_configuration_version = configuration_version();
      link.configuration_sent_at = loop_.now();
    }
    link.channel->send_frame(frame);
  }
}

void FleetServer::on_router_status(const ChannelPtr& channel, const fleet::RouterStatus& status) {
  const std::string& name = status.router.name;
  const bool known = routers_.count(name) > 0;
  RouterLink& link = routers_[name];
  const bool heard_before = known && !link.silent;
  if (status.follows && (!heard_before || link.status.router.ready != status.router.ready)) {
    const char* change = status.router.ready ? "ready" : heard_before ? "not ready" : "appeared";
    log_.event(events::RouterChanged{name, change, status.configuration_version});
  }
  if (link.channel != channel) {
    link.reconnect(channel);
  }
  const bool begins = status.follows && !(known && link.status.follows);
  if (begins) {
    link.cursor = {};
  }
  channel->set_meter(traffic_, settings_.topology.distance(settings_.zone, status.router.zone));
  link.status = status;
  link.heard = loop_.now();
  link.silent = false;
  knowledge_.on_router(status.router, status.follows, loop_.now());
  note_applied(name, status.rollouts);
  if (status.follows && !progress_.empty()) {
    knowledge_.on_applied({name, status.rollouts});
  }
  answer_router(link);
  if (begins) {
    std::map<FeedCursor, FeedFrame> frames;
    feed_router(link, frames);
  }
}

void FleetServer::on_router_loads(const ChannelPtr& channel, const fleet::RouterLoads& loads) {
  knowledge_.on_router_loads(loads, loop_.now());
  const auto found = routers_.find(loads.router);
  if (found != routers_.end() && found->second.channel == channel) {
    found->second.acknowledged_spending_sequence =
        std::max(found->second.acknowledged_spending_sequence, loads.spending_sequence);
  }
}

void FleetServer::on_router_closed(const ChannelPtr& channel) {
  for (auto& [name, link] : routers_) {
    if (link.channel == channel && !link.silent) {
      link.silent = true;
      knowledge_.forget_router(name);
      confirmations_.on_connection_closed(name, loop_.now());
      log_.event(events::RouterChanged{name, "closed", link.status.configuration_version});
    }
  }
}

void FleetServer::drop_silent_routers() {
  const TimePoint now = loop_.now();
  for (auto entry = routers_.begin(); entry != routers_.end();) {
    RouterLink& link = entry->second;
    const Duration limit = link.status.follows ? kFollowerSilence : kRouterSilence;
    if (!link.silent && now - link.heard > limit) {
      link.silent = true;
      knowledge_.silence_router(entry->first, now);
      log_.event(events::RouterChanged{entry->first, "silent", link.status.configuration_version});
    }
    if (link.silent && !link.channel->open()) {
      entry = routers_.erase(entry);
    } else {
      ++entry;
    }
  }
}

void FleetServer::feed_routers() {
  std::map<FeedCursor, FeedFrame> frames;
  for (auto& [name, link] : routers_) {
    if (link.status.follows && !link.silent) {
      feed_router(link, frames);
    }
  }
}

void FleetServer::feed_router(RouterLink& link, std::map<FeedCursor, FeedFrame>& frames) {
  while (link.channel->open() && link.channel->unsent_bytes() < kMaxUnsentNews) {
    auto found = frames.find(link.cursor);
    if (found == frames.end()) {
      FeedFrame made;
      made.after = link.cursor;
      const fleet::FleetFeedUpdate news = knowledge_.next_news(made.after, loop_.now());
      made.complete = news.complete;
      if (!news.empty()) {
        made.frame = wire::make_frame(news);
      }
      found = frames.emplace(link.cursor, std::move(made)).first;
    }
    const FeedFrame& next = found->second;
    link.cursor = next.after;
    if (!next.frame.empty()) {
      link.channel->send_frame(next.frame);
    }
    if (next.complete || next.frame.empty()) {
      return;
    }
  }
}

void FleetServer::notice_named_weights() {
  for (const auto& [model, version] : core_->state().fleet().weights()) {
    if (named_[model].newest() < version) {
      named_[model].note(version, loop_.now());
      ++named_revision_;
      log_.event(events::TargetWeightsChanged{model, version, 0});
    }
  }
}

void FleetServer::note_backends() {
  const auto& table = knowledge_.registry().table();
  std::vector<events::BackendChanged> changes;
  noted_backends_ = table.visit_since(
      noted_backends_, SIZE_MAX, [&](const std::string& id, const fleet::BackendRecord* record) {
        const auto known = noted_registry_.find(id);
        const fleet::BackendRecord* before = known == noted_registry_.end() ? nullptr : &known->second;
        events::add_backend_changes(before, record, changes);
        if (record == nullptr) {
          noted_registry_.erase(id);
        } else {
          noted_registry_[id] = *record;
        }
      });
  events::log_backend_changes(log_, changes);
}

void FleetServer::note_members() {
  events::MembersChanged change;
  for (const consensus::Member& member : core_->replica().members().members) {
    ++(member.voter ? change.voters : change.learners);
    change.members += change.members.empty() ? "" : ",";
    change.members += member.voter ? member.address : "(" + member.address + ")";
  }
  if (change.members != noted_members_) {
    noted_members_ = change.members;
    ++members_revision_;
    log_.event(change);
  }
}

void FleetServer::notice_changes() {
  const fleet::FleetState& state = core_->state().fleet();
  if (state.revision() == noticed_revision_) {
    return;
  }
  noticed_revision_ = state.revision();
  notice_named_weights();
  note_rollouts();
  for (const fleet::RetiredBackend& retired : state.retired()) {
    if (retired_.set(retired.id, retired.state)) {
      knowledge_.retire(retired.id, retired.state);
    }
  }
  if (state.configuration().version != noted_configuration_) {
    noted_configuration_ = state.configuration().version;
    configuration_applied_ = loop_.now();
    knowledge_.configure_quotas(state.configuration().tenants, loop_.now());
    log_.event(events::ConfigurationInForce{state.configuration().version,
                                            state.configuration().routes.size(),
                                            state.configuration().tenants.size()});
  }
  push_to_routers();
}

}  // namespace stoat::control
