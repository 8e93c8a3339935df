#include "src/control/cache_index.h"

#include <algorithm>

namespace stoat::control {

namespace {

/// Maximum number of shared parts tracked. When there are more, all marks are dropped; parts are marked again
/// as routers report them.
constexpr size_t kMaxSharedParts = 200000;

}  // namespace

bool CacheIndex::apply(const std::string& follower, const fleet::CacheChanges& changes) {
  Cache& cache = caches_[changes.holder];
  const bool other = follower != cache.follower;
  if (changes.claim < cache.claim ||
      (other && changes.claim == cache.claim && !cache.follower.empty() && follower < cache.follower)) {
    return false;
  }
  cache.follower = follower;
  cache.claim = changes.claim;
  cache.store = changes.store;
  cache.followed = changes.is_subscribed;
  cache.epoch = changes.epoch;
  cache.next_event = changes.next_event;
  if (changes.is_full_state) {
    remove_parts(changes.holder, cache);
  }
  for (const fleet::CachedPart& holding : changes.holdings) {
    set_holding(changes.holder, cache, holding);
  }
  statuses_.set(changes.holder, {changes.store, changes.is_subscribed});
  return true;
}

void CacheIndex::set_holding(const std::string& holder, Cache& cache, const fleet::CachedPart& holding) {
  const auto known = cache.parts.find(holding.part);
  if (known != cache.parts.end() && holding.weights < known->second.weights) {
    return;  // a store drops parts of old weights long after it received those of new weights
  }
  if (holding.tokens == 0) {
    cache.parts.erase(holding.part);
    shared_holdings_.erase({holder, holding.part});
    remove_unshared_holder(holder, holding.part);
    return;
  }
  cache.parts[holding.part] = holding;
  if (shared(holding.part)) {
    shared_holdings_.set({holder, holding.part}, holding);
  } else {
    unshared_holders_[holding.part].insert(holder);
  }
}

void CacheIndex::remove_unshared_holder(const std::string& holder, uint64_t part) {
  const auto holders = unshared_holders_.find(part);
  if (holders != unshared_holders_.end() && holders->second.erase(holder) > 0 && holders->second.empty()) {
    unshared_holders_.erase(holders);
  }
}

void CacheIndex::remove_parts(const std::string& holder, Cache& cache) {
  for (const auto& [part, holding] : cache.parts) {
    shared_holdings_.erase({holder, part});
    remove_unshared_holder(holder, part);
  }
  cache.parts.clear();
}

CacheIndex::NewlyShared CacheIndex::mark_shared(const std::vector<uint64_t>& parts) {
  if (shared_parts_.size() > kMaxSharedParts) {
    reset_shared_parts();
  }
  NewlyShared added;
  for (const uint64_t part : parts) {
    if (!shared_parts_.insert(part).second) {
      continue;
    }
    added.parts.push_back(part);
    const auto holders = unshared_holders_.find(part);
    if (holders == unshared_holders_.end()) {
      continue;
    }
    for (const std::string& holder : holders->second) {
      const Cache& cache = caches_.at(holder);
      const fleet::CachedPart& holding = cache.parts.at(part);
      shared_holdings_.set({holder, part}, holding);
      if (cache.follower == self_) {
        added.own_holdings[holder].push_back(holding);
      }
    }
    unshared_holders_.erase(holders);
  }
  return added;
}

void CacheIndex::reset_shared_parts() {
  shared_parts_.clear();
  for (auto& [holder, cache] : caches_) {
    if (cache.follower != self_) {
      // The follower will report shared parts again once they are marked, but not what the cache drops before
      // that. The parts of the cache are therefore removed here.
      remove_parts(holder, cache);
      continue;
    }
    for (const auto& [part, holding] : cache.parts) {
      shared_holdings_.erase({holder, part});
      unshared_holders_[part].insert(holder);
    }
  }
}

bool CacheIndex::is_published(const fleet::ChainPlacement& placement) const {
  const Cache* cache = find(placement.holder);
  if (cache == nullptr || !cache->followed) {
    return false;
  }
  return std::all_of(placement.links.begin(), placement.links.end(), [&](uint64_t part) {
    const fleet::CachedPart* held = shared_holdings_.find({placement.holder, part});
    return held != nullptr && held->weights >= placement.weights;
  });
}

void CacheIndex::on_follower_lost(const std::string& follower) {
  for (auto& [holder, cache] : caches_) {
    if (cache.follower == follower && cache.followed) {
      cache.followed = false;
      statuses_.set(holder, {cache.store, false});
    }
  }
}

void CacheIndex::drop(const std::string& holder) {
  const auto known = caches_.find(holder);
  if (known == caches_.end()) {
    return;
  }
  remove_parts(holder, known->second);
  statuses_.erase(holder);
  caches_.erase(known);
}

void CacheIndex::retain(const std::function<bool(const std::string&)>& wanted) {
  std::vector<std::string> unwanted;
  for (const auto& [holder, cache] : caches_) {
    if (!wanted(holder)) {
      unwanted.push_back(holder);
    }
  }
  for (const std::string& holder : unwanted) {
    drop(holder);
  }
}

const CacheIndex::Cache* CacheIndex::find(const std::string& holder) const {
  const auto found = caches_.find(holder);
  return found == caches_.end() ? nullptr : &found->second;
}

fleet::CacheChanges CacheIndex::full_contents(const std::string& holder) const {
  fleet::CacheChanges changes;
  changes.holder = holder;
  changes.is_full_state = true;
  if (const Cache* cache = find(holder)) {
    changes.store = cache->store;
    changes.is_subscribed = cache->followed;
    changes.claim = cache->claim;
    changes.epoch = cache->epoch;
    changes.next_event = cache->next_event;
    for (const auto& [part, holding] : cache->parts) {
      changes.holdings.push_back(holding);
    }
  }
  return changes;
}

std::vector<std::string> CacheIndex::followed_by(const std::string& follower) const {
  std::vector<std::string> holders;
  for (const auto& [holder, cache] : caches_) {
    if (cache.follower == follower) {
      holders.push_back(holder);
    }
  }
  return holders;
}

}  // namespace stoat::control
