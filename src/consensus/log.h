/// In-memory part of the replicated log: the position of the latest snapshot and the entries after it.
#pragma once

#include <deque>

#include "src/consensus/message.h"

namespace stoat::consensus {

/// Entries after the snapshot, addressed by log index.
class Log {
 public:
  Log() = default;
  Log(uint64_t snapshot_index, uint64_t snapshot_term, const std::vector<Entry>& entries);

  uint64_t snapshot_index() const { return snapshot_index_; }
  uint64_t snapshot_term() const { return snapshot_term_; }
  uint64_t last_index() const { return snapshot_index_ + entries_.size(); }
  uint64_t last_term() const { return entries_.empty() ? snapshot_term_ : entries_.back().term; }
  /// True when the index is that of the snapshot or of an entry after it, so that its term is known.
  bool holds(uint64_t index) const { return index >= snapshot_index_ && index <= last_index(); }
  /// The term at an index. Requires holds(index).
  uint64_t term_at(uint64_t index) const;
  /// The entry at an index. Requires snapshot_index() < index <= last_index().
  const Entry& at(uint64_t index) const { return entries_[index - snapshot_index_ - 1]; }
  /// Entries from index `first` on: at most `max_count` of them and `max_bytes` of payload, but at least one
  /// if there is any, regardless of its size.
  std::vector<Entry> slice(uint64_t first, size_t max_count, size_t max_bytes) const;

  void append(Entry entry) { entries_.push_back(std::move(entry)); }
  /// Removes the entries from `index` on.
  void truncate_from(uint64_t index);
  /// Removes the entries up to and including `index`, which a snapshot now covers.
  void compact_to(uint64_t index, uint64_t term);
  /// Removes all entries and restarts the log after the snapshot at `index`.
  void reset_to(uint64_t index, uint64_t term);

 private:
  uint64_t snapshot_index_ = 0;
  uint64_t snapshot_term_ = 0;
  std::deque<Entry> entries_;
};

}  // namespace stoat::consensus
