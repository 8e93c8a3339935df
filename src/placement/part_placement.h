/// Chooses the engine for a prompt of named parts: the one with the lowest expected time to the first token.
///
/// Without any state a chain of shared parts belongs to the engine that comes first in rendezvous order, so
/// all routers send it to the same place. On top of that come what this router has sent where, the work that
/// waits at each engine, and the version of its weights.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "src/common/time.h"

namespace stoat::placement {

/// One part of a chain: the hash of the chain up to it, and its own tokens.
struct ChainLink {
  uint64_t hash = 0;
  uint32_t tokens = 0;
};

/// The prompt of a request.
struct PromptChain {
  std::vector<ChainLink> links;  ///< the last one belongs to the request or its session alone
  uint32_t prompt_tokens = 0;
};

/// Tokens of the parts that other prompts can share: all but the last.
uint32_t shared_tokens(const PromptChain& chain);

/// How long an engine is taken to hold a chain that nobody uses.
inline constexpr Duration kHoldTime = 8s;

/// Which chains were sent to an engine, and when.
class ChainMemory {
 public:
  void note(const PromptChain& chain, TimePoint now);
  /// Tokens at the chain's beginning that the engine should still hold: those sent there within `hold`.
  uint32_t cached_tokens(const PromptChain& chain, TimePoint now, Duration hold = kHoldTime) const;
  void clear() { last_used_.clear(); }

 private:
  std::unordered_map<uint64_t, TimePoint> last_used_;
};

/// What placement sees of one engine that can take the request.
struct EngineView {
  uint64_t name_hash = 0;
  const ChainMemory* memory = nullptr;
  uint32_t outstanding = 0;     ///< requests under way there, of all routers as far as known
  uint64_t prefill_tokens = 0;  ///< of requests there that have no first token yet
  uint32_t slots = 1;
  bool old_weights = false;  ///< a newer version is named
  bool same_zone = false;
};

/// Assumed costs, in milliseconds.
struct PlacementCosts {
  double prefill_tokens_per_ms = 38.0;
  double per_outstanding_ms = 1.0;
  double full_ms = 400.0;
  double old_weights_ms = 250.0;
  double other_zone_ms = 2.0;
};

/// The position of the best engine in `engines`, which must not be empty.
size_t choose_engine(const PromptChain& chain, const std::vector<EngineView>& engines,
                     const PlacementCosts& costs, TimePoint now);

/// The engine from which the target should take KV cache of the chain's shared parts before it reads the
/// rest. Nothing when the target should hold as much itself. `target` is the hash of the target's name; it
/// may be among `engines`, which must have the target's weights. Where no engine is known to hold all shared
/// parts, `guess` names the likeliest all the same; without it there is no source.
std::optional<size_t> choose_source(const PromptChain& chain, uint64_t target,
                                    const ChainMemory& target_memory, const std::vector<EngineView>& engines,
                                    TimePoint now, bool guess);

/// The engine for a call without a prompt: the least loaded for its size, at random among equals.
size_t choose_least_loaded(const std::vector<EngineView>& engines, uint64_t random);

}  // namespace stoat::placement
