// RouterCore: engine homes, prefix ownership, load digests and quota leases among the routers of a region.
#include <algorithm>

#include "src/common/hash.h"
#include "src/common/zone.h"
#include "src/router/engine_homes.h"
#include "src/router/router_core.h"

namespace stoat::router {

namespace {

constexpr Duration kQuotaInterval = 1s;
constexpr size_t kMaxChangesPerMessage = 2000;
constexpr Duration kHotReviewInterval = 1s;
/// Polls of a feed that fail in a row before its engine counts as silent.
constexpr uint32_t kFailuresUntilSilent = 2;

}  // namespace

std::string RouterCore::region() const { return region_of(options_.zone); }

std::vector<std::string> RouterCore::region_routers() const {
  std::vector<std::string> names;
  for (const wire::Node& node : routers_) {
    if (region_of(node.zone) == region() && !node.draining) {
      names.push_back(node.name);
    }
  }
  return names;
}

std::vector<std::string> RouterCore::zone_routers(const std::string& zone) const {
  std::vector<std::string> names;
  for (const wire::Node& node : routers_) {
    if (node.zone == zone && !node.draining) {
      names.push_back(node.name);
    }
  }
  return names.empty() ? region_routers() : names;
}

std::set<std::string> RouterCore::own_engines() const {
  std::map<std::string, std::vector<std::string>> engines_by_zone;
  for (const auto& [name, backend] : configuration_.backends) {
    const bool has_feed = backend.kind != control::BackendKind::kPlain;
    if (has_feed && region_of(backend.zone) == region()) {
      engines_by_zone[backend.zone].push_back(name);
    }
  }
  std::set<std::string> own;
  for (const auto& [zone, engines] : engines_by_zone) {
    std::vector<std::string> routers = zone_routers(zone);
    if (routers.empty()) {
      routers.push_back(options_.name);  // just started: nobody else is known
    }
    for (const auto& [engine, home] : assign_engine_homes(engines, routers)) {
      if (home == options_.name) {
        own.insert(engine);
      }
    }
  }
  return own;
}

void RouterCore::assign_homes(TimePoint now) {
  const std::set<std::string> own = own_engines();
  for (const auto& [name, backend] : configuration_.backends) {
    outliers_.know(name);
    if (own.count(name) > 0 && feeds_.count(name) == 0) {
      // Spread the first polls, so that a herd of restarted routers does not ask all engines at once.
      feeds_[name].next_poll = now + Duration(random_.between(0, options_.feed_interval.count()));
    }
  }
  for (auto feed = feeds_.begin(); feed != feeds_.end();) {
    const bool stays = own.count(feed->first) > 0;
    if (!stays && feed->second.snapshot_under_way) {
      --snapshots_under_way_;
    }
    feed = stays ? std::next(feed) : feeds_.erase(feed);
  }
  for (auto& [name, state] : std::map<std::string, EngineState>(engines_.all())) {
    if (configuration_.backends.count(name) == 0 && state.outstanding == 0) {
      engines_.forget(name);
      outliers_.forget(name);
      index_.drop_engine(name);
    }
  }
}

void RouterCore::on_routers(const std::vector<wire::Node>& routers, TimePoint now) {
  const std::vector<std::string> before = region_routers();
  routers_ = routers;
  const std::vector<std::string> after = region_routers();
  // A router that is new, or has started anew, owns prefixes whose blocks it does not know yet.
  std::set<std::string> fresh;
  for (const wire::Node& node : routers_) {
    uint64_t& known_start = router_starts_[node.name];
    if (known_start != node.start_id) {
      known_start = node.start_id;
      fresh.insert(node.name);
    }
  }
  if (before != after) {
    owners_changed_at_ = now;
    quota_owners_.clear();
    for (auto& [key, row_limiter] : limiters_) {
      row_limiter.configure(configuration_.row(key.first, key.second), std::max<size_t>(1, after.size()),
                            now);
    }
  }
  assign_homes(now);
  if (!fresh.empty() || before != after) {
    // What is owned by another router than before, or by one that knows nothing, is sent; all else stays.
    const auto moved = [&](uint64_t root, const std::string& owner) {
      return fresh.count(owner) > 0 || rendezvous_first(root, before) != owner;
    };
    resend_blocks(moved, now);
  }
}

void RouterCore::on_leaving(const std::vector<std::string>& backends) { serving_.set_leaving(backends); }

void RouterCore::poll_feeds(TimePoint now) {
  for (auto& [engine, followed] : feeds_) {
    const auto backend = configuration_.backends.find(engine);
    if (backend == configuration_.backends.end()) {
      continue;
    }
    if (followed.snapshot_wanted && !followed.snapshot_under_way &&
        snapshots_under_way_ < options_.snapshots_at_once) {
      followed.snapshot_under_way = true;
      ++snapshots_under_way_;
      actions_.push_back(FetchSnapshot{engine, backend->second.endpoint});
    }
    if (!followed.poll_under_way && now >= followed.next_poll) {
      followed.poll_under_way = true;
      actions_.push_back(PollFeed{engine, backend->second.endpoint, followed.feed.last_sequence()});
    }
  }
}

void RouterCore::on_feed_page(const std::string& engine, const cache::FeedPage& page,
                              const wire::EngineLoad& load, TimePoint now) {
  const auto found = feeds_.find(engine);
  if (found == feeds_.end()) {
    return;
  }
  Followed& followed = found->second;
  followed.poll_under_way = false;
  followed.failures = 0;
  followed.backoff.reset();
  followed.next_poll = now + options_.feed_interval;
  followed.load = load;
  followed.load_known = true;
  const uint64_t gaps_before = followed.feed.gaps_found();
  const cache::FeedResult result = followed.feed.on_page(page);
  if (followed.feed.gaps_found() != gaps_before) {
    metrics_->count("stoat_router_feed_gaps_total");
  }
  followed.snapshot_wanted = result.needs_snapshot;
  if (result.reset || !result.changes.empty()) {
    send_changes(engine, page.incarnation, result.reset, result.changes, now);
  }
  engines_.on_load(load, now);
}

void RouterCore::on_feed_snapshot(const std::string& engine, const cache::FeedSnapshot& snapshot,
                                  TimePoint now) {
  const auto found = feeds_.find(engine);
  if (found == feeds_.end()) {
    return;
  }
  Followed& followed = found->second;
  if (followed.snapshot_under_way) {
    followed.snapshot_under_way = false;
    --snapshots_under_way_;
  }
  followed.snapshot_wanted = false;
  metrics_->count("stoat_router_feed_snapshots_total");
  const cache::FeedResult result = followed.feed.on_snapshot(snapshot);
  send_changes(engine, snapshot.incarnation, true, result.changes, now);
}

void RouterCore::on_feed_failure(const std::string& engine, TimePoint now) {
  const auto found = feeds_.find(engine);
  if (found == feeds_.end()) {
    return;
  }
  Followed& followed = found->second;
  if (followed.snapshot_under_way) {
    followed.snapshot_under_way = false;
    --snapshots_under_way_;
  }
  followed.poll_under_way = false;
  followed.next_poll = now + followed.backoff.next(random_);
  if (++followed.failures == kFailuresUntilSilent) {
    outliers_.on_failure(engine, now);
  }
}

wire::BlockChanges RouterCore::make_batch(const std::string& engine, uint64_t incarnation, bool reset,
                                          const std::vector<cache::BlockChange>& changes) {
  // Of a block that changed more than once only the last change counts.
  std::unordered_map<cache::BlockHash, bool> last;
  for (const cache::BlockChange& change : changes) {
    last[change.block] = change.stored;
  }
  wire::BlockChanges batch{engine, incarnation, reset, {}, {}};
  for (const cache::BlockChange& change : changes) {
    const auto found = last.find(change.block);
    if (found == last.end()) {
      continue;
    }
    (found->second ? batch.stored : batch.evicted).push_back(change.block);
    last.erase(found);
  }
  return batch;
}

void RouterCore::send_changes(const std::string& engine, uint64_t incarnation, bool reset,
                              const std::vector<cache::BlockChange>& changes, TimePoint now) {
  const std::vector<std::string> routers = region_routers();
  std::map<std::string, std::vector<cache::BlockChange>> by_owner;
  std::unordered_map<uint64_t, std::vector<std::string>> owners;
  for (const cache::BlockChange& change : changes) {
    auto [found, fresh] = owners.try_emplace(change.root);
    if (fresh) {
      found->second = owners_of(change.root, routers, now);
    }
    for (const std::string& owner : found->second) {
      by_owner[owner].push_back(change);
    }
  }
  if (reset) {
    for (const std::string& router : routers) {
      by_owner.try_emplace(router);
    }
    by_owner.try_emplace(options_.name);
  }
  for (const auto& [owner, changes_of_owner] : by_owner) {
    send_batch(owner, make_batch(engine, incarnation, reset, changes_of_owner));
  }
}

void RouterCore::send_batch(const std::string& owner, const wire::BlockChanges& batch) {
  if (owner.empty() || owner == options_.name) {
    apply_changes(batch);
    return;
  }
  const auto part_of = [](const std::vector<uint64_t>& blocks, size_t first) {
    const size_t begin = std::min(first, blocks.size());
    const size_t end = std::min(first + kMaxChangesPerMessage, blocks.size());
    return std::vector<uint64_t>(blocks.begin() + static_cast<std::ptrdiff_t>(begin),
                                 blocks.begin() + static_cast<std::ptrdiff_t>(end));
  };
  const size_t longest = std::max(batch.stored.size(), batch.evicted.size());
  for (size_t first = 0; first == 0 || first < longest; first += kMaxChangesPerMessage) {
    wire::BlockChanges part{batch.engine, batch.incarnation, batch.reset && first == 0, {}, {}};
    part.stored = part_of(batch.stored, first);
    part.evicted = part_of(batch.evicted, first);
    actions_.push_back(SendToRouter{owner, part});
  }
}

void RouterCore::apply_changes(const wire::BlockChanges& changes) {
  if (changes.reset) {
    index_.drop_engine(changes.engine);
  }
  const cache::EngineSlot slot = index_.slot_of(changes.engine, changes.incarnation);
  for (const cache::BlockHash block : changes.stored) {
    index_.store(slot, block);
  }
  if (!changes.evicted.empty()) {
    // What was expected there is gone as well.
    const cache::EngineSlot expected_slot = expected_->slot_of(changes.engine, changes.incarnation);
    const cache::EngineSlot before_slot = expected_before_->slot_of(changes.engine, changes.incarnation);
    for (const cache::BlockHash block : changes.evicted) {
      index_.remove(slot, block);
      expected_->remove(expected_slot, block);
      expected_before_->remove(before_slot, block);
    }
  }
  metrics_->count("stoat_router_block_changes_total", {}, static_cast<double>(changes.size()));
}

void RouterCore::resend_blocks(const std::function<bool(uint64_t root, const std::string& owner)>& wanted,
                               TimePoint now) {
  const std::vector<std::string> all = region_routers();
  for (const auto& [engine, followed] : feeds_) {
    if (followed.feed.incarnation() == 0) {
      continue;
    }
    std::map<std::string, std::vector<cache::BlockChange>> by_owner;
    for (const cache::BlockChange& change : followed.feed.everything()) {
      for (const std::string& owner : owners_of(change.root, all, now)) {
        if (wanted(change.root, owner)) {
          by_owner[owner].push_back(change);
        }
      }
    }
    for (const auto& [owner, changes] : by_owner) {
      send_batch(owner, make_batch(engine, followed.feed.incarnation(), false, changes));
    }
  }
}

void RouterCore::resend_blocks_of(const std::set<uint64_t>& roots, TimePoint now) {
  resend_blocks([&](uint64_t root, const std::string&) { return roots.count(root) > 0; }, now);
}

std::vector<std::string> RouterCore::owners_of(uint64_t root, const std::vector<std::string>& routers,
                                               TimePoint now) const {
  const uint32_t count = hot_prefixes_.owners(root, now);
  if (count <= 1) {
    return {rendezvous_first(root, routers)};
  }
  std::vector<std::string> owners = rendezvous_order(root, routers);
  owners.resize(std::min<size_t>(count, owners.size()));
  return owners;
}

void RouterCore::review_hot_prefixes(TimePoint now) {
  if (now - last_hot_review_ < kHotReviewInterval) {
    return;
  }
  const std::vector<std::string> routers = region_routers();
  const auto owners_now = [&](uint64_t root) { return hot_prefixes_.owners(root, now); };
  spread_by_me_.prefixes.clear();
  for (const wire::HotPrefix& hot :
       hot_detector_.review(now - last_hot_review_, routers.size(), owners_now)) {
    // Only the first owner decides; the others see a part of the same requests.
    if (rendezvous_first(hot.root, routers) == options_.name) {
      spread_by_me_.prefixes.push_back(hot);
    }
  }
  last_hot_review_ = now;
  hot_prefixes_.forget_expired(now);
  if (spread_by_me_.prefixes.empty()) {
    return;
  }
  metrics_->set("stoat_router_hot_prefixes", static_cast<double>(spread_by_me_.prefixes.size()));
  for (const std::string& router : routers) {
    if (router != options_.name) {
      actions_.push_back(SendToRouter{router, spread_by_me_});
    }
  }
  for (const SidecarId sidecar : sidecars_) {
    actions_.push_back(SendToSidecar{sidecar, spread_by_me_});
  }
  on_hot_prefixes(spread_by_me_, now);
}

void RouterCore::on_hot_prefixes(const wire::HotPrefixes& hot, TimePoint now) {
  std::set<uint64_t> newly_spread;
  for (const wire::HotPrefix& prefix : hot.prefixes) {
    if (hot_prefixes_.learn(prefix, now)) {
      newly_spread.insert(prefix.root);
    }
  }
  if (!newly_spread.empty()) {
    resend_blocks_of(newly_spread, now);
  }
}

void RouterCore::send_digest(TimePoint now) {
  if (now < next_digest_) {
    return;
  }
  next_digest_ = now + options_.digest_interval;
  wire::LoadDigest digest;
  digest.home = options_.name;
  digest.configuration_version = configuration_.version;
  for (const auto& [engine, followed] : feeds_) {
    if (followed.load_known && followed.failures < kFailuresUntilSilent) {
      digest.loads.push_back(followed.load);
    }
  }
  std::vector<std::string> others = region_routers();
  std::erase(others, options_.name);
  if (digest.loads.empty() || others.empty()) {
    return;
  }
  // A stated number of routers at a time, in turn: what a router sends does not grow with the region.
  const size_t count = std::min<size_t>(options_.digest_fanout, others.size());
  for (size_t sent = 0; sent < count; ++sent) {
    next_digest_target_ = (next_digest_target_ + 1) % others.size();
    actions_.push_back(SendToRouter{others[next_digest_target_], digest});
  }
}

void RouterCore::ask_quotas(TimePoint now) {
  if (now < next_quota_ask_) {
    return;
  }
  next_quota_ask_ = now + kQuotaInterval;
  const std::vector<std::string> routers = region_routers();
  for (auto& [key, row_limiter] : limiters_) {
    if (!row_limiter.limited() || !row_limiter.used()) {
      continue;  // what a router asks for grows with the tenants that it serves now, not with all that there
                 // are
    }
    const wire::QuotaRequest request = row_limiter.take_demand(options_.name, now - last_quota_ask_);
    const std::string owner =
        rendezvous_first(hash_bytes(key.second, static_cast<uint64_t>(key.first)), routers);
    if (owner.empty() || owner == options_.name) {
      on_quota_request(request, now);
    } else {
      actions_.push_back(SendToRouter{owner, request});
    }
  }
  last_quota_ask_ = now;
}

void RouterCore::on_quota_request(const wire::QuotaRequest& request, TimePoint now) {
  const auto key = std::make_pair(request.kind, request.name);
  const auto owner = quota_owners_.try_emplace(key, owners_changed_at_ + admission::kQuotaLease).first;
  const control::PolicyRow row = configuration_.row(request.kind, request.name);
  const wire::QuotaGrant grant =
      owner->second.grant(row, request, std::max<size_t>(1, region_routers().size()), now);
  if (request.router == options_.name) {
    limiter(request.kind, request.name, now).on_grant(grant, now);
  } else {
    actions_.push_back(SendToRouter{request.router, grant});
  }
}

void RouterCore::on_router_message(const wire::Message& message, TimePoint now) {
  if (const auto* changes = std::get_if<wire::BlockChanges>(&message.value)) {
    apply_changes(*changes);
  } else if (const auto* digest = std::get_if<wire::LoadDigest>(&message.value)) {
    for (const wire::EngineLoad& load : digest->loads) {
      engines_.on_load(load, now);
    }
    pump_queues(now);
  } else if (const auto* request = std::get_if<wire::QuotaRequest>(&message.value)) {
    on_quota_request(*request, now);
  } else if (const auto* hot = std::get_if<wire::HotPrefixes>(&message.value)) {
    on_hot_prefixes(*hot, now);
  } else if (const auto* grant = std::get_if<wire::QuotaGrant>(&message.value)) {
    limiter(grant->kind, grant->name, now).on_grant(*grant, now);
  }
}

}  // namespace stoat::router
