#include "src/placement/kv_cache_estimate.h"

#include <algorithm>

namespace stoat::placement {

namespace {

/// Maximum number of parts tracked per cache before old ones are dropped.
constexpr size_t kMaxParts = 4096;

}  // namespace

uint32_t shared_tokens(const PromptChain& chain) {
  uint32_t tokens = 0;
  for (size_t position = 0; position + 1 < chain.prompt_parts.size(); ++position) {
    tokens += chain.prompt_parts[position].tokens;
  }
  return tokens;
}

uint64_t shared_key(const PromptChain& chain) {
  const size_t last_shared = chain.prompt_parts.size() > 1 ? chain.prompt_parts.size() - 2 : 0;
  return chain.prompt_parts.empty() ? 0 : chain.prompt_parts[last_shared].hash;
}

KvCacheEstimate::Entry& KvCacheEstimate::entry_for(uint64_t part, uint64_t weights) {
  Entry& entry = entries_[part];
  if (entry.weights < weights) {
    entry = Entry();  // an engine drops its whole cache together with the old weights
    entry.weights = weights;
  }
  return entry;
}

const KvCacheEstimate::Entry* KvCacheEstimate::find(uint64_t part, uint64_t weights) const {
  const auto found = entries_.find(part);
  return found == entries_.end() || found->second.weights != weights ? nullptr : &found->second;
}

void KvCacheEstimate::note_pending(const PromptChain& chain, uint64_t weights, TimePoint now) {
  for (const ChainPart& part : chain.prompt_parts) {
    Entry& entry = entry_for(part.hash, weights);
    entry.pending_until = std::max(entry.pending_until, now + kPendingTimeout);
  }
  evict_old(now);
}

void KvCacheEstimate::note_held(const std::vector<uint64_t>& parts, uint64_t weights, TimePoint now) {
  for (const uint64_t part : parts) {
    Entry& entry = entry_for(part, weights);
    if (entry.weights == weights) {
      entry.seen_at = now;
    }
  }
  evict_old(now);
}

void KvCacheEstimate::drop_pending(const PromptChain& chain) {
  for (const ChainPart& part : chain.prompt_parts) {
    const auto found = entries_.find(part.hash);
    if (found != entries_.end()) {
      found->second.pending_until = TimePoint(0);
    }
  }
}

void KvCacheEstimate::set_holding(uint64_t part, uint64_t weights, uint32_t tokens) {
  Entry& entry = entry_for(part, weights);
  if (entry.weights != weights) {
    return;
  }
  if (tokens < entry.tokens) {
    entry.seen_at = TimePoint(0);  // at least partly evicted
  }
  entry.tokens = tokens;
}

void KvCacheEstimate::drop_holding(uint64_t part) {
  const auto found = entries_.find(part);
  if (found == entries_.end() || found->second.tokens == 0) {
    return;  // the event is older than the last observation
  }
  found->second.tokens = 0;
  found->second.seen_at = TimePoint(0);
}

void KvCacheEstimate::forget_holdings() {
  for (auto& [part, entry] : entries_) {
    entry.tokens = 0;
  }
}

void KvCacheEstimate::evict_old(TimePoint now) {
  if (entries_.size() > kMaxParts) {
    std::erase_if(entries_, [this, now](const auto& entry) {
      return !entry.second.seen(now, hold_time_ / 2) && entry.second.pending_until <= now &&
             entry.second.tokens == 0;
    });
  }
}

uint32_t KvCacheEstimate::tokens_held(const ChainPart& part, const Entry* entry, TimePoint now) const {
  if (entry == nullptr) {
    return 0;
  }
  if (entry->seen(now, followed(now) ? kEventDelay : hold_time_)) {
    return part.tokens;
  }
  return followed(now) ? std::min(part.tokens, entry->tokens) : 0;
}

uint32_t KvCacheEstimate::leading_tokens(const PromptChain& chain, uint64_t weights, TimePoint now,
                                         bool include_pending) const {
  uint32_t tokens = 0;
  for (const ChainPart& part : chain.prompt_parts) {
    const Entry* entry = find(part.hash, weights);
    const bool pending = include_pending && entry != nullptr && entry->pending_until > now;
    const uint32_t held = pending ? part.tokens : tokens_held(part, entry, now);
    tokens += held;
    if (held < part.tokens) {
      break;
    }
  }
  return tokens;
}

uint32_t KvCacheEstimate::cached_tokens(const PromptChain& chain, uint64_t weights, TimePoint now) const {
  return leading_tokens(chain, weights, now, true);
}

uint32_t KvCacheEstimate::held_tokens(const PromptChain& chain, uint64_t weights, TimePoint now) const {
  return leading_tokens(chain, weights, now, false);
}

bool KvCacheEstimate::observed_within(const PromptChain& chain, uint64_t weights, TimePoint now,
                                      Duration age) const {
  for (size_t position = 0; position + 1 < chain.prompt_parts.size(); ++position) {
    const Entry* entry = find(chain.prompt_parts[position].hash, weights);
    if (entry == nullptr || !entry->seen(now, age)) {
      return false;
    }
  }
  return true;
}

bool KvCacheEstimate::certainly_holds(const PromptChain& chain, uint64_t weights, TimePoint now) const {
  if (!followed(now)) {
    return observed_within(chain, weights, now, kCertainHoldTime);
  }
  return held_tokens(chain, weights, now) >= shared_tokens(chain);
}

}  // namespace stoat::placement
