#include "standins/engine_cache.h"

#include <algorithm>

namespace stoat::standins {

namespace {

constexpr size_t kMaxFeedEntries = 100000;

}  // namespace

void EngineCache::touch(Held& held) { by_use_.splice(by_use_.begin(), by_use_, held.place); }

size_t EngineCache::peek(const std::vector<cache::BlockHash>& chain) const {
  size_t count = 0;
  while (count < chain.size() && blocks_.count(chain[count]) > 0) {
    ++count;
  }
  return count;
}

size_t EngineCache::match(const std::vector<cache::BlockHash>& chain) {
  const size_t count = peek(chain);
  // Last block first, so that the head of the chain is the most recently used and goes last.
  for (size_t position = count; position-- > 0;) {
    touch(blocks_[chain[position]]);
  }
  return count;
}

void EngineCache::tell(bool stored, cache::BlockHash block, cache::BlockHash parent, TimePoint now) {
  ++last_sequence_;
  if (random_.chance(faults_.gap_probability)) {
    return;
  }
  feed_.push_back({now + faults_.delay, {last_sequence_, stored, block, parent}});
  if (feed_.size() > kMaxFeedEntries) {
    feed_.pop_front();
  }
}

void EngineCache::evict_one(TimePoint now) {
  const cache::BlockHash block = by_use_.back();
  by_use_.pop_back();
  const auto found = blocks_.find(block);
  const cache::BlockHash parent = found->second.parent;
  blocks_.erase(found);
  tell(false, block, parent, now);
}

void EngineCache::store(const std::vector<cache::BlockHash>& chain, size_t first, size_t last,
                        TimePoint now) {
  for (size_t position = first; position < std::min(last, chain.size()); ++position) {
    const cache::BlockHash block = chain[position];
    const auto found = blocks_.find(block);
    if (found != blocks_.end()) {
      touch(found->second);
      continue;
    }
    if (blocks_.size() >= capacity_) {
      evict_one(now);
    }
    const cache::BlockHash parent = position == 0 ? 0 : chain[position - 1];
    by_use_.push_front(block);
    blocks_[block] = Held{parent, by_use_.begin()};
    tell(true, block, parent, now);
  }
}

void EngineCache::clear(TimePoint now) {
  while (!blocks_.empty()) {
    evict_one(now);
  }
}

std::vector<CacheEvent> EngineCache::events_after(uint64_t sequence, size_t limit, TimePoint now) const {
  std::vector<CacheEvent> events;
  auto entry = std::upper_bound(
      feed_.begin(), feed_.end(), sequence,
      [](uint64_t value, const FeedEntry& candidate) { return value < candidate.event.sequence; });
  for (; entry != feed_.end() && events.size() < limit && entry->visible_at <= now; ++entry) {
    events.push_back(entry->event);
  }
  return events;
}

std::vector<CachedBlock> EngineCache::snapshot() const {
  std::vector<CachedBlock> blocks;
  blocks.reserve(blocks_.size());
  for (const auto& [block, held] : blocks_) {
    blocks.push_back({block, held.parent});
  }
  return blocks;
}

}  // namespace stoat::standins
