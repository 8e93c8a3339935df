/// An append-only journal of stream records on disk. It outlives the process that wrote it, so that a restart
/// of all processes at once does not forget where streams began.
#pragma once

#include <array>
#include <cstdint>
#include <string>
#include <vector>

#include "src/common/time.h"
#include "src/fleet/stream_record.h"
#include "src/storage/file_system.h"

namespace stoat::storage {

/// Part of a file that could not be read.
struct FileDamage {
  std::string file;
  uint64_t offset = 0;  ///< everything from here on is lost
  std::string message;
};

/// When a journal changes files, and how large one may become.
struct StreamJournalLimits {
  uint64_t turn_bytes = 256U << 10U;  ///< the other file is used from this size on, once it has expired
  uint64_t file_bytes = 16U << 20U;   ///< a write that would exceed it fails
};

/// Keeps the files "streams-1" and "streams-2" of a data directory. They are used by turns: one grows while
/// the records in the other one expire, and then the other one is emptied and grows. Not thread-safe.
class StreamJournal {
 public:
  explicit StreamJournal(FileSystem& files, const StreamJournalLimits& limits = {});

  /// Reads the records of both files, with the lifetimes that they had when they were written. All whose
  /// write() has succeeded are among them; a torn tail is ignored. Appends to `damages` what can't be read.
  tl::expected<std::vector<fleet::StreamRecord>, FileError> load(TimePoint now,
                                                                 std::vector<FileDamage>& damages);
  /// Makes records durable with one sync. After an error they are not in the journal, and may be written
  /// again.
  FileResult write(const std::vector<fleet::StreamRecord>& records, TimePoint now);
  /// Size of both files.
  uint64_t bytes() const { return files_[0].bytes + files_[1].bytes; }

 private:
  struct File {
    std::string name;
    uint64_t bytes = 0;     ///< up to the end of the last record
    bool has_tail = false;  ///< more bytes may follow, of a failed write
    TimePoint expires{0};   ///< of the last record to expire
  };
  FileResult load_file(File& file, TimePoint now, std::vector<fleet::StreamRecord>& records,
                       std::vector<FileDamage>& damages);
  bool is_turn_due(TimePoint now) const;
  FileResult empty(File& file);
  FileResult append(File& file, const std::string& bytes);

  FileSystem& file_system_;
  StreamJournalLimits limits_;
  std::array<File, 2> files_{File{"streams-1"}, File{"streams-2"}};
  size_t current_ = 0;  ///< index of the file that grows
};

}  // namespace stoat::storage
