/// The pages by which engines and stores tell of their blocks: the event feed and the snapshot.
#pragma once

#include <nlohmann/json.hpp>

#include "standins/engine_cache.h"

namespace stoat::standins {

/// One page of the feed after a sequence number, with the load report that goes with it.
nlohmann::json feed_page(const EngineCache& cache, uint64_t after, const nlohmann::json& load, TimePoint now);

/// All blocks that are held now.
nlohmann::json blocks_page(const EngineCache& cache, uint64_t incarnation);

/// Reads a chain of block hashes from a request body; empty when it has none.
std::vector<cache::BlockHash> chain_from_json(const nlohmann::json& body);

}  // namespace stoat::standins
