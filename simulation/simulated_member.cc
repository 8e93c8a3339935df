#include "simulation/simulated_member.h"

#include "src/wire/codec.h"

namespace stoat::simulation {

namespace {

constexpr int64_t kMinSyncUs = 200;
constexpr int64_t kMaxSyncUs = 4000;
constexpr size_t kMaxBufferedInputs = 2000;

}  // namespace

SimulatedMember::SimulatedMember(EventQueue& events, std::string name, const control::ControlOptions& options,
                                 uint64_t seed, SendHandler send, AnswerHandler answer)
    : events_(events),
      name_(std::move(name)),
      options_(options),
      random_(seed),
      send_(std::move(send)),
      answer_(std::move(answer)),
      disk_(seed + 1),
      store_(disk_) {}

TimePoint SimulatedMember::local_now() const {
  return TimePoint(static_cast<int64_t>(static_cast<double>(events_.now().count()) * clock_rate_));
}

void SimulatedMember::bootstrap(consensus::MemberId id, const consensus::MemberList& members) {
  identity_ = storage::DiskIdentity{id, name_};
  consensus::Snapshot initial_snapshot;
  initial_snapshot.index = 1;
  initial_snapshot.term = 1;
  initial_snapshot.members = members;
  initial_snapshot.state = control::StateMachine().save();
  store_.save_identity(identity_);
  store_.write_snapshot(wire::encode(initial_snapshot), consensus::HardState{1, 0}, {});
}

void SimulatedMember::start() {
  ++starts_;
  start_error_.clear();
  paused_ = false;
  const auto identity = store_.load_identity();
  auto restored = store_.load();
  if (!identity || !restored) {
    const storage::FileError& error = identity ? restored.error() : identity.error();
    start_error_ = error.path + ": " + error.message;
    return;
  }
  if (identity->has_value()) {
    identity_ = **identity;
  } else {
    identity_ = storage::DiskIdentity{random_.bits() | 1U, name_};
    store_.save_identity(identity_);
  }
  options_.replica.id = identity_.id;
  core_ = std::make_unique<control::ControlCore>(options_, *restored, random_.bits(), local_now());
}

void SimulatedMember::crash(bool during_write) {
  if (during_write && !pending_writes_.empty()) {
    disk_.interrupt_next_write();
    store_.write(*pending_writes_.front());
  }
  disk_.lose_power();
  core_.reset();
  pending_writes_.clear();
  buffered_inputs_.clear();
  writing_ = false;
  paused_ = false;
}

void SimulatedMember::wipe_disk() {
  crash(false);
  disk_.wipe();
}

void SimulatedMember::resume() {
  paused_ = false;
  while (!buffered_inputs_.empty() && running()) {
    const auto input = std::move(buffered_inputs_.front());
    buffered_inputs_.pop_front();
    run(input);
  }
}

void SimulatedMember::run(const std::function<void(control::ControlCore&, TimePoint)>& input) {
  if (!running()) {
    return;
  }
  if (paused_) {
    if (buffered_inputs_.size() < kMaxBufferedInputs) {
      buffered_inputs_.push_back(input);
    }
    return;
  }
  input(*core_, local_now());
  process_output();
}

void SimulatedMember::tick() {
  if (running() && !paused_) {
    core_->tick(local_now());
    process_output();
  }
}

void SimulatedMember::process_output() {
  while (running()) {
    auto output = std::make_shared<consensus::Output>(core_->take_output());
    for (const consensus::Message& message : output->send_now) {
      send_(message);
    }
    const bool output_is_empty = !output->needs_disk() && output->send_after_persist.empty() &&
                                 output->committed.empty() && output->confirmed_reads.empty();
    if (output_is_empty) {
      break;
    }
    if (!output->needs_disk() && pending_writes_.empty()) {
      on_written(*output);
      continue;
    }
    pending_writes_.push_back(output);
  }
  write_next();
  if (running()) {
    for (const control::CallAnswer& answer : core_->take_answers()) {
      answer_(answer);
    }
  }
}

void SimulatedMember::write_next() {
  if (writing_ || pending_writes_.empty() || !running()) {
    return;
  }
  writing_ = true;
  const uint64_t scheduled_in_start = starts_;
  events_.schedule_after(Duration(random_.between(kMinSyncUs, kMaxSyncUs)), [this, scheduled_in_start] {
    if (scheduled_in_start != starts_ || !writing_ || !running()) {
      return;  // the process that issued the write has ended
    }
    writing_ = false;
    if (paused_) {
      // An empty input makes resume() continue with the write.
      buffered_inputs_.push_back([](control::ControlCore&, TimePoint) {});
      return;
    }
    const OutputPtr output = pending_writes_.front();
    pending_writes_.pop_front();
    if (!store_.write(*output)) {
      crash(false);  // a member whose disk fails stops without acknowledging the write
      return;
    }
    on_written(*output);
    write_snapshot_if_due();
    process_output();
  });
}

void SimulatedMember::on_written(const consensus::Output& output) {
  core_->on_persisted(output, local_now());
  for (const consensus::Message& message : output.send_after_persist) {
    send_(message);
  }
}

void SimulatedMember::write_snapshot_if_due() {
  if (!pending_writes_.empty()) {
    return;
  }
  const auto due = core_->due_snapshot();
  if (!due) {
    return;
  }
  auto encoded = std::make_shared<const std::string>(wire::encode(due->snapshot));
  if (!store_.write_snapshot(*encoded, due->hard_state, core_->entries_after(due->snapshot.index))) {
    crash(false);
    return;
  }
  core_->compact(encoded, due->snapshot);
}

}  // namespace stoat::simulation
