#include "src/control/cache_event_poller.h"

#include <algorithm>
#include <unordered_map>
#include <utility>

namespace stoat::control {

namespace {

/// Delay before an unreachable cache is polled again.
constexpr Duration kUnreachableRetryInterval = 300ms;
/// Minimum time from one poll of a cache to the next, in which events accumulate. With many caches the
/// minimum is kPollIntervalPerCache times their number, which limits a member to about 500 polls a second.
constexpr Duration kMinPollInterval = 30ms;
constexpr Duration kPollIntervalPerCache = 2ms;
/// Number of caches whose initial read is started by each call of poll(), about 66 a second. An initial read
/// may return thousands of events, and after a restart of all members hundreds of caches must be read; the
/// limit keeps them from delaying the requests that engines and routers wait for.
constexpr size_t kInitialReadsPerCall = 2;

/// Keeps the last entry for each part only. If an entry for older weights follows one for newer weights, both
/// are kept; CacheIndex ignores the older one where it does not apply. When the changes replace the full
/// contents, parts that are no longer held are omitted.
void compact(fleet::CacheChanges& changes) {
  std::unordered_map<uint64_t, size_t> newest;  // index into `holdings`, by part
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
  if (changes.is_full_state) {
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
  const Duration interval =
      std::max(kMinPollInterval, kPollIntervalPerCache * static_cast<int64_t>(caches_.size()));
  std::vector<std::pair<TimePoint, const std::string*>> initial_reads;  // due times and addresses
  for (auto& [address, cache] : caches_) {
    if (cache.polling || now < cache.next_poll) {
      continue;
    }
    if (cache.followed.epoch == 0) {
      initial_reads.emplace_back(cache.next_poll, &address);
    } else {
      poll_cache(address, cache, interval, now);
    }
  }
  const size_t read_count = std::min(initial_reads.size(), kInitialReadsPerCall);
  std::partial_sort(initial_reads.begin(), initial_reads.begin() + static_cast<std::ptrdiff_t>(read_count),
                    initial_reads.end());
  initial_reads.resize(read_count);
  for (const auto& [due, address] : initial_reads) {
    poll_cache(*address, caches_.at(*address), interval, now);
  }
}

void CacheEventPoller::poll_cache(const std::string& address, Cache& cache, Duration interval,
                                  TimePoint now) {
  cache.polling = true;
  const uint64_t generation = cache.generation;
  engines_.poll_cache_events(address, cache.followed.next_event,
                             [this, address, generation, interval, now](const CacheEvents* events) {
                               const auto found = caches_.find(address);
                               if (found == caches_.end() || found->second.generation != generation) {
                                 return;
                               }
                               Cache& polled = found->second;
                               polled.polling = false;
                               // Counted from the start of the poll: a long poll that was held open has
                               // already waited.
                               polled.next_poll =
                                   now + (events == nullptr ? kUnreachableRetryInterval : interval);
                               on_events(polled, events);
                             });
}

void CacheEventPoller::discard_contents(Cache& cache) {
  cache.unreported.holdings.clear();
  cache.unreported.is_full_state = true;
  cache.report_due = true;
}

void CacheEventPoller::on_events(Cache& cache, const CacheEvents* events) {
  const bool was_reachable = std::exchange(cache.reachable, events != nullptr);
  if (cache.reachable != was_reachable) {
    cache.report_due = true;
  }
  if (events == nullptr) {
    return;
  }
  FollowedCache& followed = cache.followed;
  const bool restarted = followed.epoch != 0 && events->epoch != followed.epoch;
  const bool initial_read = followed.epoch == 0;
  followed.epoch = events->epoch;
  if (initial_read || restarted || events->gap) {
    discard_contents(cache);
  }
  if (restarted) {
    followed.next_event = 0;  // these events may not be the first ones of the new epoch
    cache.next_poll = TimePoint(0);
    return;
  }
  followed.next_event = events->next_event;
  if (!events->holdings.empty()) {
    cache.unreported.holdings.insert(cache.unreported.holdings.end(), events->holdings.begin(),
                                     events->holdings.end());
    cache.report_due = true;
  }
}

std::vector<fleet::CacheChanges> CacheEventPoller::take_changes() {
  std::vector<fleet::CacheChanges> list;
  for (auto& [address, cache] : caches_) {
    if (!std::exchange(cache.report_due, false)) {
      continue;
    }
    fleet::CacheChanges changes = std::exchange(cache.unreported, {});
    changes.holder = cache.followed.holder;
    changes.store = cache.followed.store;
    changes.is_subscribed = cache.reachable;
    changes.claim = cache.followed.claim;
    changes.epoch = cache.followed.epoch;
    changes.next_event = cache.followed.next_event;
    compact(changes);
    list.push_back(std::move(changes));
  }
  return list;
}

}  // namespace stoat::control
