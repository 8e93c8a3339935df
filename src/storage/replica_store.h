/// The durable state of one member of the replicated log: its identity, a snapshot and a write-ahead log.
#pragma once

#include "src/consensus/replica.h"
#include "src/storage/file_system.h"

namespace stoat::storage {

/// The member that a disk belongs to. Written once. A disk without an identity is blank and gets a new one.
struct DiskIdentity {
  consensus::MemberId id = 0;
  std::string name;
  MSGPACK_DEFINE_ARRAY(id, name)
};

/// Reads and writes the files "identity", "snapshot" and "log" of a data directory. After a failed write the
/// owner must stop and must not acknowledge anything more.
class ReplicaStore {
 public:
  explicit ReplicaStore(FileSystem& files) : files_(files) {}

  /// The identity, or nullopt on a blank disk.
  tl::expected<std::optional<DiskIdentity>, FileError> load_identity();
  FileResult save_identity(const DiskIdentity& identity);

  /// Restores the snapshot and the log. Truncates a torn tail of the log; other corruption is an error that
  /// names the file and the offset.
  tl::expected<consensus::RestoredState, FileError> load();

  /// Makes the state changes of a replica's output durable. Syncs once, except when the output installs a
  /// snapshot.
  FileResult write(const consensus::Output& output);

  /// Replaces the snapshot, and rewrites the log to contain only `hard_state` and `entries_after`.
  FileResult write_snapshot(const std::string& encoded_snapshot, const consensus::HardState& hard_state,
                            const std::vector<consensus::Entry>& entries_after);

  /// Size of the file "log" in bytes.
  uint64_t log_bytes() const { return log_bytes_; }

 private:
  FileSystem& files_;
  uint64_t log_bytes_ = 0;
  consensus::HardState hard_state_;
};

/// Identity and state of a member at startup.
struct RestoredMember {
  DiskIdentity identity;
  consensus::RestoredState state;
};

/// Loads a member's identity and state. On a blank disk, generates a new identity and writes it immediately,
/// so that a member never restarts under an identity that may have voted before its disk was lost. Throws
/// std::runtime_error on read errors and corruption, and if the identity can't be written.
RestoredMember restore_member(ReplicaStore& store, const std::string& name);

}  // namespace stoat::storage
