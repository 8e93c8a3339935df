/// The stores of KV cache that answer. Each chain of shared parts belongs to one of them, by rendezvous
/// order, so that several stores hold several times as much, and all routers look in the same place.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "src/placement/kv_cache_estimate.h"

namespace stoat::dispatch {

/// One store.
struct CacheStore {
  std::string address;
  uint64_t address_hash = 0;
  placement::KvCacheEstimate memory{placement::kStoreHoldTime};
};

/// See the head of this file.
class StoreSet {
 public:
  /// A store that does not answer; it is empty when it comes again.
  void remove(const std::string& address) { stores_.erase(address); }
  /// Forgets what events told of all stores.
  void forget_holdings();
  /// Adds a store that answers, or gives the one that is known.
  CacheStore& add(const std::string& address);
  /// nullptr when it is not known.
  CacheStore* find(const std::string& address);
  /// The store that a chain belongs to; nullptr when there is none.
  CacheStore* store_for(const placement::PromptChain& chain);
  /// Addresses, joined by commas, for the log.
  std::string to_text() const;

 private:
  std::map<std::string, CacheStore> stores_;  ///< by address
};

}  // namespace stoat::dispatch
