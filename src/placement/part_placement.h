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
/// The same of a store, which gets new shared parts only.
inline constexpr Duration kStoreHoldTime = 20s;
/// How long a prompt may take to be read before it is no longer counted on.
inline constexpr Duration kPendingTime = 5s;

/// Which chains an engine holds, as far as this router knows, each under the weights that made it.
class ChainMemory {
 public:
  explicit ChainMemory(Duration hold_time = kHoldTime) : hold_time_(hold_time) {}
  /// The chain was sent to the engine, which is about to read it.
  void note_pending(const PromptChain& chain, uint64_t weights, TimePoint now);
  /// The engine has read these links (hashes of chains).
  void note_held(const std::vector<uint64_t>& links, uint64_t weights, TimePoint now);
  /// What was noted as pending will not be read.
  void drop_pending(const PromptChain& chain);
  /// Tokens at the chain's beginning that the engine holds, or will once it has read what was sent to it.
  uint32_t cached_tokens(const PromptChain& chain, uint64_t weights, TimePoint now) const;
  /// Tokens at the chain's beginning that the engine holds already.
  uint32_t held_tokens(const PromptChain& chain, uint64_t weights, TimePoint now) const;
  /// True when all shared parts of the chain were noted as held no longer than `age` ago.
  bool held_since(const PromptChain& chain, uint64_t weights, TimePoint now, Duration age) const;

 private:
  struct Entry {
    uint64_t weights = 0;
    TimePoint held_at{0};        ///< when it was last known to be held; 0: never
    TimePoint pending_until{0};  ///< 0: it is not being read
    bool held(TimePoint now, Duration age) const { return held_at > TimePoint(0) && now - held_at <= age; }
  };
  Entry& entry_for(uint64_t link, uint64_t weights);
  void drop_old(TimePoint now);

  Duration hold_time_;
  std::unordered_map<uint64_t, Entry> entries_;  ///< by hash of the chain up to a link
};

/// What placement sees of one engine.
struct EngineView {
  uint64_t name_hash = 0;
  const ChainMemory* memory = nullptr;
  uint64_t weights = 0;         ///< version of its weights for the chain's model
  uint32_t outstanding = 0;     ///< requests under way there, of all routers as far as known
  uint64_t prefill_tokens = 0;  ///< of requests there that have no first token yet
  uint32_t slots = 1;
  uint64_t zone_hash = 0;
  bool in_lane = true;       ///< it is among the engines that are meant for prompts of this length
  bool old_weights = false;  ///< a newer version is named
  bool same_zone = false;    ///< as this router
  bool candidate = true;     ///< may get the request
  bool sound = true;         ///< may be a source of KV cache
};

/// Assumed costs, in milliseconds.
struct PlacementCosts {
  double prefill_tokens_per_ms = 38.0;
  double per_outstanding_ms = 1.0;
  double full_ms = 400.0;
  double old_weights_ms = 120.0;
  double other_zone_ms = 2.0;
  double other_lane_ms = 300.0;
  double move_setup_ms = 4.0;
  double move_ms_per_token = 0.015;  ///< within a zone; twice that between zones
  double reread_ms_per_token = 0.1;  ///< what it is worth not to read again what another engine holds
};

/// Prompts of so many tokens and more are long: reading them holds up the streams that run beside.
inline constexpr uint32_t kLongPromptTokens = 2000;

/// Marks the engines that are meant for short prompts or for long ones: by rendezvous order a fixed share is
/// for the short. An engine that reads long prompts makes its streams pause for a tenth of a second at each
/// token.
void mark_lanes(const PromptChain& chain, std::vector<EngineView>& engines, double short_share);

/// Where a request goes, and where its engine takes KV cache from.
struct Placement {
  size_t target = 0;
  std::optional<size_t> source;
  uint32_t missing_tokens = 0;  ///< that the target has to read itself
};

/// The best placement; at least one of `engines` must be a candidate.
Placement place(const PromptChain& chain, const std::vector<EngineView>& engines, const PlacementCosts& costs,
                TimePoint now);

/// The engine for a call without a prompt: the least loaded candidate for its size, at random among equals.
size_t choose_least_loaded(const std::vector<EngineView>& engines, uint64_t random);

}  // namespace stoat::placement
