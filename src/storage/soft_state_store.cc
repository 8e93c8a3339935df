#include "src/storage/soft_state_store.h"

#include <utility>

#include "src/storage/record_log.h"
#include "src/wire/codec.h"

namespace stoat::storage {

namespace {

constexpr const char* kSnapshotFile = "soft_state";

tl::expected<SoftStateSnapshot, FileDamage> decode_snapshot(std::string_view bytes) {
  const auto scan = scan_records(bytes);
  if (!scan || scan->payloads.size() != 1) {
    return tl::make_unexpected(FileDamage{kSnapshotFile, 0, "checksum mismatch"});
  }
  auto snapshot = wire::decode<SoftStateSnapshot>(scan->payloads.front());
  if (!snapshot) {
    return tl::make_unexpected(FileDamage{kSnapshotFile, 0, snapshot.error().message});
  }
  return std::move(*snapshot);
}

}  // namespace

tl::expected<RestoredSoftState, FileError> SoftStateStore::load(TimePoint now) {
  RestoredSoftState restored;
  auto records = journal_.load(now, restored.damages);
  if (!records) {
    return tl::make_unexpected(records.error());
  }
  restored.records = std::move(*records);
  const auto content = files_.read(kSnapshotFile);
  if (!content) {
    return tl::make_unexpected(content.error());
  }
  if (!*content) {
    return restored;
  }
  auto snapshot = decode_snapshot(**content);
  if (snapshot) {
    restored.snapshot = std::move(*snapshot);
  } else {
    restored.damages.push_back(snapshot.error());
  }
  restored.found = restored.damages.empty();
  return restored;
}

FileResult SoftStateStore::write_snapshot(const SoftStateSnapshot& snapshot) {
  return files_.replace(kSnapshotFile, make_record(wire::encode(snapshot)));
}

}  // namespace stoat::storage
