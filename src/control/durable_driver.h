/// Writes the outputs of a ControlCore to disk, in order and on a separate thread. When outputs arrive faster
/// than the disk can sync them, several are written with one sync (group commit).
#pragma once

#include <condition_variable>
#include <deque>
#include <functional>
#include <memory>
#include <mutex>
#include <thread>

#include "src/control/control_core.h"
#include "src/http/event_loop.h"
#include "src/storage/replica_store.h"

namespace stoat::control {

/// Runs a ControlCore with durable storage. After a failed write, `on_failure` is called and nothing more is
/// acknowledged.
class DurableDriver {
 public:
  using SendHandler = std::function<void(const consensus::Message&)>;
  using FailureHandler = std::function<void(const storage::FileError&)>;

  DurableDriver(EventLoop& loop, ControlCore& core, storage::ReplicaStore& store, SendHandler send,
                std::function<void()> after_apply, FailureHandler on_failure);
  ~DurableDriver();
  DurableDriver(const DurableDriver&) = delete;
  DurableDriver& operator=(const DurableDriver&) = delete;

  /// Processes the pending output of the core. To be called after every call into the core.
  void process_output();
  uint64_t syncs() const { return syncs_; }
  /// Size of the log file in bytes after the last completed write.
  uint64_t log_bytes() const { return log_bytes_; }

 private:
  using OutputPtr = std::shared_ptr<consensus::Output>;
  /// A job for the disk thread: either an output or a snapshot.
  struct Job {
    OutputPtr output;
    std::shared_ptr<DueSnapshot> snapshot;
    std::shared_ptr<const std::string> encoded;
    std::vector<consensus::Entry> entries_after;
  };
  void run_disk_thread();
  void write(std::vector<Job>& batch);
  void complete(const std::vector<Job>& batch);
  void start_snapshot();

  EventLoop& loop_;
  ControlCore& core_;
  storage::ReplicaStore& store_;
  SendHandler send_;
  std::function<void()> after_apply_;
  FailureHandler on_failure_;
  bool write_failed_ = false;
  bool snapshot_in_progress_ = false;
  bool in_process_output_ = false;
  size_t open_jobs_ = 0;
  uint64_t syncs_ = 0;
  uint64_t log_bytes_ = 0;
  /// Destroyed with the driver. Callbacks posted by the disk thread check it before they access the driver.
  std::shared_ptr<const bool> alive_ = std::make_shared<const bool>(true);
  std::mutex mutex_;
  std::condition_variable wake_disk_thread_;
  std::deque<Job> jobs_;
  bool stopping_ = false;
  std::thread disk_thread_;
};

}  // namespace stoat::control
