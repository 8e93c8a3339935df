#include "src/control/fleet_soft_state.h"

#include <algorithm>
#include <utility>

namespace stoat::control {

namespace {

/// Members exchange updates at least every 200 ms; one that is silent for this long is considered cut off.
constexpr Duration kPeerTimeout = 800ms;
/// Placements kept for routers that lag behind. A few hundred arrive per second at the intended fleet sizes.
constexpr size_t kMaxPlacements = 4096;
/// A router that cannot reach any member continues to accept API keys for about this long
/// (gateway::ControlLinkOptions::key_lease).
constexpr Duration kIsolatedServeTime = 4500ms;

}  // namespace

FleetSoftState::FleetSoftState(SoftStateOptions options)
    : options_(std::move(options)),
      registry_(options_.registry),
      routers_(options_.topology),
      quotas_(options_.quotas, options_.start_id, options_.started),
      assigned_caches_(options_.address, options_.topology),
      caches_(options_.address) {}

bool FleetSoftState::on_heartbeat(const fleet::BackendRecord& record, TimePoint now) {
  const uint64_t before = registry_.table().revision();
  if (!registry_.on_heartbeat(record, now)) {
    return false;
  }
  if (registry_.table().revision() == before && peers_speak(fleet::kFirstStatedVersion)) {
    pending_update_.compact_heartbeats.push_back({fleet::backend_id_hash(record.id), record.sequence});
  } else {
    pending_update_.heartbeats.push_back(record);
  }
  return true;
}

bool FleetSoftState::peers_speak(fleet::ProtocolVersion version) const {
  return std::all_of(peers_.begin(), peers_.end(),
                     [version](const auto& entry) { return entry.second.protocol_version >= version; });
}

void FleetSoftState::apply_compact_heartbeats(const fleet::PeerUpdate& peer_update, TimePoint now) {
  for (const fleet::CompactHeartbeat& mark : peer_update.compact_heartbeats) {
    if (registry_.on_compact_heartbeat(mark.backend, mark.sequence, now) ==
        fleet::CompactHeartbeatResult::kUnknown) {
      missing_record_keys_[peer_update.sender].insert(mark.backend);
    }
  }
  for (const fleet::BackendRecordRequest& request : peer_update.record_requests) {
    if (request.member != options_.address) {
      continue;
    }
    for (const uint64_t key : request.backends) {
      if (const fleet::BackendRecord* record = registry_.find_by_key(key)) {
        pending_update_.heartbeats.push_back(*record);
      }
    }
  }
}

bool FleetSoftState::peer_speaks(const std::string& address, fleet::ProtocolVersion version) const {
  const auto found = peers_.find(address);
  return found != peers_.end() && found->second.protocol_version >= version;
}

bool FleetSoftState::on_router(const fleet::RouterRecord& router, bool follows, TimePoint now) {
  silent_routers_.erase(router.name);
  const bool changed = routers_.on_status(router, now);
  const auto known = following_routers_.find(router.name);
  if (follows && (known == following_routers_.end() || known->second != router)) {
    following_routers_[router.name] = router;
    pending_update_.routers.push_back({router, true});
  } else if (!follows && known != following_routers_.end()) {
    following_routers_.erase(known);
    loads_.forget_router(router.name);
    pending_update_.routers.push_back({router, false});
  }
  return changed;
}

void FleetSoftState::on_router_loads(const fleet::RouterLoads& loads, TimePoint now) {
  for (const std::string& backend : loads.unreachable) {
    registry_.note_unreachable(backend, loads.router, now);
    pending_update_.unreachable.push_back({loads.router, backend});
  }
  quotas_.record_router_spending(loads.spending, now);
  answers_.on_router(loads);
  limits_.on_router(loads.limits);
  brittle_.on_router(loads.brittle);
  crashes_.on_router(loads.crashes, now);
  if (following_routers_.count(loads.router) > 0) {
    loads_.set_router_loads(loads.router, loads.loads);
  }
}

void FleetSoftState::forget_router(const std::string& name) {
  routers_.forget(name);
  loads_.forget_router(name);
  const auto known = following_routers_.find(name);
  if (known != following_routers_.end()) {
    pending_update_.routers.push_back({known->second, false});
    following_routers_.erase(known);
  }
}

void FleetSoftState::on_router_silent(const std::string& name, TimePoint now) {
  if (following_routers_.count(name) > 0) {
    silent_routers_[name] = now;
  }
  forget_router(name);
}

double FleetSoftState::unheard_share(TimePoint now) const {
  const size_t total = routers_.size() + silent_routers_.size();
  if (total == 0) {
    return 0;
  }
  const double unheard = static_cast<double>(routers_.count_without_recent_status(following_routers_, now)) +
                         admission::kDisconnectedRateFraction * static_cast<double>(silent_routers_.size());
  return unheard / static_cast<double>(total);
}

void FleetSoftState::add_placement(const fleet::ChainPlacement& placement) {
  placements_.push_back(placement);
  if (placements_.size() > kMaxPlacements) {
    placements_.pop_front();
    ++dropped_placements_;
  }
}

void FleetSoftState::on_placements(const std::vector<fleet::ChainPlacement>& placements) {
  for (const fleet::ChainPlacement& placement : placements) {
    const CacheIndex::NewlyShared added = caches_.mark_shared(placement.links);
    pending_update_.shared_parts.insert(pending_update_.shared_parts.end(), added.parts.begin(),
                                        added.parts.end());
    announce_shared_parts(added);
    if (!caches_.is_published(placement)) {
      add_placement(placement);
      pending_update_.placements.push_back(placement);
    }
  }
}

void FleetSoftState::on_cache_changes(const std::vector<fleet::CacheChanges>& changes) {
  for (const fleet::CacheChanges& change : changes) {
    const CacheIndex::Cache* known = caches_.find(change.holder);
    const bool same_claim =
        known != nullptr && known->followed == change.is_subscribed && known->claim == change.claim;
    if (!caches_.apply(options_.address, change)) {
      continue;
    }
    fleet::CacheChanges shared_changes = filter_shared(change);
    if (!same_claim || shared_changes.is_full_state || !shared_changes.holdings.empty()) {
      pending_update_.caches.push_back(std::move(shared_changes));
    }
  }
}

fleet::CacheChanges FleetSoftState::filter_shared(fleet::CacheChanges changes) const {
  std::erase_if(changes.holdings,
                [this](const fleet::CachedPart& holding) { return !caches_.shared(holding.part); });
  return changes;
}

void FleetSoftState::announce_shared_parts(const CacheIndex::NewlyShared& added) {
  for (const auto& [holder, holdings] : added.own_holdings) {
    const CacheIndex::Cache& cache = *caches_.find(holder);
    pending_update_.caches.push_back(
        {holder, cache.store, cache.followed, false, cache.claim, cache.epoch, cache.next_event, holdings});
  }
}

void FleetSoftState::set_loading(const std::string& id, bool loading) {
  registry_.set_loading(id, loading);
  pending_engine_ids_.insert(id);
}

void FleetSoftState::set_version(const std::string& id, const std::string& model, uint64_t version) {
  registry_.set_version(id, model, version);
  pending_engine_ids_.insert(id);
}

void FleetSoftState::clear_loading() {
  for (const fleet::BackendRecord& record : registry_.records()) {
    if (record.loading) {
      set_loading(record.id, false);
    }
  }
}

void FleetSoftState::apply_engine_load_states(const fleet::PeerUpdate& peer_update) {
  if (!peer_update.leads || peer_update.term < engine_load_states_term_) {
    return;
  }
  engine_load_states_term_ = peer_update.term;
  for (const fleet::EngineLoadState& load_state : peer_update.engines) {
    registry_.set_loading(load_state.id, load_state.loading);
    for (const fleet::ModelVersion& entry : load_state.models) {
      registry_.set_version(load_state.id, entry.model, entry.version);
    }
  }
}

void FleetSoftState::on_peer_update(const fleet::PeerUpdate& peer_update, TimePoint now) {
  Peer& peer = peers_[peer_update.sender];
  peer.zone = peer_update.zone;
  peer.last_update = now;
  peer.protocol_version = peer_update.protocol_version;
  routers_.on_member_update(peer_update.sender, now);
  // The first update of a member that has just started contains its full state.
  const bool is_first = !peer_update.is_full_state && peer_update.number == 1 && peer.last_number == 0;
  if (peer_update.is_full_state) {
    loads_.forget_peer(peer_update.sender);
    peer.complete = true;
  } else if (is_first) {
    peer.complete = true;
  } else if (peer_update.number != peer.last_number + 1) {
    peer.complete = false;  // an update was lost, or the sender never sent its full state
  }
  peer.last_number = peer_update.number;
  if (std::find(peer_update.incomplete.begin(), peer_update.incomplete.end(), options_.address) !=
      peer_update.incomplete.end()) {
    full_state_requests_.insert(peer_update.sender);
  }
  for (const fleet::BackendRecord& record : peer_update.heartbeats) {
    registry_.on_heartbeat(record, now);
  }
  apply_compact_heartbeats(peer_update, now);
  for (const fleet::RouterPresence& notice : peer_update.routers) {
    silent_routers_.erase(notice.router.name);
    routers_.on_notice(peer_update.sender, notice, now);
  }
  for (const fleet::UnreachableNotice& notice : peer_update.unreachable) {
    registry_.note_unreachable(notice.backend, notice.router, now);
  }
  loads_.on_peer(peer_update.sender, peer_update.loads);
  limits_.on_peer(peer_update.limits);
  brittle_.on_peer(peer_update.brittle);
  crashes_.on_peer(peer_update.crashes, now);
  for (const fleet::CacheChanges& changes : peer_update.caches) {
    caches_.apply(peer_update.sender, changes);
  }
  announce_shared_parts(caches_.mark_shared(peer_update.shared_parts));
  for (const fleet::ChainPlacement& placement : peer_update.placements) {
    announce_shared_parts(caches_.mark_shared(placement.links));
    add_placement(placement);
  }
  apply_engine_load_states(peer_update);
  using admission::SumsScope;
  const SumsScope scope = peer_update.is_full_state ? SumsScope::kAll
                          : is_first                ? SumsScope::kFirst
                                                    : SumsScope::kChanged;
  quotas_.record_peer_sums(peer_update.sender, peer_update.start_id, scope, peer_update.spending, now);
  answers_.on_member(peer_update.sender, peer_update.start_id, peer_update.answers);
  if (peer_update.is_full_state) {
    quotas_.adopt_window_spending(peer_update.windows, Duration(1000 * peer_update.quotas_age_ms), now);
  }
}

void FleetSoftState::expire(TimePoint now) {
  warmed_up_ = warmed_up_ || now - options_.started > options_.registry.lost_after;
  registry_.expire(now);
  routers_.expire(now);
  expire_announcements();
  crashes_.expire(now);
  std::erase_if(silent_routers_,
                [now](const auto& entry) { return now - entry.second > kIsolatedServeTime; });
  quotas_.update(unheard_share(now), now);
  for (auto entry = peers_.begin(); entry != peers_.end();) {
    if (now - entry->second.last_update <= kPeerTimeout) {
      ++entry;
      continue;
    }
    loads_.forget_peer(entry->first);
    caches_.on_follower_lost(entry->first);
    entry = peers_.erase(entry);
  }
}

void FleetSoftState::expire_announcements() {
  if (!warmed_up_) {
    return;  // an announcement may be known before its backend
  }
  const auto is_registered = [this](const std::string& backend) {
    return registry_.find(backend) != nullptr;
  };
  limits_.retain(is_registered);
  brittle_.retain(is_registered);
}

fleet::PeerUpdate FleetSoftState::take_peer_update(uint64_t term, bool leads, TimePoint now) {
  fleet::PeerUpdate peer_update = std::exchange(pending_update_, {});
  peer_update.sender = options_.address;
  peer_update.zone = options_.zone;
  peer_update.term = term;
  peer_update.leads = leads;
  peer_update.protocol_version = fleet::kProtocolVersion;
  peer_update.number = ++last_update_number_;
  peer_update.loads = loads_.take_own_changes();
  peer_update.start_id = quotas_.start_id();
  peer_update.spending = quotas_.take_changed_sums();
  peer_update.answers = answers_.take_changes();
  peer_update.limits = limits_.take_changes();
  peer_update.brittle = brittle_.take_changes();
  peer_update.crashes = crashes_.take_changes(now);
  for (const auto& [address, peer] : peers_) {
    if (!peer.complete) {
      peer_update.incomplete.push_back(address);
      missing_record_keys_.erase(address);  // the requested full state contains them
    }
  }
  for (const auto& [address, keys] : std::exchange(missing_record_keys_, {})) {
    peer_update.record_requests.push_back({address, {keys.begin(), keys.end()}});
  }
  for (const std::string& id : std::exchange(pending_engine_ids_, {})) {
    if (const fleet::BackendRecord* record = registry_.find(id); record != nullptr && leads) {
      peer_update.engines.push_back({id, record->loading, record->models});
    }
  }
  return peer_update;
}

fleet::PeerUpdate FleetSoftState::full_state_for_peer(uint64_t term, bool leads,
                                                      const fleet::TargetWeights& named,
                                                      TimePoint now) const {
  fleet::PeerUpdate peer_update;
  peer_update.sender = options_.address;
  peer_update.zone = options_.zone;
  peer_update.term = term;
  peer_update.leads = leads;
  peer_update.protocol_version = fleet::kProtocolVersion;
  peer_update.number = last_update_number_;
  peer_update.is_full_state = true;
  peer_update.loads = loads_.own_sums();
  peer_update.start_id = quotas_.start_id();
  peer_update.spending = quotas_.sums();
  peer_update.answers = answers_.own();
  peer_update.limits = limits_.all();
  peer_update.brittle = brittle_.all();
  peer_update.crashes = crashes_.all(now);
  peer_update.windows = quotas_.windows(now);
  peer_update.quotas_age_ms = to_milliseconds(quotas_.age(now));
  peer_update.shared_parts = caches_.shared_parts();
  for (const auto& [name, router] : following_routers_) {
    peer_update.routers.push_back({router, true});
  }
  for (const auto& [model, history] : named) {
    for (const auto& [version, since] : history.versions()) {
      peer_update.weights.push_back({model, version, to_milliseconds(now - since)});
    }
  }
  for (const std::string& holder : caches_.followed_by(options_.address)) {
    peer_update.caches.push_back(filter_shared(caches_.full_contents(holder)));
  }
  for (const fleet::BackendRecord& record : registry_.records()) {
    if (registry_.has_heartbeat_since(record.id, now - options_.registry.overdue_after)) {
      peer_update.heartbeats.push_back(record);
    }
    if (leads && record.loading) {
      peer_update.engines.push_back({record.id, record.loading, record.models});
    }
  }
  return peer_update;
}

std::set<std::string> FleetSoftState::take_full_state_requests() {
  return std::exchange(full_state_requests_, {});
}

std::vector<LiveMember> FleetSoftState::live_members(TimePoint now) const {
  std::vector<LiveMember> members{{options_.address, options_.zone}};
  for (const auto& [address, peer] : peers_) {
    if (now - peer.last_update <= kPeerTimeout) {
      members.push_back({address, peer.zone});
    }
  }
  return members;
}

bool FleetSoftState::is_home_member(const fleet::BackendRecord& record, TimePoint now) const {
  if (!warmed_up_ && record.zone != options_.zone) {
    return false;  // updates from nearer members may not have arrived yet
  }
  return responsible_member(record.id, record.zone, live_members(now), options_.topology) == options_.address;
}

FollowedCache FleetSoftState::claim_cache(const std::string& holder, const std::string& address, bool store) {
  const CacheIndex::Cache* known = caches_.find(holder);
  const auto held = claimed_caches_.find(holder);
  const bool superseded =
      known != nullptr && held != claimed_caches_.end() && known->follower != options_.address;
  if (held != claimed_caches_.end() && !superseded && held->second.address == address) {
    return held->second;
  }
  FollowedCache followed{holder, address, store, known == nullptr ? 1 : known->claim + 1, 0, 0};
  if (known != nullptr) {
    followed.epoch = known->epoch;
    followed.next_event = known->next_event;
  }
  fleet::CacheChanges claim = caches_.full_contents(holder);
  claim.store = store;
  claim.is_subscribed = false;
  claim.claim = followed.claim;
  on_cache_changes({claim});
  return followed;
}

std::vector<FollowedCache> FleetSoftState::choose_caches(
    const std::map<std::string, std::string>& store_zones, TimePoint now) {
  if (assigned_caches_.update(registry_.table(), store_zones, live_members(now), now)) {
    caches_.retain([this](const std::string& holder) { return assigned_caches_.contains(holder); });
  }
  for (const std::string& holder : assigned_caches_.take_removed_backends()) {
    caches_.drop(holder);
  }
  std::map<std::string, FollowedCache> chosen;
  std::vector<FollowedCache> list;
  list.reserve(assigned_caches_.assigned().size());
  for (const auto& [holder, cache] : assigned_caches_.assigned()) {
    const FollowedCache followed = claim_cache(holder, cache.address, cache.store);
    chosen.emplace(holder, followed);
    list.push_back(followed);
  }
  claimed_caches_ = std::move(chosen);
  return list;
}

}  // namespace stoat::control
