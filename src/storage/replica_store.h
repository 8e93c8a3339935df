/// The durable state of one member of the replicated log: its identity, a snapshot, and a write-ahead log.
#pragma once

#include "src/consensus/replica.h"
#include "src/storage/file_system.h"

namespace stoat::storage {

/// Who this disk belongs to. Written once; a disk without it is blank and gets a new identity.
struct DiskIdentity {
  consensus::MemberId id = 0;
  std::string name;
  MSGPACK_DEFINE_ARRAY(id, name)
};

/// Reads and writes the files "identity", "snapshot" and "log" of a data folder.
/// After a failed write nothing may be acknowledged any more: the owner must stop.
class ReplicaStore {
 public:
  explicit ReplicaStore(FileSystem& files) : files_(files) {}

  /// The identity, or nullopt on a blank disk.
  tl::expected<std::optional<DiskIdentity>, FileError> load_identity();
  FileResult save_identity(const DiskIdentity& identity);

  /// All that survived. Cuts a torn tail; other damage is an error that names file and offset.
  tl::expected<consensus::RestoredState, FileError> load();

  /// Writes what an output demands, in one sync.
  FileResult write(const consensus::Output& output);

  /// Replaces the snapshot and rewrites the log so that it holds only `entries_after`.
  FileResult write_snapshot(const std::string& encoded_snapshot, const consensus::HardState& hard_state,
                            const std::vector<consensus::Entry>& entries_after);

  uint64_t log_bytes() const { return log_bytes_; }

 private:
  FileSystem& files_;
  uint64_t log_bytes_ = 0;
  consensus::HardState hard_state_;
};

/// A member as it starts: who it is, and what its disk held.
struct RestoredMember {
  DiskIdentity identity;
  consensus::RestoredState state;
};

/// Loads a member's identity and state. A blank disk gets a new identity, which is written at once: it never
/// comes back under one that may have voted. Throws std::runtime_error on damage, or when the identity can't
/// be written.
RestoredMember restore_member(ReplicaStore& store, const std::string& name);

}  // namespace stoat::storage
