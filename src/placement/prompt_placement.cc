#include "src/placement/prompt_placement.h"

#include <algorithm>
#include <map>

#include "src/common/hash.h"

namespace stoat::placement {

namespace {

/// An engine that holds the beginning of the chain.
struct Holder {
  size_t position = 0;
  uint32_t tokens = 0;  ///< shared tokens that it holds
};

/// What is known about one chain among the engines with the same weights.
struct WeightsGroup {
  /// The candidate assigned by rendezvous hashing, for when no engine is known to hold the chain.
  std::optional<size_t> home;
  uint64_t home_rank = 0;
  /// The same among the candidates in this router's region.
  std::optional<size_t> regional_home;
  uint64_t regional_home_rank = 0;
  /// Maximum number of shared tokens held or being computed at any engine.
  uint32_t best_cached = 0;
  /// For each zone, the usable engine that holds most; the least busy one if several hold the same.
  std::vector<Holder> holders;
  uint32_t stored_tokens = 0;  ///< shared tokens that the store holds
};

using WeightsGroups = std::map<uint64_t, WeightsGroup>;  ///< by version of the weights

void consider_home(WeightsGroup& group, size_t position, const EngineView& engine, uint64_t key) {
  const uint64_t rank = hash_pair(key, engine.name_hash);
  if (!group.home || rank > group.home_rank) {
    group.home = position;
    group.home_rank = rank;
  }
  const bool near = engine.distance != topology::Distance::kOtherRegion;
  if (near && (!group.regional_home || rank > group.regional_home_rank)) {
    group.regional_home = position;
    group.regional_home_rank = rank;
  }
}

void consider_holder(WeightsGroup& group, const Holder& holder, const std::vector<EngineView>& engines) {
  const EngineView& engine = engines[holder.position];
  for (Holder& known : group.holders) {
    const EngineView& other = engines[known.position];
    if (other.place != engine.place) {
      continue;
    }
    const bool better = holder.tokens > known.tokens ||
                        (holder.tokens == known.tokens && engine.outstanding < other.outstanding);
    known = better ? holder : known;
    return;
  }
  group.holders.push_back(holder);
}

WeightsGroups group_by_weights(const PromptChain& chain, const std::vector<EngineView>& engines,
                               const StoreView* store, TimePoint now) {
  WeightsGroups groups;
  const uint64_t key = shared_key(chain);
  const uint32_t shared = shared_tokens(chain);
  for (size_t position = 0; position < engines.size(); ++position) {
    const EngineView& engine = engines[position];
    const auto [entry, added] = groups.try_emplace(engine.weights);
    WeightsGroup& group = entry->second;
    if (added && store != nullptr) {
      group.stored_tokens = std::min(shared, store->cache_estimate->held_tokens(chain, engine.weights, now));
    }
    if (engine.candidate) {
      consider_home(group, position, engine, key);
    }
    if (engine.cache_estimate == nullptr) {
      continue;
    }
    group.best_cached =
        std::max(group.best_cached,
                 std::min(shared, engine.cache_estimate->cached_tokens(chain, engine.weights, now)));
    const uint32_t held = std::min(shared, engine.cache_estimate->held_tokens(chain, engine.weights, now));
    if (engine.usable_as_source && held > 0) {
      consider_holder(group, {position, held}, engines);
    }
  }
  return groups;
}

/// Returns whether a chain is worth sending to another region. If its shared parts take longer to compute
/// than the distance costs, the fleet keeps a single copy; otherwise each region computes its own.
bool worth_cross_region(const PromptChain& chain, const PlacementCosts& costs) {
  return shared_tokens(chain) * costs.recompute_ms_per_token > costs.distance_costs.cross_region_ms;
}

/// A transfer of cached tokens of the chain to an engine, and what the engine then has.
struct KvTransfer {
  std::optional<size_t> source;
  bool from_store = false;
  uint32_t present_tokens = 0;  ///< leading tokens of the chain
  double transfer_ms = 0;
  double saved_ms = 0;  ///< compared with computing the tokens
};

/// Returns the transfer that saves most. If none is worthwhile, the result has no source, and
/// `present_tokens` is `own_tokens`.
KvTransfer choose_kv_transfer(size_t target, uint32_t own_tokens, const std::vector<EngineView>& engines,
                              const WeightsGroup& group, const StoreView* store, double prefill_ms_per_token,
                              const PlacementCosts& costs) {
  KvTransfer best;
  best.present_tokens = own_tokens;
  const auto consider_transfer = [&](uint32_t tokens, double transfer_ms, std::optional<size_t> source) {
    const double ms_per_saved_token = prefill_ms_per_token + costs.recompute_ms_per_token;
    const double saved_ms = (tokens - own_tokens) * ms_per_saved_token - transfer_ms;
    if (saved_ms > best.saved_ms) {
      best = {source, !source, tokens, transfer_ms, saved_ms};
    }
  };
  const EngineView& engine = engines[target];
  for (const Holder& holder : group.holders) {
    const topology::Distance source_distance =
        topology::distance(engines[holder.position].place, engine.place);
    if (holder.position != target && holder.tokens > own_tokens &&
        costs.transfers.engine_transfer_pays(holder.tokens - own_tokens, source_distance,
                                             prefill_ms_per_token)) {
      consider_transfer(holder.tokens,
                        costs.transfers.engine_transfer_ms(holder.tokens - own_tokens, source_distance),
                        holder.position);
    }
  }
  if (store != nullptr && group.stored_tokens > own_tokens) {
    const topology::Distance source_distance = topology::distance(store->place, engine.place);
    if (costs.transfers.store_transfer_pays(group.stored_tokens - own_tokens, source_distance,
                                            prefill_ms_per_token)) {
      consider_transfer(group.stored_tokens,
                        costs.transfers.store_transfer_ms(group.stored_tokens - own_tokens, source_distance),
                        std::nullopt);
    }
  }
  return best;
}

/// How a chain would be served at one engine, and the expected cost.
struct EngineOption {
  Placement placement;
  double cost_ms = 0;
};

EngineOption evaluate_engine(size_t position, const PromptChain& chain,
                             const std::vector<EngineView>& engines, const WeightsGroup& group,
                             const StoreView* store, const PlacementCosts& costs, TimePoint now) {
  const EngineView& engine = engines[position];
  const uint32_t shared = shared_tokens(chain);
  const uint32_t own_tokens =
      engine.cache_estimate == nullptr
          ? 0
          : std::min(chain.prompt_tokens, engine.cache_estimate->cached_tokens(chain, engine.weights, now));
  const double prefill_ms_per_token = engine.ms_per_token;
  const KvTransfer kv_transfer =
      choose_kv_transfer(position, own_tokens, engines, group, store, prefill_ms_per_token, costs);
  const uint32_t present_tokens = kv_transfer.present_tokens;
  EngineOption option;
  option.placement.target = position;
  option.placement.source = kv_transfer.source;
  option.placement.from_store = kv_transfer.from_store;
  option.placement.worth_taking_from_store =
      store != nullptr && costs.transfers.store_transfer_pays(
                              shared, topology::distance(store->place, engine.place), prefill_ms_per_token);
  option.cost_ms += kv_transfer.transfer_ms;
  option.placement.missing_tokens = chain.prompt_tokens - std::min(chain.prompt_tokens, present_tokens);
  option.cost_ms += engine.wait_ms + option.placement.missing_tokens * engine.ms_per_token;
  // What another engine holds or is computing should not be computed again. If no engine is known to have it,
  // other routers send their requests to the chain's home.
  const bool has_fleet_home = worth_cross_region(chain, costs) || !group.regional_home;
  const bool at_home = (has_fleet_home ? group.home : group.regional_home) == position;
  const uint32_t expected_cached = group.best_cached > 0 || at_home ? group.best_cached : shared / 2;
  option.cost_ms +=
      (expected_cached - std::min(expected_cached, present_tokens)) * costs.recompute_ms_per_token;
  if (!at_home && own_tokens < shared) {
    option.cost_ms += (shared - own_tokens) * costs.copy_ms_per_token;
  }
  option.cost_ms += engine.outstanding * costs.per_outstanding_ms;
  option.cost_ms += engine.has_outdated_weights ? costs.old_weights_ms : 0;
  option.cost_ms += costs.distance_costs.ms(engine.distance);
  return option;
}

}  // namespace

double DistanceCosts::ms(topology::Distance distance) const {
  switch (distance) {
    case topology::Distance::kSameZone:
      return 0;
    case topology::Distance::kSameRegion:
      return cross_zone_ms;
    case topology::Distance::kOtherRegion:
      return cross_region_ms;
  }
  return cross_region_ms;
}

Placement choose_placement(const PromptChain& chain, const std::vector<EngineView>& engines,
                           const StoreView* store, const PlacementCosts& costs, TimePoint now) {
  const WeightsGroups groups = group_by_weights(chain, engines, store, now);
  std::optional<EngineOption> best;
  for (size_t position = 0; position < engines.size(); ++position) {
    if (!engines[position].candidate) {
      continue;
    }
    const EngineOption option =
        evaluate_engine(position, chain, engines, groups.at(engines[position].weights), store, costs, now);
    if (!best || option.cost_ms < best->cost_ms) {
      best = option;
    }
  }
  return best->placement;
}

}  // namespace stoat::placement
