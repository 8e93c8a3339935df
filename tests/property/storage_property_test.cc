// Records on disk: what was written is read, torn tails are cut, and damage is never taken for data.
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "src/storage/record_log.h"

namespace stoat::storage {
namespace {

std::string join(const std::vector<std::string>& payloads) {
  std::string bytes;
  for (const std::string& payload : payloads) {
    bytes += make_record(payload);
  }
  return bytes;
}

RC_GTEST_PROP(RecordLogProperty, ReadsWhatWasWritten, (const std::vector<std::string>& payloads)) {
  const auto scan = scan_records(join(payloads));
  RC_ASSERT(scan.has_value());
  RC_ASSERT(scan->payloads == payloads);
}

RC_GTEST_PROP(RecordLogProperty, CutsATornTailAndKeepsAllBeforeIt,
              (const std::vector<std::string>& payloads)) {
  const std::string bytes = join(payloads);
  const auto length = *rc::gen::inRange<size_t>(0, bytes.size() + 1);
  const auto scan = scan_records(std::string_view(bytes).substr(0, length));
  RC_ASSERT(scan.has_value());
  RC_ASSERT(scan->valid_length <= length);
  RC_ASSERT(scan->payloads.size() <= payloads.size());
  RC_ASSERT(std::equal(scan->payloads.begin(), scan->payloads.end(), payloads.begin()));
}

RC_GTEST_PROP(RecordLogProperty, NeverReadsADamagedRecordAsData, (const std::vector<std::string>& payloads)) {
  std::string bytes = join(payloads);
  RC_PRE(!bytes.empty());
  const auto offset = *rc::gen::inRange<size_t>(0, bytes.size());
  const auto bit = *rc::gen::inRange<int>(0, 8);
  bytes[offset] = static_cast<char>(bytes[offset] ^ (1 << bit));
  const auto scan = scan_records(bytes);
  if (scan) {
    // Taken for a torn tail: then only the last record may be missing, and none may be changed.
    RC_ASSERT(scan->payloads.size() + 1 == payloads.size());
    RC_ASSERT(std::equal(scan->payloads.begin(), scan->payloads.end(), payloads.begin()));
  } else {
    RC_ASSERT(scan.error().offset <= offset);
  }
}

}  // namespace
}  // namespace stoat::storage
