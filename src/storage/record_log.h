/// Checksummed records in a file: 4-byte length and 8-byte checksum, both in host byte order, then the
/// payload. A torn tail, left by an interrupted write, is ignored; corruption before it is an error.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <vector>

namespace stoat::storage {

/// Corruption that is not a torn tail.
struct RecordCorruption {
  uint64_t offset = 0;  ///< of the corrupt record in the file
  std::string message;
};

/// The records read from a file.
struct RecordScan {
  std::vector<std::string> payloads;
  uint64_t valid_length = 0;  ///< bytes up to the end of the last valid record; the rest is a torn tail
};

/// Encodes one record.
std::string make_record(std::string_view payload);

/// Reads all records. An invalid record is a torn tail if no valid record starts anywhere after it; otherwise
/// it is corruption.
tl::expected<RecordScan, RecordCorruption> scan_records(std::string_view bytes);

}  // namespace stoat::storage
