/// The stand-in store of kept KV blocks without its network: a limited number of blocks, least recently used
/// evicted first, an incarnation that changes at each start, and an event feed like the engines'.
#pragma once

#include <vector>

#include "standins/engine_cache.h"

namespace stoat::standins {

/// Size and faults of a stand-in store.
struct KvStoreSettings {
  size_t capacity_blocks = 100000;
  FeedFaults feed;
};

/// See the head of this file.
class KvStoreModel {
 public:
  KvStoreModel(const KvStoreSettings& settings, uint64_t incarnation, uint64_t seed)
      : incarnation_(incarnation), blocks_(settings.capacity_blocks, settings.feed, seed) {}

  /// How many leading blocks of the chain can be imported; counts as their use.
  size_t import(const std::vector<cache::BlockHash>& chain) { return blocks_.match(chain); }
  /// Keeps the blocks of a chain, given from its beginning.
  void take_export(const std::vector<cache::BlockHash>& chain, TimePoint now) {
    blocks_.store(chain, 0, chain.size(), now);
  }
  uint64_t incarnation() const { return incarnation_; }
  const EngineCache& blocks() const { return blocks_; }

 private:
  uint64_t incarnation_;
  EngineCache blocks_;
};

}  // namespace stoat::standins
