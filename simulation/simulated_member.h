/// One control member in the simulator: the real ControlCore and ReplicaStore on a simulated disk.
#pragma once

#include <deque>
#include <functional>
#include <memory>
#include <string>

#include "simulation/event_queue.h"
#include "simulation/simulated_disk.h"
#include "src/control/control_core.h"
#include "src/storage/replica_store.h"

namespace stoat::simulation {

/// See the head of this file.
class SimulatedMember {
 public:
  using SendHandler = std::function<void(const consensus::Message&)>;
  using AnswerHandler = std::function<void(const control::CallAnswer&)>;

  SimulatedMember(EventQueue& events, std::string name, const control::ControlOptions& options, uint64_t seed,
                  SendHandler send, AnswerHandler answer);

  /// Writes a founding state in which `members` vote; this member's identity is `id`.
  void found(consensus::MemberId id, const consensus::MemberList& members);
  /// Starts from what the disk holds. On a blank disk a new identity is made.
  void start();
  /// The process is killed or the machine loses power, perhaps in the middle of a write.
  void crash(bool in_the_middle_of_a_write);
  void wipe_disk();
  /// While frozen nothing is handled; what arrives is kept, as a socket's buffer keeps it.
  void freeze() { frozen_ = true; }
  void thaw();

  /// Runs an input on the core, and what follows from it; kept for later while frozen.
  void run(const std::function<void(control::ControlCore&, TimePoint)>& input);
  void tick();

  bool running() const { return core_ != nullptr; }
  bool frozen() const { return frozen_; }
  /// Not blank: it has a log or a snapshot.
  bool has_state() const { return running() && core_->replica().last_index() > 0; }
  const std::string& name() const { return name_; }
  consensus::MemberId id() const { return identity_.id; }
  control::ControlCore& core() { return *core_; }
  SimulatedDisk& disk() { return disk_; }
  /// The member's clock runs this much faster or slower.
  void set_clock_rate(double rate) { clock_rate_ = rate; }
  uint64_t starts() const { return starts_; }
  const std::string& start_error() const { return start_error_; }

 private:
  using OutputPtr = std::shared_ptr<consensus::Output>;
  TimePoint local_now() const;
  void drive();
  void write_next();
  void complete(const consensus::Output& output);
  void write_snapshot_when_due();

  EventQueue& events_;
  std::string name_;
  control::ControlOptions options_;
  Random random_;
  SendHandler send_;
  AnswerHandler answer_;
  SimulatedDisk disk_;
  storage::ReplicaStore store_;
  storage::DiskIdentity identity_;
  std::unique_ptr<control::ControlCore> core_;
  std::deque<OutputPtr> to_write_;
  bool writing_ = false;
  bool frozen_ = false;
  std::deque<std::function<void(control::ControlCore&, TimePoint)>> kept_inputs_;
  double clock_rate_ = 1;
  uint64_t starts_ = 0;
  std::string start_error_;
};

}  // namespace stoat::simulation
