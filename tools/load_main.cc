/// stoat-load: an open-loop load generator that checks every response.
#include <fstream>
#include <iostream>
#include <nlohmann/json.hpp>
#include <sstream>

#include "src/common/command_line.h"
#include "src/http/blocking.h"
#include "tools/load_generator.h"

namespace stoat::tools {
namespace {

struct LoadSettings {
  LoadTarget target;
  std::vector<Endpoint> metrics;  ///< metrics endpoints of the routers, for the count of repeats
  uint64_t seed = 1;
  double requests_per_second = 40;
  Duration duration{10s};
  std::string report_file;
};

LoadSettings read_settings(SettingsReader& reader) {
  LoadSettings settings;
  settings.target.routers = read_endpoints(reader, "routers");
  if (settings.target.routers.empty()) {
    reader.add_finding("routers", "at least one must be given");
  }
  settings.target.host = reader.text("host", settings.target.host);
  settings.target.key = reader.text("key", settings.target.key);
  settings.target.model = reader.text("model", settings.target.model);
  settings.metrics = read_endpoints(reader, "metrics");
  settings.seed = static_cast<uint64_t>(reader.integer("seed", 1, 0, INT64_MAX));
  settings.requests_per_second =
      reader.number("requests_per_second", settings.requests_per_second, 0.001, 100000);
  settings.duration = from_seconds(reader.number("duration_s", 10, 0.1, 86400));
  settings.report_file = reader.text("report_file", "");
  return settings;
}

/// Sums the routers' counters of repeated requests; -1 if no metrics endpoint is configured.
int64_t count_repeats(const std::vector<Endpoint>& metrics) {
  const std::string name = "stoat_router_repeats_total ";
  int64_t repeats = metrics.empty() ? -1 : 0;
  for (const Endpoint& endpoint : metrics) {
    http::ClientRequest request;
    request.endpoint = endpoint;
    request.path = "/metrics";
    request.timeout = 2s;
    std::istringstream page(http::fetch(request).body);
    for (std::string line; std::getline(page, line);) {
      repeats += line.starts_with(name) ? static_cast<int64_t>(std::stod(line.substr(name.size()))) : 0;
    }
  }
  return repeats;
}

int run(const LoadSettings& settings) {
  const std::vector<RequestClass> classes = demo_classes();
  const std::vector<RequestRecord> records =
      run_load(settings.target, classes,
               plan_requests(classes, settings.requests_per_second, settings.duration, settings.seed));
  const nlohmann::json report = make_report(classes, records, count_repeats(settings.metrics));
  if (!settings.report_file.empty()) {
    std::ofstream(settings.report_file) << report.dump(2) << "\n";
  }
  std::cout << report_table(report) << std::flush;
  for (const nlohmann::json& route : report["routes"]) {
    if (route["wrong"] != 0) {
      return 1;
    }
  }
  return 0;
}

}  // namespace
}  // namespace stoat::tools

int main(int argc, const char** argv) {
  using namespace stoat;
  const CommandLine command_line = parse_command_line(
      argc, argv, "stoat-load", "Sends a seeded mix of requests in an open loop and checks every response.");
  return tools::run(load_program_settings<tools::LoadSettings>(command_line, tools::read_settings));
}
