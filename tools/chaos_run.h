/// A run of real processes under a schedule of faults, with traffic, racing operators and a watch on
/// versions; judged by what must always hold, never by timing.
#pragma once

#include <atomic>
#include <mutex>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include "tools/fault_schedule.h"
#include "tools/local_fleet.h"

namespace stoat::tools {

/// What a run is made of.
struct ChaosSettings {
  uint64_t seed = 1;
  Duration duration{20s};
  WorkloadSettings workload;
};

/// What a run showed.
struct ChaosReport {
  nlohmann::json load;                  ///< as of make_report(), with the ledgers' checks
  std::vector<std::string> events;      ///< what was done, with its time
  std::vector<std::string> violations;  ///< of what must always hold; empty when all is well
};

/// The settings of a fleet that fits a run: three control members, links that can be cut.
LocalFleetSettings chaos_fleet(const WorkloadSettings& workload);

/// Carries out a schedule on a fleet that runs. Not thread-safe; run() is for a thread of its own.
class FaultRunner {
 public:
  FaultRunner(LocalFleet& fleet, std::vector<PlannedFault> faults);
  /// Does all faults at their times and heals them; returns when the last one has ended.
  void run();
  const std::vector<std::string>& events() const { return events_; }
  const std::vector<std::string>& violations() const { return violations_; }

 private:
  void begin(const PlannedFault& fault);
  void end(const PlannedFault& fault);
  void start_if_stopped(const std::string& name);
  void stop_and_check(const std::string& name);
  void replace_wiped(const std::string& name);
  void order_weights();
  void note(const std::string& event);

  LocalFleet& fleet_;
  std::vector<PlannedFault> faults_;
  TimePoint started_{0};
  uint32_t weights_number_ = 1;
  std::vector<std::string> events_;
  std::vector<std::string> violations_;
};

/// Two operators who change the configuration on top of the same version, and resend what got no clear
/// answer.
class RacingOperators {
 public:
  explicit RacingOperators(const LocalFleet& fleet) : fleet_(fleet) {}
  /// Races until `stop` is set.
  void run(const std::atomic<bool>& stop);
  /// Compares what was answered with the configuration that is in force in the end.
  std::vector<std::string> check(const nlohmann::json& configuration) const;
  size_t accepted() const { return accepted_.size(); }

 private:
  /// How a change ended, as far as its operator was told.
  enum class Answer : uint8_t { kAccepted, kConflict, kUnclear };
  Answer send(const std::string& tenant, uint64_t base_version);

  const LocalFleet& fleet_;
  uint32_t rounds_ = 0;
  std::set<std::string> accepted_;  ///< tenants whose change was accepted
  std::set<std::string> refused_;   ///< tenants whose change met a conflict
  std::vector<std::string> violations_;
};

/// Reads the version that each node has in force, again and again; it may never fall.
class VersionWatch {
 public:
  explicit VersionWatch(const LocalFleet& fleet) : fleet_(fleet) {}
  void run(const std::atomic<bool>& stop);
  const std::vector<std::string>& violations() const { return violations_; }

 private:
  const LocalFleet& fleet_;
  std::map<std::string, uint64_t> highest_;
  std::vector<std::string> violations_;
};

/// Runs the traffic and the faults, waits until all has healed, and checks.
ChaosReport run_chaos(LocalFleet& fleet, const ChaosSettings& settings);

}  // namespace stoat::tools
