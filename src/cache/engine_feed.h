/// Follows one engine's event feed at its home router: finds gaps and new incarnations, and turns events into
/// changes that carry the root of their chain.
#pragma once

#include <unordered_map>
#include <vector>

#include "src/cache/block_chain.h"
#include "src/wire/messages.h"

namespace stoat::cache {

/// One event as the engine tells it.
struct FeedEvent {
  uint64_t sequence = 0;
  bool stored = true;
  BlockHash block = 0;
  BlockHash parent = 0;  ///< 0: the block begins a chain
};

/// One page of an engine's feed.
struct FeedPage {
  uint64_t incarnation = 0;
  uint64_t oldest_sequence = 0;  ///< the oldest that the engine can still tell
  std::vector<FeedEvent> events;
};

/// The whole content of an engine's cache.
struct FeedSnapshot {
  uint64_t incarnation = 0;
  uint64_t sequence = 0;                                ///< events after this one are not in the snapshot
  std::vector<std::pair<BlockHash, BlockHash>> blocks;  ///< block and parent, in any order
};

/// One change of an engine's cache.
struct BlockChange {
  BlockHash root = 0;   ///< hash of the chain's first block
  BlockHash block = 0;  ///< hash of the changed block
  bool stored = true;   ///< false: evicted
};

/// What a page or a snapshot changed.
struct FeedResult {
  bool reset = false;  ///< all that was known before is void
  bool needs_snapshot = false;
  std::vector<BlockChange> changes;
};

/// See the head of this file.
class EngineFeed {
 public:
  /// Takes a page. After a gap nothing is taken until a snapshot has come.
  FeedResult on_page(const FeedPage& page);
  /// Takes a snapshot; the result tells everything anew.
  FeedResult on_snapshot(const FeedSnapshot& snapshot);
  /// All that is known, as stored changes; for a router that newly owns a part of it.
  std::vector<BlockChange> everything() const;

  uint64_t incarnation() const { return incarnation_; }
  uint64_t last_sequence() const { return last_sequence_; }
  size_t block_count() const { return roots_.size(); }
  uint64_t gaps_found() const { return gaps_found_; }

 private:
  uint64_t incarnation_ = 0;
  uint64_t last_sequence_ = 0;
  bool awaiting_snapshot_ = false;
  uint64_t gaps_found_ = 0;
  std::unordered_map<BlockHash, BlockHash> roots_;  ///< block to the root of its chain
};

}  // namespace stoat::cache
