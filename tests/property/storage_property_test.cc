// Records on disk: written records are read back, torn tails are dropped, and corruption is never returned as
// data.
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "src/storage/record_log.h"

namespace stoat::storage {
namespace {

std::string encode_records(const std::vector<std::string>& payloads) {
  std::string bytes;
  for (const std::string& payload : payloads) {
    bytes += make_record(payload);
  }
  return bytes;
}

RC_GTEST_PROP(RecordLogProperty, ReadsBackWrittenRecords, (const std::vector<std::string>& payloads)) {
  const auto scan = scan_records(encode_records(payloads));
  RC_ASSERT(scan.has_value());
  RC_ASSERT(scan->payloads == payloads);
}

RC_GTEST_PROP(RecordLogProperty, DropsATornTailAndKeepsTheRecordsBeforeIt,
              (const std::vector<std::string>& payloads)) {
  const std::string bytes = encode_records(payloads);
  const auto length = *rc::gen::inRange<size_t>(0, bytes.size() + 1);
  const auto scan = scan_records(std::string_view(bytes).substr(0, length));
  RC_ASSERT(scan.has_value());
  RC_ASSERT(scan->valid_length <= length);
  RC_ASSERT(scan->payloads.size() <= payloads.size());
  RC_ASSERT(std::equal(scan->payloads.begin(), scan->payloads.end(), payloads.begin()));
}

RC_GTEST_PROP(RecordLogProperty, NeverReturnsACorruptRecord, (const std::vector<std::string>& payloads)) {
  std::string bytes = encode_records(payloads);
  RC_PRE(!bytes.empty());
  const auto offset = *rc::gen::inRange<size_t>(0, bytes.size());
  const auto bit = *rc::gen::inRange<int>(0, 8);
  bytes[offset] = static_cast<char>(bytes[offset] ^ (1 << bit));
  const auto scan = scan_records(bytes);
  if (scan) {
    // Treated as a torn tail: only the last record may be missing, and none may be changed.
    RC_ASSERT(scan->payloads.size() + 1 == payloads.size());
    RC_ASSERT(std::equal(scan->payloads.begin(), scan->payloads.end(), payloads.begin()));
  } else {
    RC_ASSERT(scan.error().offset <= offset);
  }
}

}  // namespace
}  // namespace stoat::storage
