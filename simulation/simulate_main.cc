/// stoat-simulate: runs the deterministic simulations over many seeds, or replays one.
#include <iostream>

#include "simulation/control_simulation.h"
#include "simulation/fleet_simulation.h"
#include "src/common/command_line.h"

namespace stoat::simulation {
namespace {

struct SimulateSettings {
  std::string what;
  uint64_t first_seed = 1;
  uint64_t seeds = 200;
  Duration duration{20s};
  uint32_t voters = 3;
  std::string workload;
  size_t kv_store_blocks = 0;
  uint64_t trace_request = 0;
};

SimulateSettings read_settings(SettingsReader& reader) {
  SimulateSettings settings;
  settings.what = reader.text("what", "control");
  if (settings.what != "control" && settings.what != "fleet") {
    reader.add_finding("what", "must be control or fleet");
  }
  settings.workload = reader.text("workload", "kavelwind");
  settings.kv_store_blocks = static_cast<size_t>(reader.integer("kv_store_blocks", 0, 0, 100000000));
  settings.trace_request = std::strtoull(reader.text("trace_request", "0").c_str(), nullptr, 16);
  settings.first_seed = static_cast<uint64_t>(reader.integer("first_seed", 1, 0, INT64_MAX));
  settings.seeds = static_cast<uint64_t>(reader.integer("seeds", 200, 1, 100000000));
  settings.duration = from_seconds(reader.number("duration_s", 20, 0.1, 86400));
  settings.voters = static_cast<uint32_t>(reader.integer("voters", 3, 1, 9));
  return settings;
}

bool run_control(const SimulateSettings& settings, uint64_t seed) {
  ControlSimulationOptions options;
  options.seed = seed;
  options.duration = settings.duration;
  options.voters = settings.voters;
  const SimulationResult result = ControlSimulation(options).run();
  if (settings.seeds == 1 || !result.violations.empty()) {
    std::cout << "seed " << seed << ": changes " << result.changes_accepted << ", claims "
              << result.claims_granted << ", leaders " << result.leaders_seen << ", faults " << result.faults
              << "\n";
  }
  for (const std::string& violation : result.violations) {
    std::cout << "seed " << seed << ": " << violation
              << "\n  replay: stoat-simulate --set what='\"control\"' --set first_seed=" << seed
              << " --set seeds=1 --set duration_s=" << to_seconds(settings.duration)
              << " --set voters=" << settings.voters << "\n";
  }
  return result.violations.empty();
}

bool run_fleet(const SimulateSettings& settings, uint64_t seed) {
  FleetSimulationOptions options = faulty_fleet_options(seed, settings.workload, settings.duration);
  options.kv_store_blocks = settings.kv_store_blocks;
  options.trace_request = settings.trace_request;
  const FleetReport report = FleetSimulation(options).run();
  if (settings.seeds == 1 || !report.violations.empty()) {
    std::cout << "seed " << seed << ": requests " << report.requests << ", complete " << report.complete
              << ", not run " << report.not_run << ", unknown " << report.unknown << ", failed "
              << report.failed << ", hit rate " << report.hit_rate << "\n";
    for (const auto& [reason, count] : report.refusals) {
      std::cout << "  " << reason << " " << count << "\n";
    }
  }
  for (const std::string& violation : report.violations) {
    std::cout << "seed " << seed << ": " << violation
              << "\n  replay: stoat-simulate --set what='\"fleet\"' --set workload='\"" << settings.workload
              << "\"' --set first_seed=" << seed
              << " --set seeds=1 --set duration_s=" << to_seconds(settings.duration)
              << " --set kv_store_blocks=" << settings.kv_store_blocks << "\n";
  }
  return report.violations.empty();
}

int run(const SimulateSettings& settings) {
  uint64_t failed = 0;
  for (uint64_t seed = settings.first_seed; seed < settings.first_seed + settings.seeds; ++seed) {
    const bool good = settings.what == "control" ? run_control(settings, seed) : run_fleet(settings, seed);
    failed += good ? 0 : 1;
  }
  std::cout << settings.seeds << " seeds, " << failed << " failed\n";
  return failed == 0 ? 0 : 1;
}

}  // namespace
}  // namespace stoat::simulation

int main(int argc, const char** argv) {
  using namespace stoat;
  const CommandLine command_line =
      parse_command_line(argc, argv, "stoat-simulate", "Runs the deterministic simulations over many seeds.");
  return simulation::run(
      load_program_settings<simulation::SimulateSettings>(command_line, simulation::read_settings));
}
