/// Chooses the engine for a prompt with named parts: the one with the lowest expected time to the first
/// token.
///
/// Without further knowledge, a chain of shared parts is assigned by rendezvous hashing to one of the engines
/// with the same weights (its home), so all routers choose the same one. On top of this, the choice considers
/// what the caches are known to hold, the work waiting at each engine, and the version of its weights.
/// Transferring KV cache takes a few milliseconds and computing a long prompt a few hundred, so an engine
/// that holds the parts can serve as the source for any other engine.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "src/common/time.h"
#include "src/placement/kv_cache_estimate.h"
#include "src/placement/transfer_costs.h"
#include "src/topology/topology.h"

namespace stoat::placement {

/// What placement knows about one engine.
struct EngineView {
  uint64_t name_hash = 0;
  const KvCacheEstimate* cache_estimate = nullptr;
  uint64_t weights = 0;      ///< version of its weights for the chain's model
  uint32_t outstanding = 0;  ///< requests in flight there, from all routers as far as known
  uint32_t slots = 1;
  double ms_per_token = 0;  ///< estimated prefill time per token
  double wait_ms = 0;       ///< until a request sent now would begin to be processed
  topology::Location place;
  topology::Distance distance = topology::Distance::kSameRegion;  ///< from this router
  bool has_outdated_weights = false;  ///< a newer version of the weights is available
  bool candidate = true;              ///< may receive the request
  bool usable_as_source = true;       ///< may be a source of KV cache
};

/// The store that is responsible for a chain.
struct StoreView {
  const KvCacheEstimate* cache_estimate = nullptr;
  topology::Location place;
};

/// The cost of the distance to an engine, in milliseconds: the round trip, and the price of the bytes.
struct DistanceCosts {
  double cross_zone_ms = 2.0;
  /// The network takes 40 ms at the intended distances, and the link between regions has little bandwidth.
  double cross_region_ms = 60.0;
  double ms(topology::Distance distance) const;
};

/// Assumed costs, in milliseconds. Measured properties of engines are passed in EngineView.
struct PlacementCosts {
  double per_outstanding_ms = 1.0;
  double old_weights_ms = 120.0;
  DistanceCosts distance_costs;
  TransferCosts transfers;
  /// Per token of shared parts that would be copied to the engine: a copy evicts other parts.
  double copy_ms_per_token = 0.03;
  /// Per token: the benefit of not computing again what another engine holds.
  double recompute_ms_per_token = 0.1;
};

/// The chosen engine, and the source of its KV cache.
struct Placement {
  size_t target = 0;
  std::optional<size_t> source;
  bool from_store = false;               ///< the source is the store, which holds more than any engine
  bool worth_taking_from_store = false;  ///< transferring all shared parts from the store would be worthwhile
  uint32_t missing_tokens = 0;           ///< number of tokens that the target has to compute itself
};

/// Returns the best placement. At least one of `engines` must be a candidate. `store` is nullptr if there is
/// none.
Placement choose_placement(const PromptChain& chain, const std::vector<EngineView>& engines,
                           const StoreView* store, const PlacementCosts& costs, TimePoint now);

}  // namespace stoat::placement
