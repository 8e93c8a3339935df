/// FleetServer: the routers that follow this member, and the registry of back ends.
#include <algorithm>

#include "src/control/fleet_server.h"
#include "src/events/fleet_events.h"

namespace stoat::control {

namespace {

/// A router that has said nothing for so long is not listed.
constexpr Duration kRouterLease = 1500ms;
/// A follower leaves a new configuration to the leader for so long before it sends it as well.
constexpr Duration kFollowerDelay = 400ms;
/// News of routers are passed on together, this long after the first of them.
constexpr Duration kNewsDelay = 30ms;
/// Placements kept for one router until they are passed on.
constexpr size_t kMaxNews = 1024;
/// Named versions of a model that go with each update.
constexpr size_t kNamedVersions = 6;
/// Retirements that go with each update. A router hears a few updates a second.
constexpr size_t kRecentRetired = 64;

}  // namespace

void FleetServer::heartbeat(const fleet::BackendRecord& record) {
  if (!registry_.on_heartbeat(record, loop_.now())) {
    return;
  }
  unsent_heartbeats_.push_back(record);
  notice_changes();
}

bool FleetServer::retired(const std::string& id, fleet::BackendState state) const {
  return core_->state().fleet().retired_state(id) >= state;
}

void FleetServer::send_heartbeats() {
  if (unsent_heartbeats_.empty()) {
    return;
  }
  fleet::HeartbeatBatch batch;
  batch.records.swap(unsent_heartbeats_);
  for (const consensus::Member& member : core_->replica().members().members) {
    if (member.id == identity_.id) {
      continue;
    }
    if (const ChannelPtr channel = channel_to(member.address)) {
      channel->send(batch);
    }
  }
}

void FleetServer::keep_registry() {
  registry_.expire(loop_.now());
  choose_caches();
  notice_changes();
  note_members();
  const TimePoint now = loop_.now();
  std::erase_if(routers_, [&](const auto& entry) {
    const bool silent = now - entry.second.at > kRouterLease && !entry.second.channel->open();
    if (silent) {
      log_.event(events::RouterChanged{entry.first, "silent", entry.second.status.configuration_version});
    }
    return silent;
  });
}

void FleetServer::choose_caches() {
  if (!core_->replica().leads()) {
    return;
  }
  std::vector<FollowedCache> caches;
  for (const fleet::Service& service : core_->state().fleet().configuration().services) {
    if (!service.store_address.empty()) {
      caches.push_back({service.store_address, service.store_address, true});
    }
  }
  for (const fleet::BackendRecord& record : registry_.records()) {
    if (!record.models.empty()) {
      caches.push_back({record.id, record.address, false});
    }
  }
  caches_.follow(caches);
}

void FleetServer::follow_caches() {
  if (!core_->replica().leads()) {
    return;
  }
  caches_.poll(loop_.now());
  const fleet::CacheNews news = caches_.take_changes();
  if (news.caches.empty()) {
    return;
  }
  for (const fleet::CacheChanges& changes : news.caches) {
    if (changes.anew || !changes.followed) {
      log_.event(events::CacheFollowed{changes.holder, changes.followed});
    }
  }
  for (auto& [name, router] : routers_) {
    if (router.channel->open()) {
      router.channel->send(news);
    }
  }
}

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

std::vector<fleet::RouterRecord> FleetServer::ready_routers() const {
  std::vector<fleet::RouterRecord> list;
  const TimePoint now = loop_.now();
  for (const auto& [name, router] : routers_) {
    if (router.status.router.ready && now - router.at < kRouterLease) {
      list.push_back(router.status.router);
    }
  }
  return list;
}

std::vector<fleet::BackendLoad> FleetServer::loads_beside(const std::string& router) const {
  std::map<std::string, fleet::BackendLoad> sums;
  const TimePoint now = loop_.now();
  for (const auto& [name, seen] : routers_) {
    if (name == router || now - seen.at > kRouterLease) {
      continue;
    }
    for (const fleet::BackendLoad& load : seen.status.loads) {
      fleet::BackendLoad& sum = sums[load.backend];
      sum.backend = load.backend;
      sum.outstanding += load.outstanding;
      sum.prefill_tokens += load.prefill_tokens;
    }
  }
  std::vector<fleet::BackendLoad> list;
  list.reserve(sums.size());
  for (auto& [name, sum] : sums) {
    list.push_back(std::move(sum));
  }
  return list;
}

fleet::FleetUpdate FleetServer::make_update() const {
  const fleet::FleetState& state = core_->state().fleet();
  fleet::FleetUpdate update;
  update.leads = core_->replica().leads();
  update.quorum_age_ms = update.leads ? confirmed_age_ms() : -1;
  update.configuration_version = state.configuration().version;
  for (const NamedSince& named : named_) {
    update.weights.push_back({named.model, named.version, to_milliseconds(loop_.now() - named.at)});
  }
  const auto& retired = state.retired();
  const size_t skip = retired.size() > kRecentRetired ? retired.size() - kRecentRetired : 0;
  update.retired.assign(retired.begin() + static_cast<std::ptrdiff_t>(skip), retired.end());
  for (const consensus::Member& member : core_->replica().members().members) {
    update.members.push_back(member.address);
  }
  update.stores = caches_.live_stores();
  update.router_count = static_cast<uint32_t>(ready_routers().size());
  return update;
}

void FleetServer::update_router(RouterSeen& router, fleet::FleetUpdate update, bool prompted) {
  const fleet::FleetConfiguration& configuration = core_->state().fleet().configuration();
  const TimePoint now = loop_.now();
  if (router.status.configuration_version >= configuration.version) {
    router.stale_since = TimePoint(0);
  } else if (router.stale_since == TimePoint(0)) {
    router.stale_since = now;
  }
  const bool stale = router.stale_since != TimePoint(0);
  if (stale && (update.leads || now - router.stale_since >= kFollowerDelay)) {
    update.configuration.push_back(configuration);
    router.status.configuration_version = configuration.version;  // until it says otherwise
  }
  if (update.leads || !prompted) {
    update.registry_given = router.status.registry_digest != registry_.digest();
  } else {
    update.registry_given = router.status.registry_digest == 0;
  }
  if (update.registry_given) {
    update.registry = registry_.records();
    router.status.registry_digest = registry_.digest();
  }
  if (prompted && update.leads) {
    update.loads = loads_beside(router.status.router.name);
  }
  router.channel->send(update);
}

void FleetServer::on_router_status(const ChannelPtr& channel, const fleet::RouterStatus& status) {
  const bool known = routers_.count(status.router.name) > 0;
  RouterSeen& router = routers_[status.router.name];
  if (!known || router.status.router.ready != status.router.ready) {
    const char* change = status.router.ready ? "ready" : known ? "not ready" : "appeared";
    log_.event(events::RouterChanged{status.router.name, change, status.configuration_version});
  }
  const bool reconnected = router.channel != channel;
  router.status = status;
  router.channel = channel;
  router.at = loop_.now();
  fleet::FleetUpdate update = make_update();
  update.answers = status.sequence;
  update_router(router, std::move(update), true);
  if (reconnected && core_->replica().leads()) {
    channel->send(caches_.everything());
  }
}

void FleetServer::on_placement_news(const ChannelPtr& channel, const fleet::PlacementNews& news) {
  for (const fleet::ChainPlacement& placement : news.placements) {
    caches_.note_shared(placement.links);
  }
  for (auto& [name, router] : routers_) {
    if (router.channel == channel || router.news.placements.size() > kMaxNews) {
      continue;
    }
    router.news.placements.insert(router.news.placements.end(), news.placements.begin(),
                                  news.placements.end());
  }
  if (!news_waiting_) {
    news_waiting_ = true;
    loop_.after(kNewsDelay, [this] { pass_on_news(); });
  }
}

void FleetServer::pass_on_news() {
  news_waiting_ = false;
  for (auto& [name, router] : routers_) {
    if (!router.news.placements.empty() && router.channel->open()) {
      router.channel->send(router.news);
    }
    router.news.placements.clear();
  }
}

void FleetServer::push_to_routers() {
  const fleet::FleetUpdate update = make_update();
  for (auto& [name, router] : routers_) {
    if (router.channel->open()) {
      update_router(router, update, false);
    }
  }
}

void FleetServer::notice_named_weights() {
  for (const auto& [model, version] : core_->state().fleet().weights()) {
    const bool known = std::any_of(named_.begin(), named_.end(),
                                   [&, &name = model, &number = version](const NamedSince& named) {
                                     return named.model == name && named.version >= number;
                                   });
    if (!known) {
      named_.push_back({model, version, loop_.now()});
      log_.event(events::WeightsNamed{model, version, 0});
    }
  }
  while (named_.size() > kNamedVersions * core_->state().fleet().weights().size()) {
    named_.erase(named_.begin());
  }
}

void FleetServer::note_events() {
  const std::vector<fleet::BackendRecord> records = registry_.records();
  for (const events::BackendChanged& change : events::backend_changes(noted_registry_, records)) {
    log_.event(change);
  }
  noted_registry_ = records;
  const fleet::FleetConfiguration& configuration = core_->state().fleet().configuration();
  if (configuration.version != noted_configuration_) {
    noted_configuration_ = configuration.version;
    log_.event(events::ConfigurationInForce{configuration.version, configuration.routes.size(),
                                            configuration.tenants.size()});
  }
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
    log_.event(change);
  }
}

void FleetServer::notice_changes() {
  const fleet::FleetState& state = core_->state().fleet();
  if (state.revision() != noticed_revision_) {
    notice_named_weights();
    for (const fleet::RetiredBackend& retired : state.retired()) {
      registry_.retire(retired.id, retired.state);
    }
  }
  const bool retired_more = state.retired().size() != noticed_retired_;
  const std::vector<std::string> stores = caches_.live_stores();
  const bool changed = state.revision() != noticed_revision_ || registry_.digest() != noticed_digest_ ||
                       stores != noticed_stores_;
  if (changed) {
    note_events();
  }
  noticed_stores_ = stores;
  noticed_revision_ = state.revision();
  noticed_digest_ = registry_.digest();
  noticed_retired_ = state.retired().size();
  // The leader tells all that is new; the others only what must reach every router soon.
  if (changed && (core_->replica().leads() || retired_more)) {
    push_to_routers();
  }
}

}  // namespace stoat::control
