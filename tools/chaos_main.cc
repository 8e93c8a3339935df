/// stoat-chaos: the served programs under kills, pauses and planned stops drawn from seeds, beside traffic;
/// what must always hold is checked from what callers and back ends see.
#include <unistd.h>

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <nlohmann/json.hpp>

#include "simulation/seed_runs.h"
#include "src/common/command_line.h"
#include "tools/fault_plan.h"
#include "tools/served_fleet.h"

namespace stoat::tools {
namespace {

constexpr Duration kHealLimit = 20s;
constexpr Duration kCalm = 3s;
/// One plain back end of three names this limit, in requests a second.
constexpr uint32_t kServices = 3;
constexpr char kLimitedBackend[] = "service-1";
constexpr double kRateLimit = 1;
/// It gets at most so many times what the limit allows, and a few besides.
constexpr double kLimitTolerance = 1.5;
constexpr double kLimitSlack = 5;
/// Requests of all routers until they know the limit of a back end that has just started: 0.2 s of them.
constexpr double kBeforeLimitIsKnown = 10;

struct ChaosSettings {
  uint64_t first_seed = 1;
  uint64_t seeds = 1;
  Duration duration{20s};
  double requests_per_second = 40;
  std::string programs;       ///< folder
  std::string configuration;  ///< file
  std::string work_folder;
};

ChaosSettings read_settings(SettingsReader& reader) {
  ChaosSettings settings;
  settings.first_seed = static_cast<uint64_t>(reader.integer("first_seed", 1, 0, INT64_MAX));
  settings.seeds = static_cast<uint64_t>(reader.integer("seeds", 1, 1, 100000));
  settings.duration = from_seconds(reader.number("duration_s", 20, 1, 86400));
  settings.requests_per_second = reader.number("requests_per_second", 40, 0.1, 10000);
  settings.programs = reader.text("programs", "build/bin");
  settings.configuration = reader.text("configuration", "scripts/demo.json");
  settings.work_folder = reader.text("work_folder", "/tmp/stoat-chaos");
  return settings;
}

FaultTargets targets_of(const ServedFleet& fleet) {
  FaultTargets targets;
  targets.members = fleet.names_of("control");
  for (const char* kind : {"router", "engine", "service"}) {
    for (const std::string& name : fleet.names_of(kind)) {
      targets.others.push_back(name);
    }
  }
  return targets;
}

void begin(ProcessFleet& processes, const PlannedFault& fault) {
  switch (fault.kind) {
    case FaultKind::kKill:
      processes.kill(fault.process);
      break;
    case FaultKind::kPause:
      processes.freeze(fault.process);
      break;
    case FaultKind::kStop:
      processes.ask_to_stop(fault.process);
      break;
  }
}

void end(ProcessFleet& processes, const PlannedFault& fault) {
  if (fault.kind == FaultKind::kPause) {
    processes.thaw(fault.process);
    return;
  }
  processes.kill(fault.process);  // a planned stop may take longer
  processes.start(fault.process);
}

std::vector<TimedAction> actions_of(ProcessFleet& processes, const std::vector<PlannedFault>& faults) {
  std::vector<TimedAction> actions;
  for (const PlannedFault& fault : faults) {
    actions.push_back({fault.at, [&processes, fault] { begin(processes, fault); }});
    actions.push_back({fault.at + fault.length, [&processes, fault] { end(processes, fault); }});
  }
  return actions;
}

std::string document_of_version(const std::string& file, uint64_t version) {
  std::ifstream input(file);
  nlohmann::json document = nlohmann::json::parse(input);
  document["version"] = version;
  return document.dump();
}

size_t count(const std::vector<RequestRecord>& records, CallerOutcome outcome) {
  return static_cast<size_t>(
      std::count_if(records.begin(), records.end(),
                    [outcome](const RequestRecord& record) { return record.outcome == outcome; }));
}

/// Once all faults have ended, everything must work again.
void check_calm(ServedFleet& fleet, const ChaosSettings& settings, uint64_t seed,
                const std::vector<RequestClass>& classes, std::vector<std::string>& violations) {
  if (!fleet.put_configuration(document_of_version(settings.configuration, 2), kHealLimit)) {
    violations.push_back("no configuration was taken after all faults");
    return;
  }
  const size_t backends = fleet.names_of("engine").size() + fleet.names_of("service").size();
  if (!ServedFleet::wait_until([&] { return fleet.knows(fleet.names_of("router").size(), backends); },
                               kHealLimit)) {
    violations.push_back("the fleet is not complete after all faults: " + fleet.status_of_leader().dump());
    return;
  }
  const auto calm = run_load(fleet.target(), classes,
                             plan_requests(classes, settings.requests_per_second, kCalm, seed + 1));
  if (count(calm, CallerOutcome::kComplete) < calm.size()) {
    violations.push_back(std::to_string(calm.size() - count(calm, CallerOutcome::kComplete)) + " of " +
                         std::to_string(calm.size()) + " requests failed after all faults");
  }
  const auto more = check_promises(classes, calm, fleet.runs());
  violations.insert(violations.end(), more.begin(), more.end());
}

/// The back end with a limit gets no more than that allows, however routers and control members come and go.
void check_limit(const ServedFleet& fleet, const std::vector<PlannedFault>& faults, Duration span,
                 std::vector<std::string>& violations) {
  const auto hits_it = [](const PlannedFault& fault) { return fault.process == kLimitedBackend; };
  const auto starts = 1 + std::count_if(faults.begin(), faults.end(), hits_it);
  const double allowed = kLimitTolerance * kRateLimit * to_seconds(span) + kLimitSlack +
                         kBeforeLimitIsKnown * static_cast<double>(starts);
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
  ServedFleetOptions options;
  options.configuration_file = settings.configuration;
  options.services = kServices;
  options.limited_services = 1;
  options.rate_limit = kRateLimit;
  ServedFleet fleet(processes, options);
  fleet.start();
  const TimePoint begin_at = monotonic_now();
  const std::vector<RequestClass> classes = demo_classes();
  const std::vector<PlannedFault> faults = plan_faults(targets_of(fleet), settings.duration, seed);
  const auto records = run_load(fleet.target(), classes,
                                plan_requests(classes, settings.requests_per_second, settings.duration, seed),
                                actions_of(processes, faults));
  std::vector<std::string> violations = check_promises(classes, records, fleet.runs());
  check_calm(fleet, settings, seed, classes, violations);
  check_limit(fleet, faults, monotonic_now() - begin_at, violations);
  std::cout << "seed " << seed << ": faults " << faults.size() << ", requests " << records.size()
            << ", complete " << count(records, CallerOutcome::kComplete) << ", refused "
            << count(records, CallerOutcome::kRefused) << ", failed "
            << count(records, CallerOutcome::kFailed) << ", at the limited back end "
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
  std::cout << "  logs in " << folder << "; again: stoat-chaos --set first_seed=" << seed
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
                         "Runs the served programs under faults drawn from seeds and checks what must hold.");
  return tools::run(load_program_settings<tools::ChaosSettings>(command_line, tools::read_settings));
}
