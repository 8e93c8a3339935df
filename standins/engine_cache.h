/// The stand-in engine's prefix cache: a limited number of blocks, least recently used evicted first, and the
/// event feed that tells of its changes late and with gaps.
#pragma once

#include <cstdint>
#include <deque>
#include <list>
#include <unordered_map>
#include <vector>

#include "src/cache/block_chain.h"
#include "src/common/random.h"
#include "src/common/time.h"

namespace stoat::standins {

/// One change of the cache, as the feed tells it.
struct CacheEvent {
  uint64_t sequence = 0;
  bool stored = true;
  cache::BlockHash block = 0;
  cache::BlockHash parent = 0;  ///< 0: the block begins a chain
};

/// A block and the one before it.
struct CachedBlock {
  cache::BlockHash block = 0;
  cache::BlockHash parent = 0;
};

/// How the feed misbehaves.
struct FeedFaults {
  Duration delay{200ms};
  double gap_probability = 0;  ///< that an event is left out, its sequence number used up
};

/// See the head of this file.
class EngineCache {
 public:
  EngineCache(size_t capacity_blocks, const FeedFaults& faults, uint64_t seed)
      : capacity_(capacity_blocks), faults_(faults), random_(seed) {}

  /// How many leading blocks of the chain are held; refreshes their use.
  size_t match(const std::vector<cache::BlockHash>& chain);
  /// As match(), but without refreshing.
  size_t peek(const std::vector<cache::BlockHash>& chain) const;
  /// Stores the chain's blocks from `first` up to `last` (not included).
  void store(const std::vector<cache::BlockHash>& chain, size_t first, size_t last, TimePoint now);
  void clear(TimePoint now);

  /// Events after `sequence` that are old enough to be visible, at most `limit`.
  std::vector<CacheEvent> events_after(uint64_t sequence, size_t limit, TimePoint now) const;
  /// The oldest sequence number that the feed can still tell; asking from before it is a gap.
  uint64_t oldest_sequence() const {
    return feed_.empty() ? last_sequence_ + 1 : feed_.front().event.sequence;
  }
  uint64_t last_sequence() const { return last_sequence_; }
  /// All blocks held now, parents before children, and the sequence number that this state stands for.
  std::vector<CachedBlock> snapshot() const;
  size_t size() const { return blocks_.size(); }

 private:
  struct Held {
    cache::BlockHash parent = 0;
    std::list<cache::BlockHash>::iterator place;
  };
  struct FeedEntry {
    TimePoint visible_at;
    CacheEvent event;
  };
  void touch(Held& held);
  void tell(bool stored, cache::BlockHash block, cache::BlockHash parent, TimePoint now);
  void evict_one(TimePoint now);

  size_t capacity_;
  FeedFaults faults_;
  Random random_;
  std::unordered_map<cache::BlockHash, Held> blocks_;
  std::list<cache::BlockHash> by_use_;  ///< front: most recently used
  std::deque<FeedEntry> feed_;
  uint64_t last_sequence_ = 0;
};

}  // namespace stoat::standins
