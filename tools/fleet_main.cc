/// stoat-fleet: starts a whole deployment on loopback, sends it traffic, prints a table and stops it cleanly.
#include <csignal>
#include <filesystem>
#include <fstream>
#include <iostream>

#include "src/common/command_line.h"
#include "tools/load_runner.h"
#include "tools/local_fleet.h"

namespace stoat::tools {
namespace {

volatile std::sig_atomic_t stop_wanted = 0;

struct FleetSettings {
  LocalFleetSettings fleet;
  std::string work_folder;
  std::string report_file;
  bool keep = false;
};

FleetSettings read_settings(SettingsReader& reader) {
  FleetSettings settings;
  WorkloadSettings& workload = settings.fleet.workload;
  workload.name = read_workload_name(reader);
  workload.seed = static_cast<uint64_t>(reader.integer("seed", 1, 0, INT64_MAX));
  workload.requests_per_second = reader.number("requests_per_second", 20, 0.001, 100000);
  workload.duration = from_seconds(reader.number("duration_s", 10, 0.1, 86400));
  settings.fleet.controls = static_cast<uint32_t>(reader.integer("controls", 1, 1, 5));
  settings.fleet.routers = static_cast<uint32_t>(reader.integer("routers", 2, 1, 50));
  settings.fleet.sidecars = static_cast<uint32_t>(reader.integer("sidecars", 1, 1, 50));
  settings.fleet.engines = static_cast<uint32_t>(reader.integer("engines", 3, 1, 50));
  settings.fleet.plain_backends = static_cast<uint32_t>(reader.integer("plain_backends", 1, 1, 50));
  settings.fleet.kv_stores = static_cast<uint32_t>(reader.integer("kv_stores", 1, 0, 10));
  settings.fleet.router_settings.push_back("policy=\"" + reader.text("policy", "lowest_ttft") + "\"");
  settings.fleet.engine_settings.push_back("time_scale=" +
                                           std::to_string(reader.number("engine_time_scale", 1, 0.01, 1000)));
  workload.shared_tokens =
      static_cast<uint32_t>(reader.integer("shared_tokens", workload.shared_tokens, 1, 1000000));
  workload.middle_tokens =
      static_cast<uint32_t>(reader.integer("middle_tokens", workload.middle_tokens, 1, 1000000));
  workload.inner_tokens =
      static_cast<uint32_t>(reader.integer("inner_tokens", workload.inner_tokens, 1, 1000000));
  settings.work_folder = reader.text("work_folder", "");
  settings.report_file = reader.text("report_file", "");
  settings.keep = reader.flag("keep", false);
  return settings;
}

std::string default_work_folder() {
  return (std::filesystem::temp_directory_path() / ("stoat-fleet-" + std::to_string(getpid()))).string();
}

void wait_for_stop(const LocalFleet& fleet) {
  std::signal(SIGINT, [](int) { stop_wanted = 1; });
  std::signal(SIGTERM, [](int) { stop_wanted = 1; });
  std::cout << "the fleet is up; stop it with Ctrl-C\n";
  for (const char* prefix :
       {"sidecar-", "router-", "control-", "engine-", "plain-", "kv-store-", "platform"}) {
    for (const std::string& name : fleet.names_with_prefix(prefix)) {
      std::cout << "  " << name << "  http://" << to_string(fleet.http_endpoint(name)) << "\n";
    }
  }
  std::cout << "API keys: " << tool_api_key("TENANT") << ", e.g. " << tool_api_key("publisher-1") << "\n"
            << std::flush;
  while (stop_wanted == 0) {
    sleep_for(100ms);
  }
}

nlohmann::json run_load(const LocalFleet& fleet, const WorkloadSettings& workload) {
  const auto records = run_workload(fleet.sidecar_endpoints(), workload);
  nlohmann::json report = make_report(records);
  report["ledgers"] = check_ledgers(records, fleet.runs_per_key());
  return report;
}

int run(const FleetSettings& settings, const std::string& program) {
  const std::string work_folder = settings.work_folder.empty() ? default_work_folder() : settings.work_folder;
  const std::string bin_folder = std::filesystem::canonical("/proc/self/exe").parent_path().string();
  ProcessFleet processes(bin_folder, work_folder);
  LocalFleet fleet(processes, settings.fleet);
  try {
    fleet.start();
  } catch (const std::runtime_error& error) {
    std::cerr << program << ": " << error.what() << "; logs are in " << work_folder << "\n";
    return 1;
  }
  std::cout << "sending " << settings.fleet.workload.name << " traffic\n" << std::flush;
  const nlohmann::json report = run_load(fleet, settings.fleet.workload);
  std::cout << report_table(report) << std::flush;
  if (!settings.report_file.empty()) {
    std::ofstream(settings.report_file) << report.dump(2) << "\n";
  }
  if (settings.keep) {
    wait_for_stop(fleet);
  }
  const std::vector<std::string> unclean = fleet.stop();
  for (const std::string& name : unclean) {
    std::cout << name << " did not stop cleanly\n";
  }
  const bool good = unclean.empty() && report["wrong_texts"] == 0;
  if (good && settings.work_folder.empty()) {
    std::filesystem::remove_all(work_folder);
  } else {
    std::cout << "logs and data are in " << work_folder << "\n";
  }
  return good ? 0 : 1;
}

}  // namespace
}  // namespace stoat::tools

int main(int argc, const char** argv) {
  using namespace stoat;
  const CommandLine command_line =
      parse_command_line(argc, argv, "stoat-fleet",
                         "Starts a whole deployment on loopback, sends it traffic, and stops it cleanly.");
  return tools::run(load_program_settings<tools::FleetSettings>(command_line, tools::read_settings),
                    "stoat-fleet");
}
