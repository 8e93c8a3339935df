#include "src/storage/replica_store.h"

#include <stdexcept>

#include "src/common/random.h"
#include "src/storage/record_log.h"
#include "src/wire/codec.h"

namespace stoat::storage {

namespace {

constexpr char kIdentityFile[] = "identity";
constexpr char kSnapshotFile[] = "snapshot";
constexpr char kLogFile[] = "log";

/// Log record that removes the entries from `index` on.
struct TruncateRecord {
  uint64_t index = 0;
  MSGPACK_DEFINE_ARRAY(index)
};

using LogRecord =
    wire::TaggedVariant<wire::ReservedTags<>, wire::Alternative<0, consensus::HardState>,
                        wire::Alternative<1, consensus::Entry>, wire::Alternative<2, TruncateRecord>>;

std::string encode_record(const LogRecord& record) { return make_record(wire::encode(record)); }

FileError corruption_error(const char* file, const RecordCorruption& corruption) {
  return {file, "offset " + std::to_string(corruption.offset) + ": " + corruption.message};
}

/// Applies a log record to the state that is being restored. Returns false if the record is an entry whose
/// index does not follow that of the previous entry.
bool apply_record(const LogRecord& record, consensus::RestoredState& state) {
  if (const auto* hard_state = std::get_if<consensus::HardState>(&record.value)) {
    state.hard_state = *hard_state;
    return true;
  }
  if (const auto* truncate = std::get_if<TruncateRecord>(&record.value)) {
    std::erase_if(state.entries,
                  [&](const consensus::Entry& entry) { return entry.index >= truncate->index; });
    return true;
  }
  const auto& entry = std::get<consensus::Entry>(record.value);
  if (entry.index <= state.snapshot.index) {
    return true;
  }
  const uint64_t last_index = state.entries.empty() ? state.snapshot.index : state.entries.back().index;
  if (entry.index != last_index + 1) {
    return false;
  }
  state.entries.push_back(entry);
  return true;
}

/// Loads a file that holds exactly one record, because it is always replaced as a whole; nullopt if the file
/// does not exist.
template <typename Value>
tl::expected<std::optional<Value>, FileError> load_single_record(FileSystem& files, const char* name) {
  const auto bytes = files.read(name);
  if (!bytes) {
    return tl::make_unexpected(bytes.error());
  }
  if (!bytes->has_value()) {
    return std::optional<Value>();
  }
  const auto scan = scan_records(**bytes);
  if (!scan) {
    return tl::make_unexpected(corruption_error(name, scan.error()));
  }
  if (scan->payloads.size() != 1) {
    return tl::make_unexpected(
        FileError{name, "offset 0: the file does not contain exactly one valid record"});
  }
  auto value = wire::decode<Value>(scan->payloads.front());
  if (!value) {
    return tl::make_unexpected(FileError{name, "offset 0: " + value.error().message});
  }
  return std::optional<Value>(std::move(*value));
}

}  // namespace

tl::expected<std::optional<DiskIdentity>, FileError> ReplicaStore::load_identity() {
  return load_single_record<DiskIdentity>(files_, kIdentityFile);
}

FileResult ReplicaStore::save_identity(const DiskIdentity& identity) {
  return files_.replace(kIdentityFile, make_record(wire::encode(identity)));
}

tl::expected<consensus::RestoredState, FileError> ReplicaStore::load() {
  consensus::RestoredState state;
  auto snapshot = load_single_record<consensus::Snapshot>(files_, kSnapshotFile);
  if (!snapshot) {
    return tl::make_unexpected(snapshot.error());
  }
  if (snapshot->has_value()) {
    state.snapshot = std::move(**snapshot);
  }
  const auto bytes = files_.read(kLogFile);
  if (!bytes) {
    return tl::make_unexpected(bytes.error());
  }
  if (!bytes->has_value()) {
    return state;
  }
  const auto scan = scan_records(**bytes);
  if (!scan) {
    return tl::make_unexpected(corruption_error(kLogFile, scan.error()));
  }
  for (const std::string& payload : scan->payloads) {
    const auto record = wire::decode<LogRecord>(payload);
    if (!record || !apply_record(*record, state)) {
      return tl::make_unexpected(FileError{
          kLogFile, "undecodable record, or an entry whose index does not follow the previous one"});
    }
  }
  log_bytes_ = scan->valid_length;
  hard_state_ = state.hard_state;
  if (scan->valid_length < (*bytes)->size()) {
    if (const auto truncated = files_.truncate(kLogFile, scan->valid_length); !truncated) {
      return tl::make_unexpected(truncated.error());
    }
  }
  return state;
}

FileResult ReplicaStore::write(const consensus::Output& output) {
  if (output.hard_state) {
    hard_state_ = *output.hard_state;
  }
  if (output.install) {
    auto installed = write_snapshot(wire::encode(*output.install), hard_state_, output.append);
    if (!installed) {
      return installed;
    }
    return {};
  }
  std::string bytes;
  if (output.hard_state) {
    bytes += encode_record(*output.hard_state);
  }
  if (output.truncate_from != 0) {
    bytes += encode_record(TruncateRecord{output.truncate_from});
  }
  for (const consensus::Entry& entry : output.append) {
    bytes += encode_record(entry);
  }
  if (bytes.empty()) {
    return {};
  }
  log_bytes_ += bytes.size();
  if (auto appended = files_.append(kLogFile, bytes); !appended) {
    return appended;
  }
  return files_.sync(kLogFile);
}

FileResult ReplicaStore::write_snapshot(const std::string& encoded_snapshot,
                                        const consensus::HardState& hard_state,
                                        const std::vector<consensus::Entry>& entries_after) {
  // The snapshot is written first. If the process stops before the log is replaced, load() skips the entries
  // that the snapshot covers.
  if (auto written = files_.replace(kSnapshotFile, make_record(encoded_snapshot)); !written) {
    return written;
  }
  std::string bytes = encode_record(hard_state);
  for (const consensus::Entry& entry : entries_after) {
    bytes += encode_record(entry);
  }
  log_bytes_ = bytes.size();
  return files_.replace(kLogFile, bytes);
}

RestoredMember restore_member(ReplicaStore& store, const std::string& name) {
  const auto throw_error = [](const FileError& error) {
    throw std::runtime_error(error.path + ": " + error.message);
  };
  RestoredMember member;
  auto identity = store.load_identity();
  if (!identity) {
    throw_error(identity.error());
  }
  if (!identity->has_value()) {
    member.identity = DiskIdentity{seed_from_device() | 1U, name};
    if (const auto written = store.save_identity(member.identity); !written) {
      throw_error(written.error());
    }
    return member;
  }
  member.identity = **identity;
  auto loaded = store.load();
  if (!loaded) {
    throw_error(loaded.error());
  }
  member.state = std::move(*loaded);
  return member;
}

}  // namespace stoat::storage
