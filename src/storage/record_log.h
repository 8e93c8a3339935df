/// Records in a file: 4-byte length, 8-byte checksum, payload. A torn tail is cut; damage before it is an
/// error.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <vector>

namespace stoat::storage {

/// Damage that is not a torn tail.
struct RecordDamage {
  uint64_t offset = 0;  ///< of the damaged record in the file
  std::string message;
};

/// What a file of records held.
struct RecordScan {
  std::vector<std::string> payloads;
  uint64_t valid_length = 0;  ///< bytes up to the end of the last whole record; the rest is a torn tail
};

/// The bytes of one record.
std::string make_record(std::string_view payload);

/// Reads all records. A bad record with no good record anywhere after it is a torn tail; otherwise it is
/// damage.
tl::expected<RecordScan, RecordDamage> scan_records(std::string_view bytes);

}  // namespace stoat::storage
