#include "src/storage/record_log.h"

#include <cstring>
#include <optional>

#include "src/common/hash.h"

namespace stoat::storage {

namespace {

constexpr size_t kLengthBytes = 4;
constexpr size_t kChecksumBytes = 8;
constexpr size_t kHeaderBytes = kLengthBytes + kChecksumBytes;
/// Seed of the checksums. With this seed, a run of zero bytes is never a valid record.
constexpr uint64_t kChecksumSeed = 0x7265636f7264ULL;

uint64_t checksum_of(std::string_view payload) { return hash_bytes(payload, kChecksumSeed + payload.size()); }

/// The payload of the record at `offset`; nullopt if the record is incomplete or its checksum does not match.
std::optional<std::string_view> record_at(std::string_view bytes, uint64_t offset) {
  if (bytes.size() - offset < kHeaderBytes) {
    return std::nullopt;
  }
  uint32_t length = 0;
  uint64_t checksum = 0;
  std::memcpy(&length, bytes.data() + offset, kLengthBytes);
  std::memcpy(&checksum, bytes.data() + offset + kLengthBytes, kChecksumBytes);
  if (bytes.size() - offset - kHeaderBytes < length) {
    return std::nullopt;
  }
  const std::string_view payload = bytes.substr(offset + kHeaderBytes, length);
  if (checksum_of(payload) != checksum) {
    return std::nullopt;
  }
  return payload;
}

}  // namespace

std::string make_record(std::string_view payload) {
  const auto length = static_cast<uint32_t>(payload.size());
  const uint64_t checksum = checksum_of(payload);
  std::string record(kHeaderBytes, '\0');
  std::memcpy(record.data(), &length, kLengthBytes);
  std::memcpy(record.data() + kLengthBytes, &checksum, kChecksumBytes);
  return record.append(payload);
}

tl::expected<RecordScan, RecordCorruption> scan_records(std::string_view bytes) {
  RecordScan scan;
  while (scan.valid_length < bytes.size()) {
    const auto payload = record_at(bytes, scan.valid_length);
    if (!payload) {
      break;
    }
    scan.payloads.emplace_back(*payload);
    scan.valid_length += kHeaderBytes + payload->size();
  }
  for (uint64_t offset = scan.valid_length + 1; offset + kHeaderBytes <= bytes.size(); ++offset) {
    if (record_at(bytes, offset)) {
      return tl::make_unexpected(RecordCorruption{
          scan.valid_length, "corrupt record before a valid one at offset " + std::to_string(offset)});
    }
  }
  return scan;
}

}  // namespace stoat::storage
