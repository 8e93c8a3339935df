#include "src/control/durable_driver.h"

#include "src/wire/codec.h"

namespace stoat::control {

namespace {

constexpr size_t kMaxJobsPerBatch = 256;

/// Appends a later output to an earlier one, so that both are written with one sync.
void merge_output(consensus::Output& earlier, const consensus::Output& later) {
  if (later.hard_state) {
    earlier.hard_state = later.hard_state;
  }
  earlier.append.insert(earlier.append.end(), later.append.begin(), later.append.end());
}

/// An output that replaces stored entries can't be combined with the ones before it.
bool can_merge(const consensus::Output& output) { return !output.install && output.truncate_from == 0; }

}  // namespace

DurableDriver::DurableDriver(EventLoop& loop, ControlCore& core, storage::ReplicaStore& store,
                             SendHandler send, std::function<void()> after_apply, FailureHandler on_failure)
    : loop_(loop),
      core_(core),
      store_(store),
      send_(std::move(send)),
      after_apply_(std::move(after_apply)),
      on_failure_(std::move(on_failure)),
      log_bytes_(store.log_bytes()),
      disk_thread_([this] { run_disk_thread(); }) {}

DurableDriver::~DurableDriver() {
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    stopping_ = true;
  }
  wake_disk_thread_.notify_one();
  disk_thread_.join();
}

void DurableDriver::process_output() {
  if (write_failed_ || in_process_output_) {
    return;
  }
  in_process_output_ = true;
  for (;;) {
    auto output = std::make_shared<consensus::Output>(core_.take_output());
    for (const consensus::Message& message : output->send_now) {
      send_(message);
    }
    const bool is_empty = !output->needs_disk() && output->send_after_persist.empty() &&
                          output->committed.empty() && output->confirmed_reads.empty();
    if (is_empty) {
      break;
    }
    if (!output->needs_disk() && open_jobs_ == 0) {
      complete({Job{output, nullptr, nullptr, {}}});
      continue;
    }
    ++open_jobs_;
    {
      const std::lock_guard<std::mutex> lock(mutex_);
      jobs_.push_back(Job{output, nullptr, nullptr, {}});
    }
    wake_disk_thread_.notify_one();
  }
  start_snapshot();
  in_process_output_ = false;
  after_apply_();
}

void DurableDriver::start_snapshot() {
  if (snapshot_in_progress_ || open_jobs_ > 0) {
    return;
  }
  auto due = core_.due_snapshot();
  if (!due) {
    return;
  }
  snapshot_in_progress_ = true;
  ++open_jobs_;
  Job job;
  job.snapshot = std::make_shared<DueSnapshot>(std::move(*due));
  job.encoded = std::make_shared<const std::string>(wire::encode(job.snapshot->snapshot));
  job.entries_after = core_.entries_after(job.snapshot->snapshot.index);
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    jobs_.push_back(std::move(job));
  }
  wake_disk_thread_.notify_one();
}

void DurableDriver::run_disk_thread() {
  for (;;) {
    std::vector<Job> batch;
    {
      std::unique_lock<std::mutex> lock(mutex_);
      wake_disk_thread_.wait(lock, [this] { return stopping_ || !jobs_.empty(); });
      if (stopping_) {
        return;
      }
      while (!jobs_.empty() && batch.size() < kMaxJobsPerBatch) {
        batch.push_back(std::move(jobs_.front()));
        jobs_.pop_front();
      }
    }
    write(batch);
  }
}

void DurableDriver::write(std::vector<Job>& batch) {
  storage::FileResult result;
  uint64_t syncs = 0;
  size_t position = 0;
  while (position < batch.size() && result) {
    const Job& job = batch[position];
    if (job.snapshot != nullptr) {
      result = store_.write_snapshot(*job.encoded, job.snapshot->hard_state, job.entries_after);
      ++position;
      continue;
    }
    consensus::Output merged;
    merged.hard_state = job.output->hard_state;
    merged.install = job.output->install;
    merged.truncate_from = job.output->truncate_from;
    merged.append = job.output->append;
    ++position;
    while (position < batch.size() && batch[position].snapshot == nullptr &&
           can_merge(*batch[position].output)) {
      merge_output(merged, *batch[position].output);
      ++position;
    }
    result = store_.write(merged);
    ++syncs;
  }
  auto completed = std::make_shared<std::vector<Job>>(std::move(batch));
  const uint64_t log_bytes = store_.log_bytes();
  loop_.post([this, alive = std::weak_ptr<const bool>(alive_), completed, result, syncs, log_bytes] {
    if (alive.expired()) {
      return;
    }
    syncs_ += syncs;
    log_bytes_ = log_bytes;
    if (!result) {
      write_failed_ = true;
      on_failure_(result.error());
      return;
    }
    open_jobs_ -= completed->size();
    complete(*completed);
    process_output();
  });
}

void DurableDriver::complete(const std::vector<Job>& batch) {
  for (const Job& job : batch) {
    if (job.snapshot != nullptr) {
      core_.compact(job.encoded, job.snapshot->snapshot);
      snapshot_in_progress_ = false;
      continue;
    }
    core_.on_persisted(*job.output, loop_.now());
    for (const consensus::Message& message : job.output->send_after_persist) {
      send_(message);
    }
  }
}

}  // namespace stoat::control
