/// stoat-chaos: runs a deployment of real processes under faults drawn from seeds, for as many seeds and as
/// long as asked, and checks what must always hold.
#include <filesystem>
#include <iostream>

#include "src/common/command_line.h"
#include "tools/chaos_run.h"

namespace stoat::tools {
namespace {

struct Settings {
  ChaosSettings chaos;
  uint64_t first_seed = 1;
  uint64_t seeds = 1;
  bool verbose = false;
};

Settings read_settings(SettingsReader& reader) {
  Settings settings;
  WorkloadSettings& workload = settings.chaos.workload;
  workload.name = read_workload_name(reader);
  workload.requests_per_second = reader.number("requests_per_second", 30, 0.001, 10000);
  workload.shared_tokens = 800;
  workload.middle_tokens = 200;
  workload.inner_tokens = 200;
  workload.tenants = 4;
  settings.chaos.duration = from_seconds(reader.number("duration_s", 20, 3, 86400));
  settings.first_seed = static_cast<uint64_t>(reader.integer("first_seed", 1, 0, INT64_MAX));
  settings.seeds = static_cast<uint64_t>(reader.integer("seeds", 1, 1, 1000000));
  settings.verbose = reader.flag("verbose", false);
  return settings;
}

/// True when nothing was violated.
bool run_seed(const Settings& settings, uint64_t seed) {
  ChaosSettings chaos = settings.chaos;
  chaos.seed = seed;
  const std::string work_folder = (std::filesystem::temp_directory_path() /
                                   ("stoat-chaos-" + std::to_string(getpid()) + "-" + std::to_string(seed)))
                                      .string();
  const std::string bin_folder = std::filesystem::canonical("/proc/self/exe").parent_path().string();
  ProcessFleet processes(bin_folder, work_folder);
  LocalFleet fleet(processes, chaos_fleet(chaos.workload));
  fleet.start();
  const ChaosReport report = run_chaos(fleet, chaos);
  std::cout << "seed " << seed << ": " << report.load["complete"] << " of " << report.load["requests"]
            << " complete, " << report.load["accepted_changes"] << " changes, " << report.events.size()
            << " fault steps, " << report.violations.size() << " violations\n"
            << std::flush;
  if (settings.verbose || !report.violations.empty()) {
    for (const std::string& event : report.events) {
      std::cout << "  " << event << "\n";
    }
    std::cout << report.load.dump(1) << "\n";
  }
  for (const std::string& violation : report.violations) {
    std::cout << "  VIOLATION " << violation << "\n";
  }
  if (!report.violations.empty()) {
    std::cout << "  logs and data are in " << work_folder << "; again: stoat-chaos --set workload='\""
              << chaos.workload.name << "\"' --set duration_s=" << to_seconds(chaos.duration)
              << " --set first_seed=" << seed << "\n";
    return false;
  }
  fleet.stop();
  std::filesystem::remove_all(work_folder);
  return true;
}

int run(const Settings& settings) {
  uint64_t failed = 0;
  for (uint64_t seed = settings.first_seed; seed < settings.first_seed + settings.seeds; ++seed) {
    failed += run_seed(settings, seed) ? 0 : 1;
  }
  std::cout << settings.seeds << " seeds, " << failed << " with violations\n";
  return failed == 0 ? 0 : 1;
}

}  // namespace
}  // namespace stoat::tools

int main(int argc, const char** argv) {
  using namespace stoat;
  const CommandLine command_line = parse_command_line(
      argc, argv, "stoat-chaos",
      "Runs real processes under faults drawn from seeds and checks what must always hold.");
  try {
    return tools::run(load_program_settings<tools::Settings>(command_line, tools::read_settings));
  } catch (const std::runtime_error& error) {
    std::cerr << "stoat-chaos: " << error.what() << "\n";
    return 1;
  }
}
