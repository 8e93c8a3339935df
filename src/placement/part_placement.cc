#include "src/placement/part_placement.h"

#include <algorithm>

#include "src/common/hash.h"

namespace stoat::placement {

namespace {

/// Chains remembered for one engine before old ones are dropped.
constexpr size_t kMaxChains = 4096;

/// The position of the engine that the chain's shared parts belong to.
size_t home_of(const PromptChain& chain, const std::vector<EngineView>& engines) {
  const size_t shared = chain.links.size() > 1 ? chain.links.size() - 2 : 0;
  const uint64_t key = chain.links.empty() ? 0 : chain.links[shared].hash;
  size_t best = 0;
  uint64_t best_weight = 0;
  for (size_t position = 0; position < engines.size(); ++position) {
    const uint64_t weight = hash_pair(key, engines[position].name_hash);
    if (position == 0 || weight > best_weight) {
      best = position;
      best_weight = weight;
    }
  }
  return best;
}

}  // namespace

uint32_t shared_tokens(const PromptChain& chain) {
  uint32_t tokens = 0;
  for (size_t position = 0; position + 1 < chain.links.size(); ++position) {
    tokens += chain.links[position].tokens;
  }
  return tokens;
}

void ChainMemory::note(const PromptChain& chain, TimePoint now) {
  for (const ChainLink& link : chain.links) {
    last_used_[link.hash] = now;
  }
  if (last_used_.size() > kMaxChains) {
    std::erase_if(last_used_, [now](const auto& entry) { return now - entry.second > kHoldTime / 2; });
  }
}

uint32_t ChainMemory::cached_tokens(const PromptChain& chain, TimePoint now, Duration hold) const {
  uint32_t tokens = 0;
  for (const ChainLink& link : chain.links) {
    const auto found = last_used_.find(link.hash);
    if (found == last_used_.end() || now - found->second > hold) {
      break;
    }
    tokens += link.tokens;
  }
  return tokens;
}

size_t choose_engine(const PromptChain& chain, const std::vector<EngineView>& engines,
                     const PlacementCosts& costs, TimePoint now) {
  const size_t home = home_of(chain, engines);
  size_t best = home;
  double best_cost = 0;
  for (size_t position = 0; position < engines.size(); ++position) {
    const EngineView& engine = engines[position];
    uint32_t cached = engine.memory == nullptr ? 0 : engine.memory->cached_tokens(chain, now);
    if (position == home) {
      cached = std::max(cached, shared_tokens(chain));
    }
    const uint32_t missing = chain.prompt_tokens - std::min(chain.prompt_tokens, cached);
    double cost = (missing + static_cast<double>(engine.prefill_tokens)) / costs.prefill_tokens_per_ms;
    cost += engine.outstanding * costs.per_outstanding_ms;
    cost += engine.outstanding >= engine.slots ? costs.full_ms : 0;
    cost += engine.old_weights ? costs.old_weights_ms : 0;
    cost += engine.same_zone ? 0 : costs.other_zone_ms;
    if (position == 0 || cost < best_cost) {
      best = position;
      best_cost = cost;
    }
  }
  return best;
}

std::optional<size_t> choose_source(const PromptChain& chain, uint64_t target,
                                    const ChainMemory& target_memory, const std::vector<EngineView>& engines,
                                    TimePoint now, bool guess) {
  const uint32_t shared = shared_tokens(chain);
  uint32_t most = std::min(shared, target_memory.cached_tokens(chain, now));
  if (most >= shared) {
    return std::nullopt;
  }
  std::optional<size_t> best;
  std::vector<EngineView> others;
  std::vector<size_t> positions;
  for (size_t position = 0; position < engines.size(); ++position) {
    const EngineView& engine = engines[position];
    if (engine.name_hash == target) {
      continue;
    }
    others.push_back(engine);
    positions.push_back(position);
    const uint32_t held = std::min(shared, engine.memory->cached_tokens(chain, now));
    if (held > most) {
      most = held;
      best = position;
    }
  }
  if (most >= shared || others.empty() || !guess) {
    return most >= shared ? best : std::nullopt;
  }
  // What other routers sent is not known here, but they send it to its home: the target itself, or the engine
  // that was home before the target came into use, which is the next in rendezvous order.
  return positions[home_of(chain, others)];
}

size_t choose_least_loaded(const std::vector<EngineView>& engines, uint64_t random) {
  size_t best = 0;
  double best_load = 0;
  for (size_t step = 0; step < engines.size(); ++step) {
    const size_t position = (step + random) % engines.size();
    const EngineView& engine = engines[position];
    const double load =
        static_cast<double>(engine.outstanding) / static_cast<double>(std::max(1U, engine.slots)) +
        (engine.same_zone ? 0.0 : 0.01);
    if (step == 0 || load < best_load) {
      best = position;
      best_load = load;
    }
  }
  return best;
}

}  // namespace stoat::placement
