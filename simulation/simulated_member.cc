#include "simulation/simulated_member.h"

#include "src/wire/codec.h"

namespace stoat::simulation {

namespace {

constexpr int64_t kLeastSyncUs = 200;
constexpr int64_t kMostSyncUs = 4000;
constexpr size_t kMostKeptInputs = 2000;

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

void SimulatedMember::found(consensus::MemberId id, const consensus::MemberList& members) {
  identity_ = storage::DiskIdentity{id, name_};
  consensus::Snapshot first;
  first.index = 1;
  first.term = 1;
  first.members = members;
  first.state = control::StateMachine().save();
  store_.save_identity(identity_);
  store_.write_snapshot(wire::encode(first), consensus::HardState{1, 0}, {});
}

void SimulatedMember::start() {
  ++starts_;
  start_error_.clear();
  frozen_ = false;
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

void SimulatedMember::crash(bool in_the_middle_of_a_write) {
  if (in_the_middle_of_a_write && !to_write_.empty()) {
    disk_.interrupt_next();
    store_.write(*to_write_.front());
  }
  disk_.lose_power();
  core_.reset();
  to_write_.clear();
  kept_inputs_.clear();
  writing_ = false;
  frozen_ = false;
}

void SimulatedMember::wipe_disk() {
  crash(false);
  disk_.wipe();
}

void SimulatedMember::thaw() {
  frozen_ = false;
  while (!kept_inputs_.empty() && running()) {
    const auto input = std::move(kept_inputs_.front());
    kept_inputs_.pop_front();
    run(input);
  }
}

void SimulatedMember::run(const std::function<void(control::ControlCore&, TimePoint)>& input) {
  if (!running()) {
    return;
  }
  if (frozen_) {
    if (kept_inputs_.size() < kMostKeptInputs) {
      kept_inputs_.push_back(input);
    }
    return;
  }
  input(*core_, local_now());
  drive();
}

void SimulatedMember::tick() {
  if (running() && !frozen_) {
    core_->tick(local_now());
    drive();
  }
}

void SimulatedMember::drive() {
  while (running()) {
    auto output = std::make_shared<consensus::Output>(core_->take_output());
    for (const consensus::Message& message : output->send_now) {
      send_(message);
    }
    const bool nothing = !output->needs_disk() && output->send_after_persist.empty() &&
                         output->committed.empty() && output->confirmed_reads.empty();
    if (nothing) {
      break;
    }
    if (!output->needs_disk() && to_write_.empty()) {
      complete(*output);
      continue;
    }
    to_write_.push_back(output);
  }
  write_next();
  if (running()) {
    for (const control::CallAnswer& answer : core_->take_answers()) {
      answer_(answer);
    }
  }
}

void SimulatedMember::write_next() {
  if (writing_ || to_write_.empty() || !running()) {
    return;
  }
  writing_ = true;
  const uint64_t start_number = starts_;
  events_.after(Duration(random_.between(kLeastSyncUs, kMostSyncUs)), [this, start_number] {
    if (start_number != starts_ || !writing_ || !running()) {
      return;  // the process that asked for it is gone
    }
    writing_ = false;
    if (frozen_) {
      kept_inputs_.push_back([](control::ControlCore&, TimePoint) {});  // go on after the thaw
      return;
    }
    const OutputPtr output = to_write_.front();
    to_write_.pop_front();
    if (!store_.write(*output)) {
      crash(false);  // a member whose disk fails stops before it acknowledges anything
      return;
    }
    complete(*output);
    write_snapshot_when_due();
    drive();
  });
}

void SimulatedMember::complete(const consensus::Output& output) {
  core_->on_persisted(output, local_now());
  for (const consensus::Message& message : output.send_after_persist) {
    send_(message);
  }
}

void SimulatedMember::write_snapshot_when_due() {
  if (!to_write_.empty()) {
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
