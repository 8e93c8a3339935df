/// The prompt prefix cache of a simulated engine: an LRU cache of prompt parts, kept separately for each
/// salt. Every change is recorded as a numbered event.
#pragma once

#include <deque>
#include <list>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "src/common/time.h"

namespace stoat::standins {

/// A prompt part, under the name that the client gave it.
struct NamedPart {
  std::string name;
  uint32_t tokens = 0;
};

/// A change of the cache.
struct PrefixCacheEvent {
  uint64_t number = 0;
  std::string salt;
  std::string part;
  uint32_t tokens = 0;  ///< cached now; 0: the part was evicted
};

/// Holds at most `capacity_tokens` tokens once store() has returned.
class PrefixCache {
 public:
  explicit PrefixCache(uint64_t capacity_tokens) : capacity_tokens_(capacity_tokens) {}

  /// Returns the number of tokens in the leading parts that are cached, and marks these parts as used.
  uint32_t match(const std::string& salt, const std::vector<NamedPart>& parts);
  /// Adds the parts of a prompt that was prefilled; evicts the least recently used parts if necessary.
  void store(const std::string& salt, const std::vector<NamedPart>& parts);
  /// Evicts everything; cached parts are not valid under new weights.
  void clear();
  /// The retained events with a number above `number`.
  std::vector<PrefixCacheEvent> events_after(uint64_t number) const;
  /// False if some of the events after `number` are no longer retained.
  bool has_all_events_after(uint64_t number) const;
  /// The number of the latest event; 0 if there was none.
  uint64_t last_event() const { return last_event_; }

 private:
  struct Entry {
    std::string salt;
    std::string part;
    uint32_t tokens = 0;
  };
  using Key = std::pair<std::string, std::string>;
  void record_event(const std::string& salt, const std::string& part, uint32_t tokens);
  void evict_least_recently_used();

  uint64_t capacity_tokens_;
  uint64_t cached_tokens_ = 0;
  std::list<Entry> lru_list_;  ///< most recently used entry first
  std::map<Key, std::list<Entry>::iterator> entries_;
  std::deque<PrefixCacheEvent> events_;
  uint64_t last_event_ = 0;
};

}  // namespace stoat::standins
