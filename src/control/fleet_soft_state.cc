#include "src/control/fleet_soft_state.h"

#include <algorithm>
#include <utility>

namespace stoat::control {

namespace {

/// Members exchange news at least every 200 ms; one that is silent for so long is taken to be cut off.
constexpr Duration kPeerLease = 800ms;
/// Placements kept for routers that are behind. Some hundred a second come in at the sizes meant.
constexpr size_t kMaxPlacements = 4096;
/// A router that reaches no member honours keys for about so long (gateway::ControlLinkOptions::key_lease).
constexpr Duration kAloneTime = 4500ms;

}  // namespace

FleetKnowledge::FleetKnowledge(KnowledgeOptions options)
    : options_(std::move(options)),
      registry_(options_.registry),
      routers_(options_.topology),
      quotas_(options_.quotas, options_.start_id, options_.started),
      cache_duty_(options_.address, options_.topology),
      caches_(options_.address) {}

bool FleetKnowledge::on_heartbeat(const fleet::BackendRecord& record, TimePoint now) {
  const uint64_t before = registry_.table().revision();
  if (!registry_.on_heartbeat(record, now)) {
    return false;
  }
  if (registry_.table().revision() == before) {
    untold_.marks.push_back({fleet::backend_id_hash(record.id), record.sequence});
  } else {
    untold_.heartbeats.push_back(record);
  }
  return true;
}

void FleetKnowledge::take_marks(const fleet::PeerUpdate& news, TimePoint now) {
  for (const fleet::CompactHeartbeat& mark : news.marks) {
    if (registry_.on_compact_heartbeat(mark.backend, mark.sequence, now) ==
        fleet::CompactHeartbeatResult::kUnknown) {
      missing_records_[news.sender].insert(mark.backend);
    }
  }
  for (const fleet::BackendRecordRequest& question : news.questions) {
    if (question.member != options_.address) {
      continue;
    }
    for (const uint64_t key : question.backends) {
      if (const fleet::BackendRecord* record = registry_.find_by_key(key)) {
        untold_.heartbeats.push_back(*record);
      }
    }
  }
}

bool FleetKnowledge::on_router(const fleet::RouterRecord& router, bool follows, TimePoint now) {
  silent_routers_.erase(router.name);
  const bool changed = routers_.on_status(router, now);
  const auto known = followers_.find(router.name);
  if (follows && (known == followers_.end() || known->second != router)) {
    followers_[router.name] = router;
    untold_.routers.push_back({router, true});
  } else if (!follows && known != followers_.end()) {
    followers_.erase(known);
    loads_.forget_router(router.name);
    untold_.routers.push_back({router, false});
  }
  return changed;
}

void FleetKnowledge::on_router_loads(const fleet::RouterLoads& loads, TimePoint now) {
  for (const std::string& backend : loads.unreachable) {
    registry_.note_unreachable(backend, loads.router, now);
    untold_.unreachable.push_back({loads.router, backend});
  }
  quotas_.on_router(loads.spending, now);
  answers_.on_router(loads);
  limits_.on_router(loads.limits);
  crashes_.on_router(loads.crashes, now);
  if (followers_.count(loads.router) > 0) {
    loads_.set_router_loads(loads.router, loads.loads);
  }
}

void FleetKnowledge::forget_router(const std::string& name) {
  routers_.forget(name);
  loads_.forget_router(name);
  const auto known = followers_.find(name);
  if (known != followers_.end()) {
    untold_.routers.push_back({known->second, false});
    followers_.erase(known);
  }
}

void FleetKnowledge::silence_router(const std::string& name, TimePoint now) {
  if (followers_.count(name) > 0) {
    silent_routers_[name] = now;
  }
  forget_router(name);
}

double FleetKnowledge::unheard_share(TimePoint now) const {
  const size_t total = routers_.size() + silent_routers_.size();
  if (total == 0) {
    return 0;
  }
  const double unheard = static_cast<double>(routers_.count_unheard(followers_, now)) +
                         admission::kDisconnectedRateFraction * static_cast<double>(silent_routers_.size());
  return unheard / static_cast<double>(total);
}

void FleetKnowledge::add_placement(const fleet::ChainPlacement& placement) {
  placements_.push_back(placement);
  if (placements_.size() > kMaxPlacements) {
    placements_.pop_front();
    ++placements_dropped_;
  }
}

void FleetKnowledge::on_placements(const std::vector<fleet::ChainPlacement>& placements) {
  for (const fleet::ChainPlacement& placement : placements) {
    const std::vector<uint64_t> added = caches_.mark_shared(placement.links);
    untold_.shared_parts.insert(untold_.shared_parts.end(), added.begin(), added.end());
    tell_shared(added);
    if (!caches_.told(placement)) {
      add_placement(placement);
      untold_.placements.push_back(placement);
    }
  }
}

void FleetKnowledge::on_cache_changes(const std::vector<fleet::CacheChanges>& changes) {
  for (const fleet::CacheChanges& change : changes) {
    const CacheIndex::Cache* known = caches_.find(change.holder);
    const bool same_head =
        known != nullptr && known->followed == change.followed && known->claim == change.claim;
    if (!caches_.apply(options_.address, change)) {
      continue;
    }
    fleet::CacheChanges told = only_shared(change);
    if (!same_head || told.anew || !told.holdings.empty()) {
      untold_.caches.push_back(std::move(told));
    }
  }
}

fleet::CacheChanges FleetKnowledge::only_shared(fleet::CacheChanges changes) const {
  std::erase_if(changes.holdings,
                [this](const fleet::CachedPart& holding) { return !caches_.shared(holding.part); });
  return changes;
}

void FleetKnowledge::tell_shared(const std::vector<uint64_t>& parts) {
  if (parts.empty()) {
    return;
  }
  for (const std::string& holder : caches_.followed_by(options_.address)) {
    const CacheIndex::Cache& cache = *caches_.find(holder);
    fleet::CacheChanges told{holder,      cache.store, cache.followed,   false,
                             cache.claim, cache.epoch, cache.next_event, {}};
    for (const uint64_t part : parts) {
      const auto held = cache.parts.find(part);
      if (held != cache.parts.end()) {
        told.holdings.push_back(held->second);
      }
    }
    if (!told.holdings.empty()) {
      untold_.caches.push_back(std::move(told));
    }
  }
}

void FleetKnowledge::set_loading(const std::string& id, bool loading) {
  registry_.set_loading(id, loading);
  untold_engines_.insert(id);
}

void FleetKnowledge::set_version(const std::string& id, const std::string& model, uint64_t version) {
  registry_.set_version(id, model, version);
  untold_engines_.insert(id);
}

void FleetKnowledge::clear_loading() {
  for (const fleet::BackendRecord& record : registry_.records()) {
    if (record.loading) {
      set_loading(record.id, false);
    }
  }
}

void FleetKnowledge::apply_engine_notes(const fleet::PeerUpdate& news) {
  if (!news.leads || news.term < notes_term_) {
    return;
  }
  notes_term_ = news.term;
  for (const fleet::EngineLoadState& note : news.engines) {
    registry_.set_loading(note.id, note.loading);
    for (const fleet::ModelVersion& entry : note.models) {
      registry_.set_version(note.id, entry.model, entry.version);
    }
  }
}

void FleetKnowledge::on_peer_news(const fleet::PeerUpdate& news, TimePoint now) {
  Peer& peer = peers_[news.sender];
  peer.zone = news.zone;
  peer.heard = now;
  routers_.on_member_heard(news.sender, now);
  // It has just started, and this is all that it knows.
  const bool first = !news.anew && news.number == 1 && peer.number == 0;
  if (news.anew) {
    loads_.forget_peer(news.sender);
    peer.complete = true;
  } else if (first) {
    peer.complete = true;
  } else if (news.number != peer.number + 1) {
    peer.complete = false;  // something of it was lost, or it has never told the whole
  }
  peer.number = news.number;
  if (std::find(news.incomplete.begin(), news.incomplete.end(), options_.address) != news.incomplete.end()) {
    whole_requests_.insert(news.sender);
  }
  for (const fleet::BackendRecord& record : news.heartbeats) {
    registry_.on_heartbeat(record, now);
  }
  take_marks(news, now);
  for (const fleet::RouterPresence& notice : news.routers) {
    silent_routers_.erase(notice.router.name);
    routers_.on_notice(news.sender, notice, now);
  }
  for (const fleet::UnreachableNotice& notice : news.unreachable) {
    registry_.note_unreachable(notice.backend, notice.router, now);
  }
  loads_.on_peer(news.sender, news.loads);
  limits_.on_peer(news.limits);
  crashes_.on_peer(news.crashes, now);
  for (const fleet::CacheChanges& changes : news.caches) {
    caches_.apply(news.sender, changes);
  }
  tell_shared(caches_.mark_shared(news.shared_parts));
  for (const fleet::ChainPlacement& placement : news.placements) {
    tell_shared(caches_.mark_shared(placement.links));
    add_placement(placement);
  }
  apply_engine_notes(news);
  using admission::SumsScope;
  const SumsScope scope = news.anew ? SumsScope::kAll : first ? SumsScope::kFirst : SumsScope::kChanged;
  quotas_.on_peer(news.sender, news.start_id, scope, news.spending, now);
  answers_.on_member(news.sender, news.start_id, news.answers);
  if (news.anew) {
    quotas_.adopt(news.windows, Duration(1000 * news.quotas_age_ms), now);
  }
}

void FleetKnowledge::expire(TimePoint now) {
  settled_ = settled_ || now - options_.started > options_.registry.lost_after;
  registry_.expire(now);
  routers_.expire(now);
  expire_limits();
  crashes_.expire(now);
  std::erase_if(silent_routers_, [now](const auto& entry) { return now - entry.second > kAloneTime; });
  quotas_.update(unheard_share(now), now);
  for (auto entry = peers_.begin(); entry != peers_.end();) {
    if (now - entry->second.heard <= kPeerLease) {
      ++entry;
      continue;
    }
    loads_.forget_peer(entry->first);
    caches_.on_follower_lost(entry->first);
    entry = peers_.erase(entry);
  }
}

void FleetKnowledge::expire_limits() {
  if (!settled_) {
    return;  // a limit may be known before its back end
  }
  for (const fleet::BackendLimit& limit : limits_.all()) {
    if (registry_.find(limit.backend) == nullptr) {
      limits_.forget(limit.backend);
    }
  }
}

fleet::PeerUpdate FleetKnowledge::take_peer_news(uint64_t term, bool leads, TimePoint now) {
  fleet::PeerUpdate news = std::exchange(untold_, {});
  news.sender = options_.address;
  news.zone = options_.zone;
  news.term = term;
  news.leads = leads;
  news.number = ++last_number_;
  news.loads = loads_.take_own_changes();
  news.start_id = quotas_.start_id();
  news.spending = quotas_.take_changed_sums();
  news.answers = answers_.take_changes();
  news.limits = limits_.take_changes();
  news.crashes = crashes_.take_changes(now);
  for (const auto& [address, peer] : peers_) {
    if (!peer.complete) {
      news.incomplete.push_back(address);
      missing_records_.erase(address);  // the whole has them
    }
  }
  for (const auto& [address, keys] : std::exchange(missing_records_, {})) {
    news.questions.push_back({address, {keys.begin(), keys.end()}});
  }
  for (const std::string& id : std::exchange(untold_engines_, {})) {
    if (const fleet::BackendRecord* record = registry_.find(id); record != nullptr && leads) {
      news.engines.push_back({id, record->loading, record->models});
    }
  }
  return news;
}

fleet::PeerUpdate FleetKnowledge::whole_for_peer(uint64_t term, bool leads, const fleet::TargetWeights& named,
                                                 TimePoint now) const {
  fleet::PeerUpdate news;
  news.sender = options_.address;
  news.zone = options_.zone;
  news.term = term;
  news.leads = leads;
  news.number = last_number_;
  news.anew = true;
  news.loads = loads_.own_sums();
  news.start_id = quotas_.start_id();
  news.spending = quotas_.sums();
  news.answers = answers_.own();
  news.limits = limits_.all();
  news.crashes = crashes_.all(now);
  news.windows = quotas_.windows(now);
  news.quotas_age_ms = to_milliseconds(quotas_.age(now));
  news.shared_parts = caches_.shared_parts();
  for (const auto& [name, router] : followers_) {
    news.routers.push_back({router, true});
  }
  for (const auto& [model, history] : named) {
    for (const auto& [version, since] : history.versions()) {
      news.weights.push_back({model, version, to_milliseconds(now - since)});
    }
  }
  for (const std::string& holder : caches_.followed_by(options_.address)) {
    news.caches.push_back(only_shared(caches_.whole(holder)));
  }
  for (const fleet::BackendRecord& record : registry_.records()) {
    if (registry_.has_heartbeat_since(record.id, now - options_.registry.overdue_after)) {
      news.heartbeats.push_back(record);
    }
    if (leads && record.loading) {
      news.engines.push_back({record.id, record.loading, record.models});
    }
  }
  return news;
}

std::set<std::string> FleetKnowledge::take_whole_requests() { return std::exchange(whole_requests_, {}); }

std::vector<LiveMember> FleetKnowledge::live_members(TimePoint now) const {
  std::vector<LiveMember> members{{options_.address, options_.zone}};
  for (const auto& [address, peer] : peers_) {
    if (now - peer.heard <= kPeerLease) {
      members.push_back({address, peer.zone});
    }
  }
  return members;
}

bool FleetKnowledge::is_home(const fleet::BackendRecord& record, TimePoint now) const {
  if (!settled_ && record.zone != options_.zone) {
    return false;  // nearer members may not have been heard yet
  }
  return responsible_member(record.id, record.zone, live_members(now), options_.topology) == options_.address;
}

FollowedCache FleetKnowledge::claim_cache(const std::string& holder, const std::string& address, bool store) {
  const CacheIndex::Cache* known = caches_.find(holder);
  const auto held = claimed_.find(holder);
  const bool superseded = known != nullptr && held != claimed_.end() && known->follower != options_.address;
  if (held != claimed_.end() && !superseded && held->second.address == address) {
    return held->second;
  }
  FollowedCache followed{holder, address, store, known == nullptr ? 1 : known->claim + 1, 0, 0};
  if (known != nullptr) {
    followed.epoch = known->epoch;
    followed.next_event = known->next_event;
  }
  fleet::CacheChanges claim = caches_.whole(holder);
  claim.store = store;
  claim.followed = false;
  claim.claim = followed.claim;
  on_cache_changes({claim});
  return followed;
}

std::vector<FollowedCache> FleetKnowledge::choose_caches(
    const std::map<std::string, std::string>& store_zones, TimePoint now) {
  if (cache_duty_.update(registry_.table(), store_zones, live_members(now), now)) {
    caches_.keep([this](const std::string& holder) { return cache_duty_.knows(holder); });
  }
  for (const std::string& holder : cache_duty_.take_removed_backends()) {
    caches_.drop(holder);
  }
  std::map<std::string, FollowedCache> chosen;
  std::vector<FollowedCache> list;
  list.reserve(cache_duty_.mine().size());
  for (const auto& [holder, cache] : cache_duty_.mine()) {
    const FollowedCache followed = claim_cache(holder, cache.address, cache.store);
    chosen.emplace(holder, followed);
    list.push_back(followed);
  }
  claimed_ = std::move(chosen);
  return list;
}

}  // namespace stoat::control
