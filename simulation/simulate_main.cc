/// stoat-simulate: simulates the control members over many seeds, or replays one seed.
#include <iostream>

#include "simulation/control_simulation.h"
#include "simulation/seed_runs.h"
#include "src/common/command_line.h"

namespace stoat::simulation {
namespace {

struct SimulateSettings {
  uint64_t first_seed = 1;
  uint64_t seeds = 200;
  Duration duration{20s};
  uint32_t voters = 3;
};

SimulateSettings read_settings(SettingsReader& reader) {
  SimulateSettings settings;
  settings.first_seed = static_cast<uint64_t>(reader.integer("first_seed", 1, 0, INT64_MAX));
  settings.seeds = static_cast<uint64_t>(reader.integer("seeds", 200, 1, 100000000));
  settings.duration = from_seconds(reader.number("duration_s", 20, 0.1, 86400));
  settings.voters = static_cast<uint32_t>(reader.integer("voters", 3, 1, 9));
  return settings;
}

bool run_seed(const SimulateSettings& settings, uint64_t seed) {
  ControlSimulationOptions options;
  options.seed = seed;
  options.duration = settings.duration;
  options.voters = settings.voters;
  const SimulationResult result = ControlSimulation(options).run();
  if (settings.seeds == 1 || !result.violations.empty()) {
    std::cout << "seed " << seed << ": configurations " << result.configurations_accepted << ", retirements "
              << result.retirements_accepted << ", confirmed reads " << result.reads_confirmed
              << ", members replaced " << result.members_replaced << ", leaders " << result.leaders_seen
              << ", faults " << result.faults << "\n";
  }
  for (const std::string& violation : result.violations) {
    std::cout << "seed " << seed << ": " << violation
              << "\n  replay: stoat-simulate --set first_seed=" << seed
              << " --set seeds=1 --set duration_s=" << to_seconds(settings.duration)
              << " --set voters=" << settings.voters << "\n";
  }
  return result.violations.empty();
}

int run(const SimulateSettings& settings) {
  return run_seeds(settings.first_seed, settings.seeds,
                   [&settings](uint64_t seed) { return run_seed(settings, seed); });
}

}  // namespace
}  // namespace stoat::simulation

int main(int argc, const char** argv) {
  using namespace stoat;
  const CommandLine command_line = parse_command_line(
      argc, argv, "stoat-simulate", "Simulates the control members under random faults over many seeds.");
  return simulation::run(
      load_program_settings<simulation::SimulateSettings>(command_line, simulation::read_settings));
}
