#include "src/control/soft_state_writer.h"

#include <utility>

namespace stoat::control {

namespace {

/// Bounds the memory of what waits for a disk that hangs or refuses writes.
constexpr size_t kMaxQueuedRecords = 100000;
constexpr Duration kRetryDelay = 500ms;

}  // namespace

SoftStateWriter::SoftStateWriter(EventLoop& loop, storage::SoftStateStore& store, FailureHandler on_failure)
    : loop_(loop),
      store_(store),
      on_failure_(std::move(on_failure)),
      journal_bytes_(store.journal_bytes()),
      disk_thread_([this] { run_disk_thread(); }) {}

SoftStateWriter::~SoftStateWriter() {
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    stopping_ = true;
  }
  wake_disk_thread_.notify_one();
  disk_thread_.join();
}

bool SoftStateWriter::write_records(const std::vector<fleet::StreamRecord>& records,
                                    DurableHandler on_durable) {
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    if (queued_.records.size() + records.size() > kMaxQueuedRecords) {
      return false;
    }
    queued_.records.insert(queued_.records.end(), records.begin(), records.end());
    queued_.on_durable.push_back(std::move(on_durable));
  }
  wake_disk_thread_.notify_one();
  return true;
}

void SoftStateWriter::write_snapshot(storage::SoftStateSnapshot snapshot) {
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    queued_.snapshot = std::move(snapshot);
  }
  wake_disk_thread_.notify_one();
}

bool SoftStateWriter::take_queued(Batch& batch) {
  std::unique_lock<std::mutex> lock(mutex_);
  wake_disk_thread_.wait(lock, [this] { return stopping_ || !queued_.empty(); });
  batch = std::exchange(queued_, {});
  return !stopping_;
}

void SoftStateWriter::run_disk_thread() {
  for (Batch batch; take_queued(batch);) {
    if (!write_until_durable(batch)) {
      return;
    }
    report_durable(batch);
  }
}

bool SoftStateWriter::write_until_durable(Batch& batch) {
  for (;;) {
    const storage::FileResult result = write(batch);
    if (result) {
      return true;
    }
    report_failure(result.error());
    std::unique_lock<std::mutex> lock(mutex_);
    if (wake_disk_thread_.wait_for(lock, kRetryDelay, [this] { return stopping_; })) {
      return false;
    }
  }
}

storage::FileResult SoftStateWriter::write(Batch& batch) {
  if (batch.snapshot) {
    if (auto result = store_.write_snapshot(*batch.snapshot); !result) {
      return result;
    }
    batch.snapshot.reset();
  }
  return batch.records.empty() ? storage::FileResult() : store_.write_records(batch.records, monotonic_now());
}

void SoftStateWriter::report_durable(Batch& batch) {
  const uint64_t bytes = store_.journal_bytes();
  loop_.post(
      [this, alive = std::weak_ptr<const bool>(alive_), handlers = std::move(batch.on_durable), bytes] {
        if (alive.expired()) {
          return;
        }
        ++writes_;
        journal_bytes_ = bytes;
        for (const DurableHandler& on_durable : handlers) {
          on_durable();
        }
      });
}

void SoftStateWriter::report_failure(const storage::FileError& error) {
  loop_.post([this, alive = std::weak_ptr<const bool>(alive_), error] {
    if (!alive.expired()) {
      on_failure_(error);
    }
  });
}

}  // namespace stoat::control
