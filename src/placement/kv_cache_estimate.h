/// What one cache of KV blocks, an engine's or a store's, holds of prompts, as far as a router knows.
///
/// Two sources tell it: the router's own requests and those of other routers, at once but blind to what the
/// cache drops; and the cache's own events, exact but a little late. While events come in they decide, and
/// the first source only bridges their delay. Without them, what was seen counts for some seconds.
#pragma once

#include <cstdint>
#include <unordered_map>
#include <vector>

#include "src/common/time.h"

namespace stoat::placement {

/// One part of a prompt.
struct ChainLink {
  uint64_t hash = 0;  ///< part_hash
  uint32_t tokens = 0;
};

/// The prompt of a request: a chain of parts. A cache can use a part when it holds all parts before it.
struct PromptChain {
  std::vector<ChainLink> links;  ///< the last one belongs to the request or its session alone
  uint32_t prompt_tokens = 0;
};

/// Tokens of the parts that other prompts can share: all but the last.
uint32_t shared_tokens(const PromptChain& chain);

/// Identifies what a chain shares with others: the hash of its last shared part, or of its only part.
uint64_t shared_key(const PromptChain& chain);

/// How long an engine without events is taken to hold a part that nobody uses.
inline constexpr Duration kHoldTime = 8s;
/// The same of a store, which gets new shared parts only.
inline constexpr Duration kStoreHoldTime = 20s;
/// How long a prompt may take to be read before it is no longer counted on.
inline constexpr Duration kPendingTime = 5s;
/// Events reach a router within so long of the change: some 100 ms at the cache, as much on their way.
inline constexpr Duration kEventDelay = 1s;
/// What a cache without events was seen to hold this recently it still holds.
inline constexpr Duration kSurelyHeld = 2s;

/// Until when events that one feed tells of caches count. Shared by all caches of the feed, so that a message
/// of it renews them without a look at each.
struct EventValidity {
  TimePoint until{0};
};

/// See the head of this file. Each part counts under the weights that made it.
class KvCacheEstimate {
 public:
  explicit KvCacheEstimate(Duration hold_time = kHoldTime) : hold_time_(hold_time) {}

  /// The chain was sent to the engine, which is about to read it.
  void note_pending(const PromptChain& chain, uint64_t weights, TimePoint now);
  /// The cache was seen to hold these parts.
  void note_held(const std::vector<uint64_t>& links, uint64_t weights, TimePoint now);
  /// What was noted as pending will not be read.
  void drop_pending(const PromptChain& chain);

  /// An event: the cache holds so many tokens of a part now.
  void set_holding(uint64_t link, uint64_t weights, uint32_t tokens);
  /// An event: the cache holds nothing of a part any more.
  void drop_holding(uint64_t link);
  /// Events come in for as long as `trust` says, which has to outlive this; nullptr: none come in.
  void follow(const EventValidity* trust) { trust_ = trust; }
  bool followed(TimePoint now) const { return trust_ != nullptr && now < trust_->until; }
  /// Forgets what events told.
  void forget_holdings();

  /// Tokens at the chain's beginning that the cache holds, or will once it has read what was sent to it.
  uint32_t cached_tokens(const PromptChain& chain, uint64_t weights, TimePoint now) const;
  /// Tokens at the chain's beginning that the cache holds already.
  uint32_t held_tokens(const PromptChain& chain, uint64_t weights, TimePoint now) const;
  /// True when all shared parts of the chain were seen no longer than `age` ago, events apart.
  bool observed_within(const PromptChain& chain, uint64_t weights, TimePoint now, Duration age) const;
  /// True when all shared parts of the chain are there almost certainly.
  bool certainly_holds(const PromptChain& chain, uint64_t weights, TimePoint now) const;

 private:
  struct Entry {
    uint64_t weights = 0;
    TimePoint seen_at{0};        ///< when it was last seen to be held; 0: never
    TimePoint pending_until{0};  ///< 0: it is not being read
    uint32_t tokens = 0;         ///< as the last event told
    bool seen(TimePoint now, Duration age) const { return seen_at > TimePoint(0) && now - seen_at <= age; }
  };
  Entry& entry_for(uint64_t link, uint64_t weights);
  const Entry* find(uint64_t link, uint64_t weights) const;
  uint32_t tokens_at_beginning(const PromptChain& chain, uint64_t weights, TimePoint now,
                               bool with_pending) const;
  uint32_t tokens_held(const ChainLink& link, const Entry* entry, TimePoint now) const;
  void drop_old(TimePoint now);

  Duration hold_time_;
  const EventValidity* trust_ = nullptr;         ///< nullptr: control does not follow it
  std::unordered_map<uint64_t, Entry> entries_;  ///< by part
};

}  // namespace stoat::placement
