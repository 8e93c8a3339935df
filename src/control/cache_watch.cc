#include "src/control/cache_watch.h"

#include <algorithm>
#include <utility>

namespace stoat::control {

namespace {

/// A cache that can't be reached is asked again after so long.
constexpr Duration kRetryInterval = 300ms;
/// Between an answer and the next question: events gather meanwhile. With many caches the pause grows, which
/// bounds the questions to some 500 a second.
constexpr Duration kLeastPause = 30ms;
constexpr Duration kPausePerCache = 2ms;
/// Shared parts remembered; beyond that all are forgotten, and told anew as routers see them.
constexpr size_t kMaxShared = 200000;

}  // namespace

void CacheWatch::reset() { caches_.clear(); }

void CacheWatch::follow(const std::vector<FollowedCache>& caches) {
  std::map<std::string, const FollowedCache*> wanted;
  for (const FollowedCache& cache : caches) {
    wanted[cache.address] = &cache;
  }
  std::erase_if(caches_, [&](const auto& entry) {
    const auto found = wanted.find(entry.first);
    return found == wanted.end() || found->second->holder != entry.second.holder;
  });
  for (const auto& [address, cache] : wanted) {
    Cache& followed = caches_[address];
    if (followed.generation == 0) {
      followed.generation = ++last_generation_;
      followed.holder = cache->holder;
      followed.store = cache->store;
    }
  }
}

void CacheWatch::poll(TimePoint now) {
  const Duration pause = std::max(kLeastPause, kPausePerCache * static_cast<int64_t>(caches_.size()));
  for (auto& [address, cache] : caches_) {
    if (!cache.asking && now >= cache.next_question) {
      ask(address, cache, pause, now);
    }
  }
}

void CacheWatch::ask(const std::string& address, Cache& cache, Duration pause, TimePoint now) {
  cache.asking = true;
  const uint64_t generation = cache.generation;
  engines_.follow_cache(address, cache.next_event,
                        [this, address, generation, pause, now](const CacheEvents* events) {
                          const auto found = caches_.find(address);
                          if (found == caches_.end() || found->second.generation != generation) {
                            return;
                          }
                          Cache& asked = found->second;
                          asked.asking = false;
                          // Counted from the question: one that was held open has waited longer.
                          asked.next_question = now + (events == nullptr ? kRetryInterval : pause);
                          on_events(asked, events);
                        });
}

void CacheWatch::lose(Cache& cache) {
  cache.parts.clear();
  cache.untold.holdings.clear();
  cache.untold.anew = true;
  cache.changed = true;
}

void CacheWatch::on_events(Cache& cache, const CacheEvents* events) {
  const bool was_live = std::exchange(cache.live, events != nullptr);
  if (cache.live != was_live) {
    cache.changed = true;
  }
  if (events == nullptr) {
    return;
  }
  const bool restarted = cache.epoch != 0 && events->epoch != cache.epoch;
  const bool first = cache.epoch == 0;
  cache.epoch = events->epoch;
  if (first || restarted || events->gap) {
    lose(cache);
  }
  if (restarted) {
    cache.next_event = 0;  // these events may be later ones of the new start
    cache.next_question = TimePoint(0);
    return;
  }
  cache.next_event = events->next_event;
  for (const fleet::PartHolding& holding : events->holdings) {
    note_holding(cache, holding);
  }
}

void CacheWatch::note_holding(Cache& cache, const fleet::PartHolding& holding) {
  Holding& known = cache.parts[holding.part];
  if (holding.weights < known.weights) {
    return;  // a store drops parts of old weights long after it got those of new ones
  }
  known = {holding.weights, holding.tokens};
  if (holding.tokens == 0) {
    cache.parts.erase(holding.part);
  }
  if (shared(holding.part)) {
    cache.untold.holdings.push_back(holding);
    cache.changed = true;
  }
}

std::vector<std::string> CacheWatch::live_stores() const {
  std::vector<std::string> addresses;
  for (const auto& [address, cache] : caches_) {
    if (cache.live && cache.store) {
      addresses.push_back(address);
    }
  }
  return addresses;
}

void CacheWatch::note_shared(const std::vector<uint64_t>& parts) {
  if (shared_.size() > kMaxShared) {
    shared_.clear();
  }
  for (const uint64_t part : parts) {
    if (!shared_.insert(part).second) {
      continue;
    }
    for (auto& [address, cache] : caches_) {
      const auto held = cache.parts.find(part);
      if (held != cache.parts.end()) {
        cache.untold.holdings.push_back({part, held->second.weights, held->second.tokens});
        cache.changed = true;
      }
    }
  }
}

fleet::CacheNews CacheWatch::take_changes() {
  fleet::CacheNews news;
  for (auto& [address, cache] : caches_) {
    if (std::exchange(cache.changed, false)) {
      fleet::CacheChanges changes = std::exchange(cache.untold, {});
      changes.holder = cache.holder;
      changes.store = cache.store;
      changes.followed = cache.live;
      news.caches.push_back(std::move(changes));
    }
  }
  return news;
}

fleet::CacheNews CacheWatch::everything() const {
  fleet::CacheNews news;
  for (const auto& [address, cache] : caches_) {
    fleet::CacheChanges changes{cache.holder, cache.store, cache.live, true, {}};
    for (const auto& [part, holding] : cache.parts) {
      if (shared(part)) {
        changes.holdings.push_back({part, holding.weights, holding.tokens});
      }
    }
    news.caches.push_back(std::move(changes));
  }
  return news;
}

}  // namespace stoat::control
