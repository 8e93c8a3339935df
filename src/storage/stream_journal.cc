#include "src/storage/stream_journal.h"

#include <algorithm>
#include <utility>

#include "src/storage/record_log.h"
#include "src/wire/codec.h"

namespace stoat::storage {

namespace {

/// The valid records of a file. What follows corruption is lost.
RecordScan scan_valid_records(std::string_view bytes, const std::string& file,
                              std::vector<FileDamage>& damages) {
  auto scan = scan_records(bytes);
  if (scan) {
    return std::move(*scan);
  }
  damages.push_back({file, scan.error().offset, scan.error().message});
  return std::move(*scan_records(bytes.substr(0, scan.error().offset)));
}

TimePoint last_expiry(const std::vector<fleet::StreamRecord>& records, TimePoint now) {
  TimePoint last = now;
  for (const fleet::StreamRecord& record : records) {
    last = std::max(last, now + Duration(1000 * record.lifetime_ms));
  }
  return last;
}

}  // namespace

StreamJournal::StreamJournal(FileSystem& files, const StreamJournalLimits& limits)
    : file_system_(files), limits_(limits) {}

tl::expected<std::vector<fleet::StreamRecord>, FileError> StreamJournal::load(
    TimePoint now, std::vector<FileDamage>& damages) {
  std::vector<fleet::StreamRecord> records;
  for (File& file : files_) {
    if (auto result = load_file(file, now, records, damages); !result) {
      return tl::make_unexpected(result.error());
    }
  }
  current_ = files_[0].expires >= files_[1].expires ? 0 : 1;
  return records;
}

FileResult StreamJournal::load_file(File& file, TimePoint now, std::vector<fleet::StreamRecord>& records,
                                    std::vector<FileDamage>& damages) {
  const auto content = file_system_.read(file.name);
  if (!content) {
    return tl::make_unexpected(content.error());
  }
  if (!*content) {
    return {};
  }
  const RecordScan scan = scan_valid_records(**content, file.name, damages);
  file.bytes = scan.valid_length;
  file.has_tail = scan.valid_length < (*content)->size();
  for (const std::string& payload : scan.payloads) {
    const auto batch = wire::decode<std::vector<fleet::StreamRecord>>(payload);
    if (!batch) {
      damages.push_back({file.name, 0, "records of a form that this build does not know"});
      continue;
    }
    file.expires = std::max(file.expires, last_expiry(*batch, now));
    records.insert(records.end(), batch->begin(), batch->end());
  }
  return {};
}

bool StreamJournal::is_turn_due(TimePoint now) const {
  return files_[current_].bytes >= limits_.turn_bytes && files_[1 - current_].expires <= now;
}

FileResult StreamJournal::empty(File& file) {
  if (auto result = file_system_.truncate(file.name, 0); !result) {
    return result;
  }
  file = File{file.name};
  return {};
}

FileResult StreamJournal::write(const std::vector<fleet::StreamRecord>& records, TimePoint now) {
  if (is_turn_due(now)) {
    if (auto result = empty(files_[1 - current_]); !result) {
      return result;
    }
    current_ = 1 - current_;
  }
  File& file = files_[current_];
  if (auto result = append(file, make_record(wire::encode(records))); !result) {
    return result;
  }
  file.expires = std::max(file.expires, last_expiry(records, now));
  return {};
}

FileResult StreamJournal::append(File& file, const std::string& bytes) {
  if (file.bytes + bytes.size() > limits_.file_bytes) {
    return tl::make_unexpected(FileError{file.name, "full of records that have not expired"});
  }
  if (file.has_tail) {
    if (auto result = file_system_.truncate(file.name, file.bytes); !result) {
      return result;
    }
  }
  file.has_tail = true;
  if (auto result = file_system_.append(file.name, bytes); !result) {
    return result;
  }
  if (auto result = file_system_.sync(file.name); !result) {
    return result;
  }
  file.has_tail = false;
  file.bytes += bytes.size();
  return {};
}

}  // namespace stoat::storage
