#include "src/dispatch/store_set.h"

#include "src/common/hash.h"

namespace stoat::dispatch {

void StoreSet::forget_holdings() {
  for (auto& [address, store] : stores_) {
    store.cache_estimate.forget_holdings();
  }
}

CacheStore& StoreSet::add(const std::string& address) {
  CacheStore& store = stores_[address];
  if (store.address.empty()) {
    store.address = address;
    store.address_hash = hash_bytes(address);
  }
  return store;
}

CacheStore* StoreSet::find(const std::string& address) {
  const auto found = stores_.find(address);
  return found == stores_.end() ? nullptr : &found->second;
}

CacheStore* StoreSet::store_for(const placement::PromptChain& chain) {
  const uint64_t key = placement::shared_key(chain);
  CacheStore* best = nullptr;
  uint64_t best_rank = 0;
  for (auto& [address, store] : stores_) {
    const uint64_t rank = hash_pair(key, store.address_hash);
    if (best == nullptr || rank > best_rank) {
      best = &store;
      best_rank = rank;
    }
  }
  return best;
}

std::string StoreSet::to_text() const {
  std::string text;
  for (const auto& [address, store] : stores_) {
    text += (text.empty() ? "" : ",") + address;
  }
  return text;
}

}  // namespace stoat::dispatch
