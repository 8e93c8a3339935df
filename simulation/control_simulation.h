/// The control members in a deterministic simulation: operators who race and resend, routers that claim keys,
/// nodes that follow the configuration, faults drawn from a seed, and checks after every step.
#pragma once

#include <map>
#include <set>
#include <string>
#include <vector>

#include "simulation/simulated_member.h"
#include "simulation/simulated_network.h"
#include "src/control/configuration_follower.h"

namespace stoat::simulation {

/// What happens in a run.
struct ControlSimulationOptions {
  uint64_t seed = 1;
  uint32_t voters = 3;
  Duration duration{20s};
  bool random_faults = true;
  bool client_load = true;
  Duration step{5ms};
  uint64_t entries_per_snapshot = 60;
};

/// What a run found.
struct SimulationResult {
  std::vector<std::string> violations;  ///< empty: all checks held
  uint64_t changes_accepted = 0;
  uint64_t claims_granted = 0;
  uint64_t leaders_seen = 0;
  uint64_t faults = 0;
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
  /// The position of the leader with the highest term; -1 when none.
  int leader() const;
  void cut_off(size_t position);
  void cut_between(size_t from, size_t to);
  void heal_network() { network_.heal_all(); }
  SimulatedNetwork& network() { return network_; }

  /// Proposes an operator's change through the leader; false when no answer came within the limit.
  bool change(const std::string& request_id, uint64_t base_version, control::CommandResult& result,
              Duration limit = Duration(10s));
  /// Asks for a claim through the leader.
  bool claim(const std::string& key, uint64_t claim_id, control::CommandResult& result,
             Duration limit = Duration(10s));
  /// Proposes any command through the leader.
  bool call(const control::Command& command, control::CommandResult& result, Duration limit);
  /// Version of the last change that was acknowledged.
  uint64_t acknowledged_version() const { return acknowledged_version_; }
  /// Replaces the voter of a wiped member, as an operator does; true once the newcomer votes.
  bool replace(size_t position, Duration limit = Duration(20s));
  /// A node's copy of the configuration.
  control::ConfigurationFollower& node(size_t position) { return nodes_.at(position).follower; }
  const std::vector<std::string>& violations() const { return violations_; }
  EventQueue& events() { return events_; }

 private:
  struct Call {
    control::Command command;
    std::function<void(const control::CommandResult&)> on_result;
    TimePoint next_try{0};
    TimePoint give_up_at{0};
    size_t target = 0;
  };
  struct Node {
    std::string name;
    control::ConfigurationFollower follower;
    size_t member = 0;
    TimePoint next_poll{0};
    uint64_t highest_version = 0;
  };
  struct Read {
    uint64_t least_version = 0;
    size_t member = 0;
  };

  void step();
  void send(size_t from, const consensus::Message& message);
  void on_answer(size_t from, const control::CallAnswer& answer);
  void start_call(const control::Command& command,
                  std::function<void(const control::CommandResult&)> on_result);
  void drive_calls();
  void send_call(uint64_t token, Call& call);
  void drive_nodes();
  void announce_joins();
  void add_client_load();
  void operator_change(uint64_t base_version);
  void start_read();
  void add_random_fault();
  void random_wipe();
  void heal_everything();
  void check_leaders();
  void check_committed(size_t position);
  void check_node(Node& node);
  void note_change_result(const control::ChangeConfiguration& change, const control::CommandResult& result);
  void note_claim_result(const control::ClaimKey& claim, const control::CommandResult& result);
  void violate(const std::string& what);

  ControlSimulationOptions options_;
  Random random_;
  EventQueue events_;
  SimulatedNetwork network_;
  std::vector<std::unique_ptr<SimulatedMember>> members_;
  std::vector<Node> nodes_;
  std::map<uint64_t, Call> calls_;
  std::map<uint64_t, Read> reads_;
  uint64_t last_token_ = 0;
  uint64_t last_operator_request_ = 0;
  std::vector<control::ChangeConfiguration> sent_changes_;  ///< for resends

  // What the checks remember.
  std::map<uint64_t, consensus::MemberId> leader_of_term_;
  std::map<uint64_t, uint64_t> committed_hash_;  ///< log index to a hash of its entry
  std::vector<uint64_t> checked_commit_;
  std::vector<uint64_t> checked_start_;
  std::map<uint64_t, std::string> accepted_by_base_;
  std::map<std::string, control::CommandResult> first_answers_;
  std::map<std::string, uint64_t> grant_of_key_;
  std::map<uint64_t, uint64_t> configuration_hash_;
  uint64_t acknowledged_version_ = 0;
  uint64_t read_version_ = 0;
  std::vector<std::string> violations_;
  SimulationResult result_;
  int wiped_member_ = -1;  ///< being replaced
};

}  // namespace stoat::simulation
