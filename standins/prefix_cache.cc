#include "standins/prefix_cache.h"

namespace stoat::standins {

namespace {

constexpr size_t kMaxEvents = 20000;

}  // namespace

uint32_t PrefixCache::match(const std::string& salt, const std::vector<NamedPart>& parts) {
  uint32_t tokens = 0;
  for (const NamedPart& part : parts) {
    const auto found = entries_.find({salt, part.name});
    if (found == entries_.end()) {
      break;
    }
    lru_list_.splice(lru_list_.begin(), lru_list_, found->second);
    tokens += part.tokens;
  }
  return tokens;
}

void PrefixCache::store(const std::string& salt, const std::vector<NamedPart>& parts) {
  for (const NamedPart& part : parts) {
    if (entries_.count({salt, part.name}) > 0) {
      continue;
    }
    lru_list_.push_front({salt, part.name, part.tokens});
    entries_[{salt, part.name}] = lru_list_.begin();
    cached_tokens_ += part.tokens;
    record_event(salt, part.name, part.tokens);
  }
  while (cached_tokens_ > capacity_tokens_ && !lru_list_.empty()) {
    evict_least_recently_used();
  }
}

void PrefixCache::clear() {
  while (!lru_list_.empty()) {
    evict_least_recently_used();
  }
}

void PrefixCache::evict_least_recently_used() {
  const Entry evicted = lru_list_.back();
  lru_list_.pop_back();
  entries_.erase({evicted.salt, evicted.part});
  cached_tokens_ -= evicted.tokens;
  record_event(evicted.salt, evicted.part, 0);
}

void PrefixCache::record_event(const std::string& salt, const std::string& part, uint32_t tokens) {
  events_.push_back({++last_event_, salt, part, tokens});
  if (events_.size() > kMaxEvents) {
    events_.pop_front();
  }
}

std::vector<PrefixCacheEvent> PrefixCache::events_after(uint64_t number) const {
  std::vector<PrefixCacheEvent> later;
  for (const PrefixCacheEvent& event : events_) {
    if (event.number > number) {
      later.push_back(event);
    }
  }
  return later;
}

bool PrefixCache::has_all_events_after(uint64_t number) const {
  return events_.empty() || events_.front().number <= number + 1;
}

}  // namespace stoat::standins
