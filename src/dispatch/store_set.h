/// The available KV cache stores. Rendezvous hashing assigns each chain of shared prompt parts to one of
/// them, so that capacity adds up and all routers look in the same store.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "src/placement/kv_cache_estimate.h"

namespace stoat::dispatch {

/// One KV cache store, and what it is known to hold.
struct CacheStore {
  std::string address;
  uint64_t address_hash = 0;
  placement::KvCacheEstimate cache_estimate{placement::kStoreHoldTime};
};

/// The KV cache stores that respond, and the assignment of prompt chains to them.
class StoreSet {
 public:
  /// Removes a store that does not respond. It counts as empty when it is added again.
  void remove(const std::string& address) { stores_.erase(address); }
  /// Clears the contents of all stores that are known from cache events.
  void forget_holdings();
  /// Adds a store that responds, or returns the known one.
  CacheStore& add(const std::string& address);
  /// nullptr if the store is not known.
  CacheStore* find(const std::string& address);
  /// The store to which a prompt chain is assigned; nullptr if there are no stores.
  CacheStore* store_for(const placement::PromptChain& chain);
  /// Comma-separated addresses, for the log.
  std::string to_text() const;

 private:
  std::map<std::string, CacheStore> stores_;  ///< by address
};

}  // namespace stoat::dispatch
