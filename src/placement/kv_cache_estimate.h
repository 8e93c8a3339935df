/// A router's estimate of which prompt parts a KV cache (of an engine or a store) holds.
///
/// There are two sources: requests sent by this and other routers, which are known at once but say nothing
/// about evictions; and the cache's own events, which are exact but slightly delayed. While events arrive
/// they are authoritative, and the first source only bridges their delay. Without events, an observation
/// counts for a few seconds.
#pragma once

#include <cstdint>
#include <unordered_map>
#include <vector>

#include "src/common/time.h"

namespace stoat::placement {

/// One part of a prompt.
struct ChainPart {
  uint64_t hash = 0;  ///< see part_hash()
  uint32_t tokens = 0;
};

/// The prompt of a request as a chain of parts. A cache can use a part only if it holds all preceding parts.
struct PromptChain {
  std::vector<ChainPart> prompt_parts;  ///< the last one is private to the request or its session
  uint32_t prompt_tokens = 0;
};

/// Returns the number of tokens in the parts that other prompts can share: all but the last.
uint32_t shared_tokens(const PromptChain& chain);

/// Identifies what a chain shares with others: returns the hash of its last shared part, or of its only part.
uint64_t shared_key(const PromptChain& chain);

/// How long an engine without events is assumed to hold an unused part.
inline constexpr Duration kHoldTime = 8s;
/// The same for a store, which only receives new shared parts.
inline constexpr Duration kStoreHoldTime = 20s;
/// How long a prompt counts as about to be cached after it was sent to an engine.
inline constexpr Duration kPendingTimeout = 5s;
/// Upper bound on the time from a change in a cache to the arrival of its event at a router: about 100 ms at
/// the cache and as much on the way.
inline constexpr Duration kEventDelay = 1s;
/// A cache without events is assumed to still hold parts that were observed this recently.
inline constexpr Duration kCertainHoldTime = 2s;

/// The time until which the cache events of one feed are valid. Shared by all caches of the feed, so that one
/// message renews the validity for all of them.
struct EventValidity {
  TimePoint until{0};
};

/// The prompt parts that one KV cache is estimated to hold. Each part counts only for the version of the
/// weights that computed it.
class KvCacheEstimate {
 public:
  explicit KvCacheEstimate(Duration hold_time = kHoldTime) : hold_time_(hold_time) {}

  /// Records that a prompt was sent to the engine, which will compute its cache entries.
  void note_pending(const PromptChain& chain, uint64_t weights, TimePoint now);
  /// Records that the cache was observed to hold these parts.
  void note_held(const std::vector<uint64_t>& parts, uint64_t weights, TimePoint now);
  /// Records that a prompt noted as pending will not be processed.
  void drop_pending(const PromptChain& chain);

  /// Handles an event: the cache now holds `tokens` tokens of a part.
  void set_holding(uint64_t part, uint64_t weights, uint32_t tokens);
  /// Handles an event: the cache no longer holds anything of a part.
  void drop_holding(uint64_t part);
  /// Sets the validity of events, which must outlive this object; nullptr if no events arrive.
  void follow(const EventValidity* validity) { validity_ = validity; }
  bool followed(TimePoint now) const { return validity_ != nullptr && now < validity_->until; }
  /// Drops everything learned from events.
  void forget_holdings();

  /// Returns the number of leading tokens of the chain that the cache holds, or will hold once it has
  /// processed the prompts sent to it.
  uint32_t cached_tokens(const PromptChain& chain, uint64_t weights, TimePoint now) const;
  /// Returns the number of leading tokens of the chain that the cache already holds.
  uint32_t held_tokens(const PromptChain& chain, uint64_t weights, TimePoint now) const;
  /// Returns whether all shared parts of the chain were observed within the last `age`. Ignores events.
  bool observed_within(const PromptChain& chain, uint64_t weights, TimePoint now, Duration age) const;
  /// Returns whether the cache almost certainly holds all shared parts of the chain.
  bool certainly_holds(const PromptChain& chain, uint64_t weights, TimePoint now) const;

 private:
  struct Entry {
    uint64_t weights = 0;
    TimePoint seen_at{0};        ///< last time the part was observed in the cache; 0 if never
    TimePoint pending_until{0};  ///< 0 if no pending prompt contains the part
    uint32_t tokens = 0;         ///< according to the last event
    bool seen(TimePoint now, Duration age) const { return seen_at > TimePoint(0) && now - seen_at <= age; }
  };
  Entry& entry_for(uint64_t part, uint64_t weights);
  const Entry* find(uint64_t part, uint64_t weights) const;
  uint32_t leading_tokens(const PromptChain& chain, uint64_t weights, TimePoint now,
                          bool include_pending) const;
  uint32_t tokens_held(const ChainPart& part, const Entry* entry, TimePoint now) const;
  void evict_old(TimePoint now);

  Duration hold_time_;
  const EventValidity* validity_ = nullptr;      ///< nullptr if the control plane does not follow the cache
  std::unordered_map<uint64_t, Entry> entries_;  ///< by part hash
};

}  // namespace stoat::placement
