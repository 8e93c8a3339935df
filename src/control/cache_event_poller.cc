#include "src/control/cache_event_poller.h"

#include <algorithm>
#include <unordered_map>
#include <utility>

namespace stoat::control {

namespace {

/// A cache that can't be reached is asked again after so long.
constexpr Duration kRetryInterval = 300ms;
/// Between an answer and the next question: events gather meanwhile. With many caches the pause grows, which
/// bounds the questions of a member to some 500 a second.
constexpr Duration kLeastPause = 30ms;
constexpr Duration kPausePerCache = 2ms;
/// Caches that are begun to be read from the beginning with each poll, some 66 a second. Each may tell
/// thousands of events, and after a restart of all members hundreds are to be read: what engines and routers
/// wait for goes first.
constexpr size_t kFirstReadsPerPoll = 2;

/// The same changes with as few entries as will do: of one part the last, unless an older version of weights
/// says something of it later (CacheIndex passes that over where it does not count).
void compact(fleet::CacheChanges& changes) {
  std::unordered_map<uint64_t, size_t> newest;  // position by part
  std::vector<fleet::CachedPart> holdings;
  for (const fleet::CachedPart& holding : changes.holdings) {
    const auto [known, added] = newest.emplace(holding.part, holdings.size());
    if (!added && holdings[known->second].weights <= holding.weights) {
      holdings[known->second] = holding;
      continue;
    }
    known->second = holdings.size();
    holdings.push_back(holding);
  }
  if (changes.anew) {
    std::erase_if(holdings, [](const fleet::CachedPart& holding) { return holding.tokens == 0; });
  }
  changes.holdings = std::move(holdings);
}

}  // namespace

void CacheEventPoller::follow(const std::vector<FollowedCache>& caches) {
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

void CacheEventPoller::poll(TimePoint now) {
  const Duration pause = std::max(kLeastPause, kPausePerCache * static_cast<int64_t>(caches_.size()));
  std::vector<std::pair<TimePoint, const std::string*>> unread;  // since when they are due, and addresses
  for (auto& [address, cache] : caches_) {
    if (cache.asking || now < cache.next_question) {
      continue;
    }
    if (cache.followed.epoch == 0) {
      unread.emplace_back(cache.next_question, &address);
    } else {
      ask(address, cache, pause, now);
    }
  }
  const size_t begun = std::min(unread.size(), kFirstReadsPerPoll);
  std::partial_sort(unread.begin(), unread.begin() + static_cast<std::ptrdiff_t>(begun), unread.end());
  unread.resize(begun);
  for (const auto& [due, address] : unread) {
    ask(*address, caches_.at(*address), pause, now);
  }
}

void CacheEventPoller::ask(const std::string& address, Cache& cache, Duration pause, TimePoint now) {
  cache.asking = true;
  const uint64_t generation = cache.generation;
  engines_.poll_cache_events(address, cache.followed.next_event,
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

void CacheEventPoller::lose(Cache& cache) {
  cache.untold.holdings.clear();
  cache.untold.anew = true;
  cache.changed = true;
}

void CacheEventPoller::on_events(Cache& cache, const CacheEvents* events) {
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

std::vector<fleet::CacheChanges> CacheEventPoller::take_changes() {
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
    compact(changes);
    list.push_back(std::move(changes));
  }
  return list;
}

}  // namespace stoat::control
