/// Chooses the engine for a prompt of named parts: the one with the lowest expected time to the first token.
///
/// Without any state a chain of shared parts belongs to the engine that comes first in rendezvous order among
/// those with the same weights, so all routers send it to the same place. On top of that come what the
/// routers know to be held where, the work that waits at each engine, and the version of its weights. To move
/// KV cache takes some milliseconds, to read a long prompt some hundred: a holder serves as the source for
/// any other engine.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "src/common/time.h"
#include "src/placement/chain_memory.h"

namespace stoat::placement {

/// What placement sees of one engine.
struct EngineView {
  uint64_t name_hash = 0;
  const ChainMemory* memory = nullptr;
  uint64_t weights = 0;      ///< version of its weights for the chain's model
  uint32_t outstanding = 0;  ///< requests under way there, of all routers as far as known
  uint32_t slots = 1;
  double ms_per_token = 0;  ///< that it reads, as far as known
  double wait_ms = 0;       ///< until it would begin to read a request that is sent now
  uint64_t zone_hash = 0;
  bool old_weights = false;  ///< a newer version is named
  bool same_zone = false;    ///< as this router
  bool candidate = true;     ///< may get the request
  bool sound = true;         ///< may be a source of KV cache
};

/// Assumed costs, in milliseconds. What engines show of themselves comes with the EngineView.
struct PlacementCosts {
  double per_outstanding_ms = 1.0;
  double old_weights_ms = 120.0;
  double other_zone_ms = 2.0;
  double move_setup_ms = 4.0;
  double move_ms_per_token = 0.015;  ///< within a zone; twice that between zones
  /// From a store, whose one link all engines share: as dear as four times within a zone.
  double store_move_ms_per_token = 0.06;
  /// For each token of shared parts that the engine gets a copy of: the copy pushes other parts out.
  double copy_ms_per_token = 0.03;
  double reread_ms_per_token = 0.1;  ///< what it is worth not to read again what another engine holds
};

/// Where a request goes, and where its engine takes KV cache from.
struct Placement {
  size_t target = 0;
  std::optional<size_t> source;
  bool from_store = false;      ///< the store holds more than any engine
  uint32_t missing_tokens = 0;  ///< that the target has to read itself
};

/// The best placement; at least one of `engines` must be a candidate. `store` is nullptr when there is none.
Placement place(const PromptChain& chain, const std::vector<EngineView>& engines, const ChainMemory* store,
                const PlacementCosts& costs, TimePoint now);

/// The engine for a call without a prompt: the least loaded candidate for its size, at random among equals.
size_t choose_least_loaded(const std::vector<EngineView>& engines, uint64_t random);

}  // namespace stoat::placement
