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
#include "src/placement/kv_cache_estimate.h"
#include "src/placement/move_costs.h"
#include "src/topology/topology.h"

namespace stoat::placement {

/// What placement sees of one engine.
struct EngineView {
  uint64_t name_hash = 0;
  const KvCacheEstimate* memory = nullptr;
  uint64_t weights = 0;      ///< version of its weights for the chain's model
  uint32_t outstanding = 0;  ///< requests under way there, of all routers as far as known
  uint32_t slots = 1;
  double ms_per_token = 0;  ///< that it reads, as far as known
  double wait_ms = 0;       ///< until it would begin to read a request that is sent now
  topology::Location place;
  topology::Distance distance = topology::Distance::kSameRegion;  ///< from this router
  bool has_outdated_weights = false;                              ///< a newer version is named
  bool candidate = true;                                          ///< may get the request
  bool sound = true;                                              ///< may be a source of KV cache
};

/// The store that a chain belongs to.
struct StoreView {
  const KvCacheEstimate* memory = nullptr;
  topology::Location place;
};

/// What the way to an engine is worth, in milliseconds: the time there and back, and what the bytes cost.
struct WayCosts {
  double other_zone_ms = 2.0;
  /// 40 ms on the way at the distances meant, and the link between regions is narrow.
  double other_region_ms = 60.0;
  double ms(topology::Distance distance) const;
};

/// Assumed costs, in milliseconds. What engines show of themselves comes with the EngineView.
struct PlacementCosts {
  double per_outstanding_ms = 1.0;
  double old_weights_ms = 120.0;
  WayCosts ways;
  MoveCosts moves;
  /// For each token of shared parts that the engine gets a copy of: the copy pushes other parts out.
  double copy_ms_per_token = 0.03;
  double reread_ms_per_token = 0.1;  ///< what it is worth not to read again what another engine holds
};

/// Where a request goes, and where its engine takes KV cache from.
struct Placement {
  size_t target = 0;
  std::optional<size_t> source;
  bool from_store = false;               ///< the store holds more than any engine
  bool worth_taking_from_store = false;  ///< to take all shared parts from the store would pay
  uint32_t missing_tokens = 0;           ///< that the target has to read itself
};

/// The best placement; at least one of `engines` must be a candidate. `store` is nullptr when there is none.
Placement place(const PromptChain& chain, const std::vector<EngineView>& engines, const StoreView* store,
                const PlacementCosts& costs, TimePoint now);

}  // namespace stoat::placement
