/// stoat-chaos: runs the deployed programs under traffic while processes are killed, paused and stopped
/// according to a plan generated from a seed. Invariants are checked from what clients and backends observe.
#include <unistd.h>

#include <algorithm>
#include <filesystem>
#include <iostream>
#include <nlohmann/json.hpp>

#include "platform/loopback_programs.h"
#include "simulation/seed_runs.h"
#include "src/common/command_line.h"
#include "src/common/random.h"
#include "tools/fault_plan.h"
#include "tools/loopback_fleet.h"

namespace stoat::tools {
namespace {

constexpr Duration kRecoveryTimeout = 20s;
constexpr Duration kRecoveryLoadDuration = 3s;
/// One of three plain service backends announces a limit of kRateLimit requests per second.
constexpr uint32_t kPlainServices = 3;
constexpr char kLimitedBackend[] = "service-1";
constexpr double kRateLimit = 1;
/// The requests sent to kLimitedBackend may exceed its limit by this factor, and by kLimitSlack requests in
/// addition.
constexpr double kLimitTolerance = 1.5;
constexpr double kLimitSlack = 5;
/// Requests that all routers together may send to a restarted backend before they learn its limit: the
/// requests sent within 0.2 s.
constexpr double kRequestsBeforeLimitIsKnown = 10;

struct ChaosSettings {
  uint64_t first_seed = 1;
  uint64_t seeds = 1;
  Duration duration{20s};
  double requests_per_second = 40;
  uint32_t control_members = 3;
  uint32_t routers = 2;
  std::string programs;  ///< folder of the programs
  /// Folder of the programs of another build; empty: none. The fleet then speaks the target platform's
  /// protocol, starts from this folder, and each restarted process is of a build drawn from the seed.
  std::string other_programs;
  std::string configuration;                 ///< path of the configuration file
  std::vector<std::string> engine_software;  ///< program versions of the engines, by turns; empty: none
  uint32_t engines = 3;
  std::string work_folder;
};

ChaosSettings read_settings(SettingsReader& reader) {
  ChaosSettings settings;
  settings.first_seed = static_cast<uint64_t>(reader.integer("first_seed", 1, 0, INT64_MAX));
  settings.seeds = static_cast<uint64_t>(reader.integer("seeds", 1, 1, 100000));
  settings.duration = from_seconds(reader.number("duration_s", 20, 1, 86400));
  settings.requests_per_second = reader.number("requests_per_second", 40, 0.1, 10000);
  settings.control_members = static_cast<uint32_t>(reader.integer("control_members", 3, 1, 9));
  settings.routers = static_cast<uint32_t>(reader.integer("routers", 2, 1, 200));
  settings.programs = reader.text("programs", "build/bin");
  settings.other_programs = reader.text("other_programs", "");
  settings.configuration = reader.text("configuration", "scripts/demo.json");
  settings.engine_software = reader.text_list("engine_software");
  settings.engines = static_cast<uint32_t>(reader.integer("engines", 3, 1, 200));
  settings.work_folder = reader.text("work_folder", "/tmp/stoat-chaos");
  return settings;
}

FaultTargets fault_targets(const LoopbackFleet& fleet) {
  FaultTargets targets;
  targets.control_members = fleet.names_of("control");
  for (const char* kind : {"router", "engine", "service"}) {
    for (const std::string& name : fleet.names_of(kind)) {
      targets.other_processes.push_back(name);
    }
  }
  return targets;
}

void start_fault(ProcessFleet& processes, const PlannedFault& fault) {
  switch (fault.kind) {
    case FaultKind::kKill:
      processes.kill(fault.process);
      break;
    case FaultKind::kPause:
      processes.pause(fault.process);
      break;
    case FaultKind::kStop:
      processes.request_stop(fault.process);
      break;
  }
}

/// `bin_folder`: folder of the build that a restarted process is of; empty: that of the stopped one.
void end_fault(ProcessFleet& processes, const PlannedFault& fault, const std::string& bin_folder) {
  if (fault.kind == FaultKind::kPause) {
    processes.resume(fault.process);
    return;
  }
  processes.kill(fault.process);  // a planned stop may still be in progress
  if (!bin_folder.empty()) {
    processes.set_bin_folder(fault.process, bin_folder);
  }
  processes.start(fault.process);
}

/// Whether the process is one of those that exist in both builds.
bool is_server(const std::string& process) {
  return process.starts_with("control-") || process.starts_with("router-");
}

std::vector<TimedAction> fault_actions(ProcessFleet& processes, const std::vector<PlannedFault>& faults,
                                       const ChaosSettings& settings, uint64_t seed) {
  Random random(seed);
  std::vector<TimedAction> actions;
  for (const PlannedFault& fault : faults) {
    std::string bin_folder;
    if (!settings.other_programs.empty() && is_server(fault.process)) {
      bin_folder = random.below(2) == 0 ? settings.programs : settings.other_programs;
    }
    actions.push_back({fault.at, [&processes, fault] { start_fault(processes, fault); }});
    actions.push_back({fault.at + fault.length,
                       [&processes, fault, bin_folder] { end_fault(processes, fault, bin_folder); }});
  }
  return actions;
}

/// Replaces all servers that are of the other build, as an upgrade does in the end.
void finish_upgrade(ProcessFleet& processes, const ChaosSettings& settings) {
  for (const std::string& process : processes.names()) {
    if (is_server(process)) {
      processes.stop(process);
      processes.set_bin_folder(process, settings.programs);
      processes.start(process);
    }
  }
}

std::string configuration_document(const LoopbackFleet& fleet, uint64_t version) {
  nlohmann::json document = fleet.make_configuration();
  document["version"] = version;
  return document.dump();
}

size_t count_outcome(const std::vector<RequestRecord>& records, RequestOutcome outcome) {
  return static_cast<size_t>(
      std::count_if(records.begin(), records.end(),
                    [outcome](const RequestRecord& record) { return record.outcome == outcome; }));
}

/// Checks that, once all faults have ended, a configuration is accepted, all processes are registered and
/// every request completes.
void check_recovery(LoopbackFleet& fleet, const ChaosSettings& settings, uint64_t seed,
                    const std::vector<RequestClass>& classes, std::vector<std::string>& violations) {
  if (!fleet.put_configuration(configuration_document(fleet, 2), kRecoveryTimeout)) {
    violations.push_back("no configuration was accepted after all faults had ended");
    return;
  }
  const size_t backends = fleet.names_of("engine").size() + fleet.names_of("service").size();
  if (!LoopbackFleet::wait_until(
          [&] { return fleet.has_registered(fleet.names_of("router").size(), backends); },
          kRecoveryTimeout)) {
    violations.push_back("not all processes were registered after all faults had ended: " +
                         fleet.status_of_leader().dump());
    return;
  }
  const auto recovery_records =
      run_load(fleet.target(), classes,
               plan_requests(classes, settings.requests_per_second, kRecoveryLoadDuration, seed + 1));
  if (count_outcome(recovery_records, RequestOutcome::kComplete) < recovery_records.size()) {
    violations.push_back(
        std::to_string(recovery_records.size() - count_outcome(recovery_records, RequestOutcome::kComplete)) +
        " of " + std::to_string(recovery_records.size()) +
        " requests did not complete after all faults had ended");
  }
  const auto more_violations = check_guarantees(classes, recovery_records, fleet.runs());
  violations.insert(violations.end(), more_violations.begin(), more_violations.end());
}

/// Checks that the backend with a limit received no more requests than allowed, in spite of restarts of
/// routers and control members.
void check_limit(const LoopbackFleet& fleet, const std::vector<PlannedFault>& faults, Duration span,
                 std::vector<std::string>& violations) {
  const auto hits_limited_backend = [](const PlannedFault& fault) {
    return fault.process == kLimitedBackend;
  };
  const auto backend_starts = 1 + std::count_if(faults.begin(), faults.end(), hits_limited_backend);
  const double allowed = kLimitTolerance * kRateLimit * to_seconds(span) + kLimitSlack +
                         kRequestsBeforeLimitIsKnown * static_cast<double>(backend_starts);
  const size_t runs = fleet.runs_at(kLimitedBackend).size();
  if (static_cast<double>(runs) > allowed) {
    violations.push_back(std::string(kLimitedBackend) + " ran " + std::to_string(runs) + " requests in " +
                         std::to_string(to_seconds(span)) + " s, allowed " + std::to_string(allowed));
  }
}

bool run_seed(const ChaosSettings& settings, uint64_t seed) {
  const std::string folder =
      settings.work_folder + "/" + std::to_string(getpid()) + "-" + std::to_string(seed);
  ProcessFleet processes(settings.programs, folder);
  LoopbackFleetOptions options;
  options.configuration_file = settings.configuration;
  options.control_members = settings.control_members;
  options.routers = settings.routers;
  options.engines = settings.engines;
  options.engine_software = settings.engine_software;
  options.services = kPlainServices;
  options.limited_services = 1;
  options.rate_limit = kRateLimit;
  if (!settings.other_programs.empty()) {
    options.programs = platform::loopback_programs();
    options.first_bin_folder = settings.other_programs;
  }
  LoopbackFleet fleet(processes, options);
  fleet.start();
  const TimePoint started_at = monotonic_now();
  const std::vector<RequestClass> classes = demo_classes();
  const std::vector<PlannedFault> faults = plan_faults(fault_targets(fleet), settings.duration, seed);
  const auto records = run_load(fleet.target(), classes,
                                plan_requests(classes, settings.requests_per_second, settings.duration, seed),
                                fault_actions(processes, faults, settings, seed));
  std::vector<std::string> violations = check_guarantees(classes, records, fleet.runs());
  if (!settings.other_programs.empty()) {
    finish_upgrade(processes, settings);
  }
  check_recovery(fleet, settings, seed, classes, violations);
  if (settings.other_programs.empty()) {  // the other build may not know limits
    check_limit(fleet, faults, monotonic_now() - started_at, violations);
  }
  std::cout << "seed " << seed << ": faults " << faults.size() << ", requests " << records.size()
            << ", complete " << count_outcome(records, RequestOutcome::kComplete) << ", refused "
            << count_outcome(records, RequestOutcome::kRefused) << ", failed "
            << count_outcome(records, RequestOutcome::kFailed) << ", at the limited backend "
            << fleet.runs_at(kLimitedBackend).size() << "\n";
  for (const std::string& violation : violations) {
    std::cout << "seed " << seed << ": " << violation << "\n";
  }
  if (violations.empty()) {
    std::filesystem::remove_all(folder);
    return true;
  }
  for (const PlannedFault& fault : faults) {
    std::cout << "  " << to_milliseconds(fault.at) << " ms " << to_text(fault.kind) << " " << fault.process
              << " for " << to_milliseconds(fault.length) << " ms\n";
  }
  std::cout << "  logs in " << folder << "; replay: stoat-chaos --set first_seed=" << seed
            << " --set duration_s=" << to_seconds(settings.duration) << "\n";
  return false;
}

int run(const ChaosSettings& settings) {
  return run_seeds(settings.first_seed, settings.seeds,
                   [&settings](uint64_t seed) { return run_seed(settings, seed); });
}

}  // namespace
}  // namespace stoat::tools

int main(int argc, const char** argv) {
  using namespace stoat;
  const CommandLine command_line =
      parse_command_line(argc, argv, "stoat-chaos",
                         "Runs the programs under faults generated from seeds and checks their guarantees.");
  return tools::run(load_program_settings<tools::ChaosSettings>(command_line, tools::read_settings));
}
