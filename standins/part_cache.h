/// What a stand-in of an engine keeps of the prompts that it has read: parts by salt, the least recently used
/// go first, and every change is an event with a number.
#pragma once

#include <deque>
#include <list>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "src/common/time.h"

namespace stoat::standins {

/// A part of a prompt as callers name it.
struct NamedPart {
  std::string name;
  uint32_t tokens = 0;
};

/// A change of a cache.
struct PartEvent {
  uint64_t number = 0;
  std::string salt;
  std::string part;
  uint32_t tokens = 0;  ///< held now; 0: nothing any more
};

/// See the head of this file.
class PartCache {
 public:
  explicit PartCache(uint64_t capacity_tokens) : capacity_tokens_(capacity_tokens) {}

  /// Tokens of the leading parts that are held. Counts as their use.
  uint32_t match(const std::string& salt, const std::vector<NamedPart>& parts);
  /// Keeps the parts of a prompt that was read.
  void store(const std::string& salt, const std::vector<NamedPart>& parts);
  /// Drops everything, as new weights do.
  void clear();
  /// The kept events after `number`.
  std::vector<PartEvent> events_after(uint64_t number) const;
  /// False when events after `number` were dropped already.
  bool has_all_after(uint64_t number) const;
  uint64_t last_event() const { return last_event_; }

 private:
  struct Held {
    std::string salt;
    std::string part;
    uint32_t tokens = 0;
  };
  using Key = std::pair<std::string, std::string>;
  void note(const std::string& salt, const std::string& part, uint32_t tokens);
  void drop_oldest();

  uint64_t capacity_tokens_;
  uint64_t held_tokens_ = 0;
  std::list<Held> by_use_;  ///< the most recently used first
  std::map<Key, std::list<Held>::iterator> held_;
  std::deque<PartEvent> events_;
  uint64_t last_event_ = 0;
};

}  // namespace stoat::standins
