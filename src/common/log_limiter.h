/// Limits how often a log line that may repeat without end is written.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "src/common/time.h"

namespace stoat {

/// Admits one line per key and second.
class LogLimiter {
 public:
  /// Whether a line may be written for this key now. If so, returns how many were not since the last one.
  std::optional<uint64_t> admit(const std::string& key, TimePoint now) {
    if (entries_.size() >= kMaxEntries) {
      entries_.clear();
    }
    Entry& entry = entries_[key];
    if (entry.logged_at != Duration::min() && now - entry.logged_at < kInterval) {
      ++entry.unlogged;
      return std::nullopt;
    }
    const uint64_t unlogged = entry.unlogged;
    entry = {now, 0};
    return unlogged;
  }

 private:
  static constexpr Duration kInterval = 1s;
  /// Keys that are told apart. With more, lines are written anew for all of them.
  static constexpr size_t kMaxEntries = 1024;

  struct Entry {
    TimePoint logged_at{Duration::min()};
    uint64_t unlogged = 0;  ///< since the last log line
  };
  std::map<std::string, Entry> entries_;
};

}  // namespace stoat
