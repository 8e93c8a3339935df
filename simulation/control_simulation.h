/// The control members in a deterministic simulation: operators who race and resend, back ends that sign off,
/// confirmed reads, faults drawn from a seed, and checks after every step.
#pragma once

#include <map>
#include <set>
#include <string>
#include <vector>

#include "simulation/simulated_member.h"
#include "simulation/simulated_network.h"

namespace stoat::simulation {

/// What happens in a run.
struct ControlSimulationOptions {
  uint64_t seed = 1;
  uint32_t voters = 3;
  uint32_t founders = 0;  ///< initial members; the others start with empty disks and join. 0: all voters
  Duration duration{20s};
  bool random_faults = true;
  bool client_load = true;
  Duration step{5ms};
  uint64_t entries_per_snapshot = 60;
};

/// What a run found.
struct SimulationResult {
  std::vector<std::string> violations;  ///< empty: all checks held
  uint64_t configurations_accepted = 0;
  uint64_t retirements_accepted = 0;
  uint64_t reads_confirmed = 0;
  uint64_t members_replaced = 0;
  uint64_t leaders_seen = 0;
  uint64_t faults = 0;
};

/// The one model whose weights are named.
inline constexpr char kModel[] = "model";

/// A configuration that holds nothing but its version, with the operator's document.
fleet::PutConfiguration make_configuration(uint64_t version, const std::string& source);

/// What was acknowledged to operators and back ends, and must never be forgotten.
struct Acknowledged {
  uint64_t configuration = 0;  ///< version
  uint64_t weights = 0;        ///< version of the one model
  std::map<std::string, fleet::BackendState> retired;
};

/// See the head of this file. run() does all; the other calls serve scenarios that place faults by hand.
class ControlSimulation {
 public:
  explicit ControlSimulation(const ControlSimulationOptions& options);

  /// The whole run: load and faults for the duration, then all is healed and must work again.
  SimulationResult run();
  void run_for(Duration span);
  /// Runs until the condition holds; false when the limit passes first.
  bool run_until(const std::function<bool()>& condition, Duration limit);

  SimulatedMember& member(size_t position) { return *members_.at(position); }
  size_t member_count() const { return members_.size(); }
  /// The replicated state that a member has applied.
  const fleet::FleetState& state_of(size_t position) { return member(position).core().state().fleet(); }
  /// The position of the leader with the highest term; -1 when none.
  int leader() const;
  void cut_off(size_t position);
  void cut_between(size_t from, size_t to);
  void heal_network() { network_.heal_all(); }
  SimulatedNetwork& network() { return network_; }

  /// Puts a configuration in force through the leader, with `source` as the operator's document; false when
  /// it was not acknowledged within the limit.
  bool put(uint64_t version, const std::string& source, Duration limit = Duration(10s));
  /// Proposes any command through the leader; false when it was not acknowledged within the limit.
  bool call(const control::Command& command, Duration limit);
  const Acknowledged& acknowledged() const { return acknowledged_; }
  /// Waits until a member whose disk was wiped votes under its new identity, and the former one is gone.
  bool wait_replaced(size_t position, Duration limit = Duration(20s));
  const std::vector<std::string>& violations() const { return violations_; }
  EventQueue& events() { return events_; }

 private:
  struct Call {
    control::Command command;
    std::function<void()> on_done;
    TimePoint next_try{0};
    TimePoint give_up_at{0};
    size_t target = 0;
  };
  /// What was checked of one start of a member.
  struct Checked {
    uint64_t start = 0;
    uint64_t commit = 0;
    uint64_t configuration = 0;  ///< version applied
    uint64_t weights = 0;
  };

  void step();
  void send(size_t from, const consensus::Message& message);
  void on_answer(size_t from, const control::CallAnswer& answer);
  void start_call(const control::Command& command, std::function<void()> on_done);
  void drive_calls();
  void send_call(uint64_t token, Call& call);
  void announce_joins();
  bool replaced(size_t position);
  void add_client_load();
  void put_configuration(uint64_t version);
  void resend_configuration();
  void retire_backend();
  void start_read();
  void add_random_fault();
  void random_wipe();
  void note_replaced();
  void heal_everything();
  void check_works_again();
  void check_leaders();
  void check_committed(size_t position);
  void check_applied(size_t position);
  void check_read(const Acknowledged& least, const fleet::FleetState& state);
  void note_acknowledged(const control::Command& command);
  void violate(const std::string& what);

  ControlSimulationOptions options_;
  Random random_;
  EventQueue events_;
  SimulatedNetwork network_;
  std::vector<std::unique_ptr<SimulatedMember>> members_;
  std::map<uint64_t, Call> calls_;
  std::map<uint64_t, Acknowledged> reads_;  ///< what each must show, by token
  TimePoint next_join_requests_{0};         ///< when members may next send join requests
  uint64_t last_token_ = 0;
  uint64_t last_document_ = 0;
  std::vector<fleet::PutConfiguration> sent_configurations_;  ///< for resends

  // What the checks remember.
  std::map<uint64_t, consensus::MemberId> leader_of_term_;
  std::map<uint64_t, uint64_t> committed_hash_;  ///< log index to a hash of its entry
  std::vector<Checked> checked_;
  std::map<uint64_t, std::string> source_of_version_;
  Acknowledged acknowledged_;
  std::vector<std::string> violations_;
  SimulationResult result_;
  int wiped_member_ = -1;  ///< being replaced
};

}  // namespace stoat::simulation
