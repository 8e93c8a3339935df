#include "standins/cache_pages.h"

namespace stoat::standins {

namespace {

using nlohmann::json;

constexpr size_t kMaxFeedPage = 5000;

}  // namespace

json feed_page(const EngineCache& cache, uint64_t after, const json& load, TimePoint now) {
  json events = json::array();
  for (const CacheEvent& event : cache.events_after(after, kMaxFeedPage, now)) {
    events.push_back({event.sequence, event.stored ? 1 : 0, event.block, event.parent});
  }
  return {{"load", load}, {"oldest", cache.oldest_sequence()}, {"events", std::move(events)}};
}

json blocks_page(const EngineCache& cache, uint64_t incarnation) {
  json list = json::array();
  for (const CachedBlock& block : cache.snapshot()) {
    list.push_back({block.block, block.parent});
  }
  return {{"incarnation", incarnation}, {"sequence", cache.last_sequence()}, {"blocks", std::move(list)}};
}

std::vector<cache::BlockHash> chain_from_json(const json& body) {
  std::vector<cache::BlockHash> chain;
  if (!body.is_object() || !body.contains("chain") || !body["chain"].is_array()) {
    return chain;
  }
  for (const json& block : body["chain"]) {
    if (!block.is_number_unsigned()) {
      return {};
    }
    chain.push_back(block.get<cache::BlockHash>());
  }
  return chain;
}

}  // namespace stoat::standins
