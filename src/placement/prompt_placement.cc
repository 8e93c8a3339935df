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

/// What is known of one chain among the engines with the same weights.
struct WeightsGroup {
  std::optional<size_t> home;  ///< the candidate that the chain belongs to when nobody is known to hold it
  uint64_t home_rank = 0;
  std::optional<size_t> near_home;  ///< the same among those of this router's region
  uint64_t near_home_rank = 0;
  uint32_t best_cached = 0;  ///< held or being read anywhere
  std::vector<Holder>
      holders;                 ///< in each zone the sound engine that holds most, the least busy among equals
  uint32_t stored_tokens = 0;  ///< shared tokens that the store holds
};

using Groups = std::map<uint64_t, WeightsGroup>;  ///< by version of the weights

void note_home(WeightsGroup& group, size_t position, const EngineView& engine, uint64_t key) {
  const uint64_t rank = hash_pair(key, engine.name_hash);
  if (!group.home || rank > group.home_rank) {
    group.home = position;
    group.home_rank = rank;
  }
  const bool near = engine.distance != topology::Distance::kOtherRegion;
  if (near && (!group.near_home || rank > group.near_home_rank)) {
    group.near_home = position;
    group.near_home_rank = rank;
  }
}

void note_holder(WeightsGroup& group, const Holder& holder, const std::vector<EngineView>& engines) {
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

Groups group_by_weights(const PromptChain& chain, const std::vector<EngineView>& engines,
                        const StoreView* store, TimePoint now) {
  Groups groups;
  const uint64_t key = shared_key(chain);
  const uint32_t shared = shared_tokens(chain);
  for (size_t position = 0; position < engines.size(); ++position) {
    const EngineView& engine = engines[position];
    const auto [entry, added] = groups.try_emplace(engine.weights);
    WeightsGroup& group = entry->second;
    if (added && store != nullptr) {
      group.stored_tokens = std::min(shared, store->memory->held_tokens(chain, engine.weights, now));
    }
    if (engine.candidate) {
      note_home(group, position, engine, key);
    }
    if (engine.memory == nullptr) {
      continue;
    }
    group.best_cached = std::max(group.best_cached,
                                 std::min(shared, engine.memory->cached_tokens(chain, engine.weights, now)));
    const uint32_t held = std::min(shared, engine.memory->held_tokens(chain, engine.weights, now));
    if (engine.sound && held > 0) {
      note_holder(group, {position, held}, engines);
    }
  }
  return groups;
}

/// Whether a chain is worth the way to the other region: where what it shares takes longer to read anew, the
/// fleet keeps it once; else each region reads it for itself.
bool worth_the_way(const PromptChain& chain, const PlacementCosts& costs) {
  return shared_tokens(chain) * costs.reread_ms_per_token > costs.ways.other_region_ms;
}

/// How an engine comes to what others hold of the chain, and what it then has.
struct Supply {
  std::optional<size_t> source;
  bool from_store = false;
  uint32_t present = 0;  ///< tokens at the chain's beginning
  double move_ms = 0;
  double saved_ms = 0;  ///< what is won against reading
};

/// The supply that saves most; the engine's own tokens alone when no move pays.
Supply choose_supply(size_t target, uint32_t own, const std::vector<EngineView>& engines,
                     const WeightsGroup& group, const StoreView* store, double reading_ms_per_token,
                     const PlacementCosts& costs) {
  Supply best;
  best.present = own;
  const auto offer = [&](uint32_t tokens, double move_ms, std::optional<size_t> source) {
    const double prefill_ms = reading_ms_per_token + costs.reread_ms_per_token;
    const double saved_ms = (tokens - own) * prefill_ms - move_ms;
    if (saved_ms > best.saved_ms) {
      best = {source, !source, tokens, move_ms, saved_ms};
    }
  };
  const EngineView& engine = engines[target];
  for (const Holder& holder : group.holders) {
    const topology::Distance way = topology::distance(engines[holder.position].place, engine.place);
    if (holder.position != target && holder.tokens > own &&
        costs.moves.engine_pays(holder.tokens - own, way, reading_ms_per_token)) {
      offer(holder.tokens, costs.moves.engine_ms(holder.tokens - own, way), holder.position);
    }
  }
  if (store != nullptr && group.stored_tokens > own) {
    const topology::Distance way = topology::distance(store->place, engine.place);
    if (costs.moves.worth_taking_from_store(group.stored_tokens - own, way, reading_ms_per_token)) {
      offer(group.stored_tokens, costs.moves.store_ms(group.stored_tokens - own, way), std::nullopt);
    }
  }
  return best;
}

/// How a chain would be served at one engine, and the expected time of it.
struct Option {
  Placement placement;
  double cost_ms = 0;
};

Option consider(size_t position, const PromptChain& chain, const std::vector<EngineView>& engines,
                const WeightsGroup& group, const StoreView* store, const PlacementCosts& costs,
                TimePoint now) {
  const EngineView& engine = engines[position];
  const uint32_t shared = shared_tokens(chain);
  const uint32_t own =
      engine.memory == nullptr
          ? 0
          : std::min(chain.prompt_tokens, engine.memory->cached_tokens(chain, engine.weights, now));
  const double reading_ms_per_token = engine.ms_per_token;
  const Supply supply = choose_supply(position, own, engines, group, store, reading_ms_per_token, costs);
  const uint32_t present = supply.present;
  Option option;
  option.placement.target = position;
  option.placement.source = supply.source;
  option.placement.from_store = supply.from_store;
  option.placement.worth_taking_from_store =
      store != nullptr && costs.moves.worth_taking_from_store(
                              shared, topology::distance(store->place, engine.place), reading_ms_per_token);
  option.cost_ms += supply.move_ms;
  option.placement.missing_tokens = chain.prompt_tokens - std::min(chain.prompt_tokens, present);
  option.cost_ms += engine.wait_ms + option.placement.missing_tokens * engine.ms_per_token;
  // What another engine holds or is reading should not be read again. Where nobody is known to, the other
  // routers' requests go to the chain's home.
  const bool fleet_home = worth_the_way(chain, costs) || !group.near_home;
  const bool at_home = (fleet_home ? group.home : group.near_home) == position;
  const uint32_t expected = group.best_cached > 0 || at_home ? group.best_cached : shared / 2;
  option.cost_ms += (expected - std::min(expected, present)) * costs.reread_ms_per_token;
  if (!at_home && own < shared) {
    option.cost_ms += (shared - own) * costs.copy_ms_per_token;
  }
  option.cost_ms += engine.outstanding * costs.per_outstanding_ms;
  option.cost_ms += engine.has_outdated_weights ? costs.old_weights_ms : 0;
  option.cost_ms += costs.ways.ms(engine.distance);
  return option;
}

}  // namespace

double WayCosts::ms(topology::Distance distance) const {
  switch (distance) {
    case topology::Distance::kSameZone:
      return 0;
    case topology::Distance::kSameRegion:
      return other_zone_ms;
    case topology::Distance::kOtherRegion:
      return other_region_ms;
  }
  return other_region_ms;
}

Placement place(const PromptChain& chain, const std::vector<EngineView>& engines, const StoreView* store,
                const PlacementCosts& costs, TimePoint now) {
  const Groups groups = group_by_weights(chain, engines, store, now);
  std::optional<Option> best;
  for (size_t position = 0; position < engines.size(); ++position) {
    if (!engines[position].candidate) {
      continue;
    }
    const Option option =
        consider(position, chain, engines, groups.at(engines[position].weights), store, costs, now);
    if (!best || option.cost_ms < best->cost_ms) {
      best = option;
    }
  }
  return best->placement;
}

}  // namespace stoat::placement
