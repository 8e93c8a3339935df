#include "src/placement/kv_cache_estimate.h"

#include <algorithm>

namespace stoat::placement {

namespace {

/// Parts remembered for one cache before old ones are dropped.
constexpr size_t kMaxLinks = 4096;

}  // namespace

uint32_t shared_tokens(const PromptChain& chain) {
  uint32_t tokens = 0;
  for (size_t position = 0; position + 1 < chain.links.size(); ++position) {
    tokens += chain.links[position].tokens;
  }
  return tokens;
}

uint64_t shared_key(const PromptChain& chain) {
  const size_t last_shared = chain.links.size() > 1 ? chain.links.size() - 2 : 0;
  return chain.links.empty() ? 0 : chain.links[last_shared].hash;
}

KvCacheEstimate::Entry& KvCacheEstimate::entry_for(uint64_t link, uint64_t weights) {
  Entry& entry = entries_[link];
  if (entry.weights < weights) {
    entry = Entry();  // an engine drops all it had with its old weights
    entry.weights = weights;
  }
  return entry;
}

const KvCacheEstimate::Entry* KvCacheEstimate::find(uint64_t link, uint64_t weights) const {
  const auto found = entries_.find(link);
  return found == entries_.end() || found->second.weights != weights ? nullptr : &found->second;
}

void KvCacheEstimate::note_pending(const PromptChain& chain, uint64_t weights, TimePoint now) {
  for (const ChainLink& link : chain.links) {
    Entry& entry = entry_for(link.hash, weights);
    entry.pending_until = std::max(entry.pending_until, now + kPendingTime);
  }
  drop_old(now);
}

void KvCacheEstimate::note_held(const std::vector<uint64_t>& links, uint64_t weights, TimePoint now) {
  for (const uint64_t link : links) {
    Entry& entry = entry_for(link, weights);
    if (entry.weights == weights) {
      entry.seen_at = now;
    }
  }
  drop_old(now);
}

void KvCacheEstimate::drop_pending(const PromptChain& chain) {
  for (const ChainLink& link : chain.links) {
    const auto found = entries_.find(link.hash);
    if (found != entries_.end()) {
      found->second.pending_until = TimePoint(0);
    }
  }
}

void KvCacheEstimate::set_holding(uint64_t link, uint64_t weights, uint32_t tokens) {
  Entry& entry = entry_for(link, weights);
  if (entry.weights != weights) {
    return;
  }
  if (tokens < entry.tokens) {
    entry.seen_at = TimePoint(0);  // it was dropped, at least in part
  }
  entry.tokens = tokens;
}

void KvCacheEstimate::drop_holding(uint64_t link) {
  const auto found = entries_.find(link);
  if (found == entries_.end() || found->second.tokens == 0) {
    return;  // an event that is older than what was seen since
  }
  found->second.tokens = 0;
  found->second.seen_at = TimePoint(0);
}

void KvCacheEstimate::forget_holdings() {
  for (auto& [link, entry] : entries_) {
    entry.tokens = 0;
  }
}

void KvCacheEstimate::drop_old(TimePoint now) {
  if (entries_.size() > kMaxLinks) {
    std::erase_if(entries_, [this, now](const auto& entry) {
      return !entry.second.seen(now, hold_time_ / 2) && entry.second.pending_until <= now &&
             entry.second.tokens == 0;
    });
  }
}

uint32_t KvCacheEstimate::tokens_held(const ChainLink& link, const Entry* entry, TimePoint now) const {
  if (entry == nullptr) {
    return 0;
  }
  if (entry->seen(now, followed(now) ? kEventDelay : hold_time_)) {
    return link.tokens;
  }
  return followed(now) ? std::min(link.tokens, entry->tokens) : 0;
}

uint32_t KvCacheEstimate::tokens_at_beginning(const PromptChain& chain, uint64_t weights, TimePoint now,
                                              bool with_pending) const {
  uint32_t tokens = 0;
  for (const ChainLink& link : chain.links) {
    const Entry* entry = find(link.hash, weights);
    const bool pending = with_pending && entry != nullptr && entry->pending_until > now;
    const uint32_t held = pending ? link.tokens : tokens_held(link, entry, now);
    tokens += held;
    if (held < link.tokens) {
      break;
    }
  }
  return tokens;
}

uint32_t KvCacheEstimate::cached_tokens(const PromptChain& chain, uint64_t weights, TimePoint now) const {
  return tokens_at_beginning(chain, weights, now, true);
}

uint32_t KvCacheEstimate::held_tokens(const PromptChain& chain, uint64_t weights, TimePoint now) const {
  return tokens_at_beginning(chain, weights, now, false);
}

bool KvCacheEstimate::observed_within(const PromptChain& chain, uint64_t weights, TimePoint now,
                                      Duration age) const {
  for (size_t position = 0; position + 1 < chain.links.size(); ++position) {
    const Entry* entry = find(chain.links[position].hash, weights);
    if (entry == nullptr || !entry->seen(now, age)) {
      return false;
    }
  }
  return true;
}

bool KvCacheEstimate::certainly_holds(const PromptChain& chain, uint64_t weights, TimePoint now) const {
  if (!followed(now)) {
    return observed_within(chain, weights, now, kSurelyHeld);
  }
  return held_tokens(chain, weights, now) >= shared_tokens(chain);
}

}  // namespace stoat::placement
