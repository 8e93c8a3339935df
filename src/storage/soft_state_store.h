/// The part of a control member's soft state that has to outlive a restart of all processes at once. Other
/// members have the rest, or backends and routers tell it again.
#pragma once

#include <cstdint>
#include <msgpack.hpp>
#include <vector>

#include "src/fleet/crash_record.h"
#include "src/fleet/stream_record.h"
#include "src/storage/stream_journal.h"

namespace stoat::storage {

/// State that is small and seldom changes; written as a whole.
struct SoftStateSnapshot {
  std::vector<fleet::ServiceSoftware> software;  ///< all services with their versions
  std::vector<fleet::CrashRecord> suspects =
      {};                     ///< see CrashAggregator::suspects; ages as of `written_at_ms`
  int64_t written_at_ms = 0;  ///< wall clock, since 1970
  MSGPACK_DEFINE_ARRAY(software, suspects, written_at_ms)
};

/// The soft state on a member's disk.
struct RestoredSoftState {
  bool found = false;  ///< there is a snapshot, and nothing is damaged
  SoftStateSnapshot snapshot;
  std::vector<fleet::StreamRecord> records;  ///< with the lifetimes that they had when they were written
  std::vector<FileDamage> damages;
};

/// Reads and writes the file "soft_state" and a StreamJournal. Not thread-safe.
class SoftStateStore {
 public:
  explicit SoftStateStore(FileSystem& files) : files_(files), journal_(files) {}

  tl::expected<RestoredSoftState, FileError> load(TimePoint now);
  /// Replaces the snapshot.
  FileResult write_snapshot(const SoftStateSnapshot& snapshot);
  FileResult write_records(const std::vector<fleet::StreamRecord>& records, TimePoint now) {
    return journal_.write(records, now);
  }
  uint64_t journal_bytes() const { return journal_.bytes(); }

 private:
  FileSystem& files_;
  StreamJournal journal_;
};

}  // namespace stoat::storage
