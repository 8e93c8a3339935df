#include "src/control/cache_index.h"

#include <algorithm>

namespace stoat::control {

namespace {

/// Shared parts remembered; beyond that all are forgotten, and told anew as routers see them.
constexpr size_t kMaxShared = 200000;

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
  cache.followed = changes.followed;
  cache.epoch = changes.epoch;
  cache.next_event = changes.next_event;
  if (changes.anew) {
    clear(changes.holder, cache);
  }
  for (const fleet::CachedPart& holding : changes.holdings) {
    hold(changes.holder, cache, holding);
  }
  heads_.set(changes.holder, {changes.store, changes.followed});
  return true;
}

void CacheIndex::hold(const std::string& holder, Cache& cache, const fleet::CachedPart& holding) {
  const auto known = cache.parts.find(holding.part);
  if (known != cache.parts.end() && holding.weights < known->second.weights) {
    return;  // a store drops parts of old weights long after it got those of new ones
  }
  if (holding.tokens == 0) {
    cache.parts.erase(holding.part);
    holdings_.erase({holder, holding.part});
    forget_unshared(holder, holding.part);
    return;
  }
  cache.parts[holding.part] = holding;
  if (shared(holding.part)) {
    holdings_.set({holder, holding.part}, holding);
  } else {
    unshared_holders_[holding.part].insert(holder);
  }
}

void CacheIndex::forget_unshared(const std::string& holder, uint64_t part) {
  const auto holders = unshared_holders_.find(part);
  if (holders != unshared_holders_.end() && holders->second.erase(holder) > 0 && holders->second.empty()) {
    unshared_holders_.erase(holders);
  }
}

void CacheIndex::clear(const std::string& holder, Cache& cache) {
  for (const auto& [part, holding] : cache.parts) {
    holdings_.erase({holder, part});
    forget_unshared(holder, part);
  }
  cache.parts.clear();
}

std::vector<uint64_t> CacheIndex::mark_shared(const std::vector<uint64_t>& parts) {
  if (shared_.size() > kMaxShared) {
    forget_shared();
  }
  std::vector<uint64_t> added;
  for (const uint64_t part : parts) {
    if (!shared_.insert(part).second) {
      continue;
    }
    added.push_back(part);
    const auto holders = unshared_holders_.find(part);
    if (holders == unshared_holders_.end()) {
      continue;
    }
    for (const std::string& holder : holders->second) {
      holdings_.set({holder, part}, caches_.at(holder).parts.at(part));
    }
    unshared_holders_.erase(holders);
  }
  return added;
}

void CacheIndex::forget_shared() {
  shared_.clear();
  for (auto& [holder, cache] : caches_) {
    if (cache.follower != self_) {
      clear(holder, cache);  // its follower tells anew what is shared, and does not tell what it drops before
      continue;
    }
    for (const auto& [part, holding] : cache.parts) {
      holdings_.erase({holder, part});
      unshared_holders_[part].insert(holder);
    }
  }
}

bool CacheIndex::told(const fleet::ChainPlacement& placement) const {
  const Cache* cache = find(placement.holder);
  if (cache == nullptr || !cache->followed) {
    return false;
  }
  return std::all_of(placement.links.begin(), placement.links.end(), [&](uint64_t part) {
    const fleet::CachedPart* held = holdings_.find({placement.holder, part});
    return held != nullptr && held->weights >= placement.weights;
  });
}

void CacheIndex::on_follower_lost(const std::string& follower) {
  for (auto& [holder, cache] : caches_) {
    if (cache.follower == follower && cache.followed) {
      cache.followed = false;
      heads_.set(holder, {cache.store, false});
    }
  }
}

void CacheIndex::drop(const std::string& holder) {
  const auto known = caches_.find(holder);
  if (known == caches_.end()) {
    return;
  }
  clear(holder, known->second);
  heads_.erase(holder);
  caches_.erase(known);
}

void CacheIndex::keep(const std::function<bool(const std::string&)>& wanted) {
  std::vector<std::string> others;
  for (const auto& [holder, cache] : caches_) {
    if (!wanted(holder)) {
      others.push_back(holder);
    }
  }
  for (const std::string& holder : others) {
    drop(holder);
  }
}

const CacheIndex::Cache* CacheIndex::find(const std::string& holder) const {
  const auto found = caches_.find(holder);
  return found == caches_.end() ? nullptr : &found->second;
}

fleet::CacheChanges CacheIndex::whole(const std::string& holder) const {
  fleet::CacheChanges changes;
  changes.holder = holder;
  changes.anew = true;
  if (const Cache* cache = find(holder)) {
    changes.store = cache->store;
    changes.followed = cache->followed;
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
