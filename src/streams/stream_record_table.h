/// Keeps stream records until their streams can no longer be resumed. Performs no I/O.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <unordered_map>

#include "src/common/time.h"
#include "src/fleet/stream_record.h"

namespace stoat::streams {

/// A bounded table of stream records with an expiry time each. When it is full, the record that expires first
/// is dropped; its stream is then unknown here.
class StreamRecordTable {
 public:
  explicit StreamRecordTable(size_t limit = kDefaultLimit) : limit_(limit) {}

  /// Stores a record, unless one with a higher generation is known.
  void put(const fleet::StreamRecord& record, TimePoint now);
  /// The record of a stream with its lifetime left at `now`, or nullopt.
  std::optional<fleet::StreamRecord> find(uint64_t stream, TimePoint now) const;
  /// Removes expired records.
  void expire(TimePoint now);
  size_t size() const { return entries_.size(); }
  /// Records dropped before their expiry because the table was full.
  uint64_t dropped() const { return dropped_; }

 private:
  static constexpr size_t kDefaultLimit = 200000;
  struct Entry {
    fleet::StreamRecord record;
    TimePoint expires{0};
  };
  using ExpiryIndex = std::multimap<TimePoint, uint64_t>;
  void erase(uint64_t stream);
  void remove_from_index(uint64_t stream, TimePoint expires);

  size_t limit_;
  uint64_t dropped_ = 0;
  std::unordered_map<uint64_t, Entry> entries_;  ///< by stream
  ExpiryIndex by_expiry_;
};

}  // namespace stoat::streams
