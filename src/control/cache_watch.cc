#include "src/control/cache_watch.h"

#include <algorithm>
#include <utility>

namespace stoat::control {

namespace {

/// A cache that can't be reached is asked again after so long.
constexpr Duration kRetryInterval = 300ms;
/// Between an answer and the next question: events gather meanwhile. With many caches the pause grows, which
/// bounds the questions of a member to some 500 a second.
constexpr Duration kLeastPause = 30ms;
constexpr Duration kPausePerCache = 2ms;

}  // namespace

void CacheWatch::follow(const std::vector<FollowedCache>& caches) {
  std::map<std::string, const FollowedCache*> wanted;
  for (const FollowedCache& cache : caches) {
    wanted[cache.address] = &cache;
  }
  std::erase_if(caches_, [&](const auto& entry) {
    const auto found = wanted.find(entry.first);
    const FollowedCache& followed = entry.second.followed;
    return found == wanted.end() || found->second->holder != followed.holder ||
           found->second->claim != followed.claim;
  });
  for (const auto& [address, wanted_cache] : wanted) {
    Cache& cache = caches_[address];
    if (cache.generation == 0) {
      cache.generation = ++last_generation_;
      cache.followed = *wanted_cache;
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
  engines_.follow_cache(address, cache.followed.next_event,
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
  FollowedCache& followed = cache.followed;
  const bool restarted = followed.epoch != 0 && events->epoch != followed.epoch;
  const bool first = followed.epoch == 0;
  followed.epoch = events->epoch;
  if (first || restarted || events->gap) {
    lose(cache);
  }
  if (restarted) {
    followed.next_event = 0;  // these events may be later ones of the new start
    cache.next_question = TimePoint(0);
    return;
  }
  followed.next_event = events->next_event;
  if (!events->holdings.empty()) {
    cache.untold.holdings.insert(cache.untold.holdings.end(), events->holdings.begin(),
                                 events->holdings.end());
    cache.changed = true;
  }
}

std::vector<fleet::CacheChanges> CacheWatch::take_changes() {
  std::vector<fleet::CacheChanges> list;
  for (auto& [address, cache] : caches_) {
    if (!std::exchange(cache.changed, false)) {
      continue;
    }
    fleet::CacheChanges changes = std::exchange(cache.untold, {});
    changes.holder = cache.followed.holder;
    changes.store = cache.followed.store;
    changes.followed = cache.live;
    changes.claim = cache.followed.claim;
    changes.epoch = cache.followed.epoch;
    changes.next_event = cache.followed.next_event;
    list.push_back(std::move(changes));
  }
  return list;
}

}  // namespace stoat::control
