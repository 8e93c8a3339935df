#include "src/placement/part_placement.h"

#include <algorithm>
#include <map>

#include "src/common/hash.h"

namespace stoat::placement {

namespace {

/// What is known of one chain among the engines with the same weights.
struct WeightsGroup {
  std::optional<size_t> home;  ///< the candidate that the chain belongs to when nobody is known to hold it
  uint64_t home_rank = 0;
  uint32_t best_cached = 0;     ///< held or being read anywhere
  std::vector<size_t> sources;  ///< engines that hold `source_tokens`
  uint32_t source_tokens = 0;   ///< the most shared tokens that any sound engine holds
  uint32_t stored_tokens = 0;   ///< shared tokens that the store holds
};

using Groups = std::map<uint64_t, WeightsGroup>;  ///< by version of the weights

Groups group_by_weights(const PromptChain& chain, const std::vector<EngineView>& engines,
                        const ChainMemory* store, TimePoint now) {
  Groups groups;
  const uint64_t key = shared_key(chain);
  const uint32_t shared = shared_tokens(chain);
  for (size_t position = 0; position < engines.size(); ++position) {
    const EngineView& engine = engines[position];
    const auto [entry, added] = groups.try_emplace(engine.weights);
    WeightsGroup& group = entry->second;
    if (added && store != nullptr) {
      group.stored_tokens = std::min(shared, store->held_tokens(chain, engine.weights, now));
    }
    const uint64_t rank = hash_pair(key, engine.name_hash);
    if (engine.candidate && (!group.home || rank > group.home_rank)) {
      group.home = position;
      group.home_rank = rank;
    }
    if (engine.memory == nullptr) {
      continue;
    }
    group.best_cached = std::max(group.best_cached,
                                 std::min(shared, engine.memory->cached_tokens(chain, engine.weights, now)));
    const uint32_t held = std::min(shared, engine.memory->held_tokens(chain, engine.weights, now));
    if (!engine.sound || held == 0 || held < group.source_tokens) {
      continue;
    }
    if (held > group.source_tokens) {
      group.sources.clear();
    }
    group.source_tokens = held;
    group.sources.push_back(position);
  }
  return groups;
}

/// The source for a target: one in its zone if there is one, the least busy among equals.
std::optional<size_t> source_for(size_t target, const WeightsGroup& group,
                                 const std::vector<EngineView>& engines) {
  std::optional<size_t> best;
  const auto rank = [&](size_t position) {
    const EngineView& engine = engines[position];
    return std::make_pair(engine.zone_hash != engines[target].zone_hash, engine.outstanding);
  };
  for (const size_t position : group.sources) {
    if (position != target && (!best || rank(position) < rank(*best))) {
      best = position;
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
                const WeightsGroup& group, const PlacementCosts& costs, TimePoint now) {
  const EngineView& engine = engines[position];
  const uint32_t shared = shared_tokens(chain);
  const uint32_t own =
      engine.memory == nullptr ? 0 : engine.memory->cached_tokens(chain, engine.weights, now);
  Option option;
  option.placement.target = position;
  uint32_t present = std::min(own, chain.prompt_tokens);
  if (group.source_tokens > own && group.source_tokens >= group.stored_tokens) {
    option.placement.source = source_for(position, group, engines);
  } else if (group.stored_tokens > own) {
    option.placement.from_store = true;
    option.cost_ms += costs.move_setup_ms + (group.stored_tokens - own) * costs.store_move_ms_per_token;
    present = group.stored_tokens;
  }
  if (option.placement.source) {
    const uint32_t moved = group.source_tokens - own;
    const bool across = engines[*option.placement.source].zone_hash != engine.zone_hash;
    option.cost_ms += costs.move_setup_ms + moved * costs.move_ms_per_token * (across ? 2 : 1);
    present = group.source_tokens;
  }
  option.placement.missing_tokens = chain.prompt_tokens - std::min(chain.prompt_tokens, present);
  option.cost_ms += engine.wait_ms + option.placement.missing_tokens * engine.ms_per_token;
  // What another engine holds or is reading should not be read again. Where nobody is known to, the other
  // routers' requests go to the chain's home.
  const bool at_home = group.home == position;
  const uint32_t expected = group.best_cached > 0 || at_home ? group.best_cached : shared / 2;
  option.cost_ms += (expected - std::min(expected, present)) * costs.reread_ms_per_token;
  if (!at_home && own < shared) {
    option.cost_ms += (shared - own) * costs.copy_ms_per_token;
  }
  option.cost_ms += engine.outstanding * costs.per_outstanding_ms;
  option.cost_ms += engine.old_weights ? costs.old_weights_ms : 0;
  option.cost_ms += engine.same_zone ? 0 : costs.other_zone_ms;
  return option;
}

}  // namespace

Placement place(const PromptChain& chain, const std::vector<EngineView>& engines, const ChainMemory* store,
                const PlacementCosts& costs, TimePoint now) {
  const Groups groups = group_by_weights(chain, engines, store, now);
  std::optional<Option> best;
  for (size_t position = 0; position < engines.size(); ++position) {
    if (!engines[position].candidate) {
      continue;
    }
    const Option option =
        consider(position, chain, engines, groups.at(engines[position].weights), costs, now);
    if (!best || option.cost_ms < best->cost_ms) {
      best = option;
    }
  }
  return best->placement;
}

size_t choose_least_loaded(const std::vector<EngineView>& engines, uint64_t random) {
  std::optional<size_t> best;
  double best_load = 0;
  for (size_t step = 0; step < engines.size(); ++step) {
    const size_t position = (step + random) % engines.size();
    const EngineView& engine = engines[position];
    if (!engine.candidate) {
      continue;
    }
    const double load =
        static_cast<double>(engine.outstanding) / static_cast<double>(std::max(1U, engine.slots)) +
        (engine.same_zone ? 0.0 : 0.01);
    if (!best || load < best_load) {
      best = position;
      best_load = load;
    }
  }
  return best.value_or(0);
}

}  // namespace stoat::placement
