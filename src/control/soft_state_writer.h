/// Writes soft state to disk on a separate thread. What arrives while the disk is busy shares the next sync
/// (group commit).
#pragma once

#include <condition_variable>
#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <thread>
#include <vector>

#include "src/http/event_loop.h"
#include "src/storage/soft_state_store.h"

namespace stoat::control {

/// Queues writes for a SoftStateStore, which it alone uses while it exists. Handlers run on the thread of the
/// event loop.
class SoftStateWriter {
 public:
  using DurableHandler = std::function<void()>;
  using FailureHandler = std::function<void(const storage::FileError&)>;

  /// `on_failure`: called after each failed attempt; the same is tried again after half a second.
  SoftStateWriter(EventLoop& loop, storage::SoftStateStore& store, FailureHandler on_failure);
  ~SoftStateWriter();
  SoftStateWriter(const SoftStateWriter&) = delete;
  SoftStateWriter& operator=(const SoftStateWriter&) = delete;

  /// Calls `on_durable` once the records are durable. Returns false, and drops them, while too many are
  /// queued.
  bool write_records(const std::vector<fleet::StreamRecord>& records, DurableHandler on_durable);
  /// Replaces the snapshot, and any earlier one that is still queued.
  void write_snapshot(storage::SoftStateSnapshot snapshot);
  /// Size of the journal of records after the last completed write.
  uint64_t journal_bytes() const { return journal_bytes_; }
  /// Number of completed writes.
  uint64_t writes() const { return writes_; }

 private:
  struct Batch {
    std::vector<fleet::StreamRecord> records;
    std::vector<DurableHandler> on_durable;  ///< of the records
    std::optional<storage::SoftStateSnapshot> snapshot;
    bool empty() const { return on_durable.empty() && !snapshot; }
  };
  void run_disk_thread();
  /// Waits for writes and takes all that are queued. Returns false when the writer stops.
  bool take_queued(Batch& batch);
  /// Returns false when the writer stops.
  bool write_until_durable(Batch& batch);
  storage::FileResult write(Batch& batch);
  void report_durable(Batch& batch);
  void report_failure(const storage::FileError& error);

  EventLoop& loop_;
  storage::SoftStateStore& store_;
  FailureHandler on_failure_;
  uint64_t journal_bytes_ = 0;
  uint64_t writes_ = 0;
  /// Destroyed with the writer. Callbacks posted by the disk thread check it before they access the writer.
  std::shared_ptr<const bool> alive_ = std::make_shared<const bool>(true);
  std::mutex mutex_;
  std::condition_variable wake_disk_thread_;
  Batch queued_;
  bool stopping_ = false;
  std::thread disk_thread_;
};

}  // namespace stoat::control
