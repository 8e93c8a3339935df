/// One simulated control member: the production ControlCore and ReplicaStore on a simulated disk.
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

/// Runs the core, delays its disk writes, and passes on its messages and answers. It can crash, be paused,
/// and lose its disk.
class SimulatedMember {
 public:
  using SendHandler = std::function<void(const consensus::Message&)>;
  using AnswerHandler = std::function<void(const control::CallAnswer&)>;

  SimulatedMember(EventQueue& events, std::string name, const control::ControlOptions& options, uint64_t seed,
                  SendHandler send, AnswerHandler answer);

  /// Writes the initial state of a new cluster to disk: `members` is its member list, and `id` is this
  /// member's identity.
  void bootstrap(consensus::MemberId id, const consensus::MemberList& members);
  /// Starts from the state on disk; on an empty disk, creates a new identity. On failure start_error() is set
  /// and the member does not run.
  void start();
  /// Simulates a killed process or a power loss, optionally during a disk write. The member does not run
  /// until start().
  void crash(bool during_write);
  /// Crashes the member and replaces its disk by an empty one.
  void wipe_disk();
  /// A paused member processes nothing. Inputs are buffered, as a socket buffer would, until resume().
  void pause() { paused_ = true; }
  void resume();

  /// Passes an input to the core and processes the core's output; buffers the input while the member is
  /// paused.
  void run(const std::function<void(control::ControlCore&, TimePoint)>& input);
  /// Advances the core's timers to the current time.
  void tick();

  bool running() const { return core_ != nullptr; }
  bool paused() const { return paused_; }
  /// Whether the member is running and has a log or a snapshot.
  bool has_state() const { return running() && core_->replica().last_index() > 0; }
  const std::string& name() const { return name_; }
  consensus::MemberId id() const { return identity_.id; }
  control::ControlCore& core() { return *core_; }
  SimulatedDisk& disk() { return disk_; }
  /// Makes the member's clock run at `rate` times the speed of the simulated time.
  void set_clock_rate(double rate) { clock_rate_ = rate; }
  /// Number of calls of start().
  uint64_t starts() const { return starts_; }
  /// Why the latest start failed; empty if it succeeded.
  const std::string& start_error() const { return start_error_; }

 private:
  using OutputPtr = std::shared_ptr<consensus::Output>;
  TimePoint local_now() const;
  void process_output();
  void write_next();
  void on_written(const consensus::Output& output);
  void write_snapshot_if_due();

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
  std::deque<OutputPtr> pending_writes_;
  bool writing_ = false;
  bool paused_ = false;
  std::deque<std::function<void(control::ControlCore&, TimePoint)>> buffered_inputs_;
  double clock_rate_ = 1;
  uint64_t starts_ = 0;
  std::string start_error_;
};

}  // namespace stoat::simulation
