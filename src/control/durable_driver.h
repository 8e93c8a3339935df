/// Runs a ControlCore on a disk: outputs are written and synced in order on a thread of their own, many at
/// once when the disk is slower than the requests (group commit).
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

/// See the head of this file. A failed write calls `on_failure` and nothing is acknowledged any more.
class DurableDriver {
 public:
  using SendHandler = std::function<void(const consensus::Message&)>;
  using FailureHandler = std::function<void(const storage::FileError&)>;

  DurableDriver(EventLoop& loop, ControlCore& core, storage::ReplicaStore& store, SendHandler send,
                std::function<void()> after_apply, FailureHandler on_failure);
  ~DurableDriver();
  DurableDriver(const DurableDriver&) = delete;
  DurableDriver& operator=(const DurableDriver&) = delete;

  /// To be called after every call into the core.
  void drive();
  uint64_t syncs() const { return syncs_; }
  /// Size of the log file after the last write that has completed.
  uint64_t log_bytes() const { return log_bytes_; }

 private:
  using OutputPtr = std::shared_ptr<consensus::Output>;
  /// One piece of work for the disk thread: an output, or a snapshot.
  struct Job {
    OutputPtr output;
    std::shared_ptr<DueSnapshot> snapshot;
    std::shared_ptr<const std::string> encoded;
    std::vector<consensus::Entry> entries_after;
  };
  void run_disk();
  void write(std::vector<Job>& batch);
  void complete(const std::vector<Job>& batch);
  void start_snapshot();

  EventLoop& loop_;
  ControlCore& core_;
  storage::ReplicaStore& store_;
  SendHandler send_;
  std::function<void()> after_apply_;
  FailureHandler on_failure_;
  bool failed_ = false;
  bool snapshot_under_way_ = false;
  bool driving_ = false;
  size_t jobs_open_ = 0;
  uint64_t syncs_ = 0;
  uint64_t log_bytes_ = 0;
  /// Goes with the driver; what the disk thread has posted and runs later looks whether it is still there.
  std::shared_ptr<const bool> alive_ = std::make_shared<const bool>(true);
  std::mutex mutex_;
  std::condition_variable wake_;
  std::deque<Job> jobs_;
  bool stopping_ = false;
  std::thread disk_thread_;
};

}  // namespace stoat::control
