/// Deterministic simulation of the control members. The client load consists of operators who put
/// configurations concurrently and resend them, of backends that are retired, and of confirmed reads. Load
/// and faults are generated from a seed, and invariants are checked after every step.
#pragma once

#include <map>
#include <set>
#include <string>
#include <vector>

#include "simulation/simulated_member.h"
#include "simulation/simulated_network.h"

namespace stoat::simulation {

/// Parameters of a simulation run.
struct ControlSimulationOptions {
  uint64_t seed = 1;
  uint32_t voters = 3;
  uint32_t initial_voters = 0;  ///< the other voters start with empty disks and join; 0: all are initial
  Duration duration{20s};
  bool random_faults = true;
  bool client_load = true;
  Duration step{5ms};  ///< simulated time between two checks
  uint64_t entries_per_snapshot = 60;
};

/// Violations and counters of a run.
struct SimulationResult {
  std::vector<std::string> violations;  ///< empty if all checks passed
  uint64_t configurations_accepted = 0;
  uint64_t retirements_accepted = 0;
  uint64_t reads_confirmed = 0;
  uint64_t members_replaced = 0;
  uint64_t leaders_seen = 0;
  uint64_t faults = 0;
};

/// The only model in the simulation.
inline constexpr char kModel[] = "model";

/// A configuration that is empty apart from its version. `source` stands for the operator's document.
fleet::PutConfiguration make_configuration(uint64_t version, const std::string& source);

/// The changes that were acknowledged to operators and backends and so must never be lost.
struct AcknowledgedState {
  uint64_t configuration = 0;  ///< version
  uint64_t weights = 0;        ///< version of the weights of kModel
  std::map<std::string, fleet::BackendState> retired;
};

/// Simulates all control members in one thread. run() performs a complete randomized run; the other functions
/// are for scenario tests, which inject individual faults.
class ControlSimulation {
 public:
  explicit ControlSimulation(const ControlSimulationOptions& options);

  /// Applies load and faults for the configured duration, then clears all faults and checks that the control
  /// plane recovers.
  SimulationResult run();
  void run_for(Duration span);
  /// Runs until the condition holds. Returns false if `limit` passes or a check fails first.
  bool run_until(const std::function<bool()>& condition, Duration limit);

  SimulatedMember& member(size_t position) { return *members_.at(position); }
  size_t member_count() const { return members_.size(); }
  /// The replicated state as applied by a member.
  const fleet::FleetState& state_of(size_t position) { return member(position).core().state().fleet(); }
  /// The position of the leader with the highest term; -1 if there is none.
  int leader() const;
  /// Drops all messages between this member and the other members.
  void isolate(size_t position);
  /// Drops all messages from one member to the other, but not those in the opposite direction.
  void cut_link(size_t from, size_t to);
  void heal_network() { network_.heal_all(); }
  SimulatedNetwork& network() { return network_; }

  /// Puts a configuration in force through the leader, with `source` as the operator's document. Returns
  /// false if it was not acknowledged within the limit.
  bool put(uint64_t version, const std::string& source, Duration limit = Duration(10s));
  /// Proposes a command through the leader. Returns false if it was not acknowledged within the limit.
  bool call(const control::Command& command, Duration limit);
  const AcknowledgedState& acknowledged() const { return acknowledged_; }
  /// Runs until a member whose disk was wiped is a voter under its new identity and its old identity has been
  /// removed. Returns false if `limit` passes first.
  bool wait_until_replaced(size_t position, Duration limit = Duration(20s));
  const std::vector<std::string>& violations() const { return violations_; }
  EventQueue& events() { return events_; }

 private:
  struct Call {
    control::Command command;
    std::function<void()> on_done;
    TimePoint next_attempt{0};
    TimePoint deadline{0};
    size_t target = 0;
  };
  /// How far a member has been checked since its latest start.
  struct CheckedProgress {
    uint64_t start = 0;          ///< which start of the member this is, counted from 1
    uint64_t commit = 0;         ///< highest commit index checked
    uint64_t configuration = 0;  ///< highest version applied
    uint64_t weights = 0;        ///< highest version applied
  };

  void step();
  void send(size_t from, const consensus::Message& message);
  void on_answer(size_t from, const control::CallAnswer& answer);
  void start_call(const control::Command& command, std::function<void()> on_done);
  void advance_calls();
  void send_call(uint64_t token, Call& call);
  void send_join_requests();
  bool is_replaced(size_t position);
  void add_client_load();
  void start_configuration_put(uint64_t version);
  void resend_configuration();
  void retire_backend();
  void start_read();
  void add_random_fault();
  void wipe_random_disk();
  void update_wiped_member();
  void clear_all_faults();
  void check_recovery();
  void check_leaders();
  void check_committed(size_t position);
  void check_applied(size_t position);
  void check_confirmed_read(const AcknowledgedState& expected, const fleet::FleetState& state);
  void record_acknowledged(const control::Command& command);
  void record_violation(const std::string& what);

  ControlSimulationOptions options_;
  Random random_;
  EventQueue events_;
  SimulatedNetwork network_;
  std::vector<std::unique_ptr<SimulatedMember>> members_;
  std::map<uint64_t, Call> calls_;
  std::map<uint64_t, AcknowledgedState> reads_;  ///< by token: the minimum state the read must show
  TimePoint next_join_requests_at_{0};           ///< earliest time of the next join requests
  uint64_t last_token_ = 0;
  uint64_t last_document_ = 0;
  std::vector<fleet::PutConfiguration> sent_configurations_;  ///< candidates for a resend

  // State of the checks.
  std::map<uint64_t, consensus::MemberId> leader_of_term_;
  std::map<uint64_t, uint64_t> committed_hash_;  ///< by log index: hash of the committed entry
  std::vector<CheckedProgress> checked_progress_;
  std::map<uint64_t, std::string> source_of_version_;  ///< by configuration version: the operator's document
  AcknowledgedState acknowledged_;
  std::vector<std::string> violations_;
  SimulationResult result_;
  int wiped_member_ = -1;  ///< position of the member being replaced; -1 if none is
};

}  // namespace stoat::simulation
