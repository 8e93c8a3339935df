/// stoat-load: an open-loop load generator that checks every answer.
#include <fstream>
#include <iostream>

#include "src/common/command_line.h"
#include "src/http/blocking.h"
#include "tools/load_runner.h"

namespace stoat::tools {
namespace {

using nlohmann::json;

struct LoadSettings {
  WorkloadSettings workload;
  std::vector<Endpoint> sidecars;
  std::vector<Endpoint> ledgers;  ///< stand-ins whose ledgers are read at the end
  std::string report_file;
};

LoadSettings read_settings(SettingsReader& reader) {
  LoadSettings settings;
  WorkloadSettings& workload = settings.workload;
  workload.name = read_workload_name(reader);
  workload.seed = static_cast<uint64_t>(reader.integer("seed", 1, 0, INT64_MAX));
  workload.requests_per_second = reader.number("requests_per_second", 20, 0.001, 100000);
  workload.duration = from_seconds(reader.number("duration_s", 10, 0.1, 86400));
  workload.tenants = static_cast<uint32_t>(reader.integer("tenants", 8, 1, 1000));
  workload.shared_tokens = static_cast<uint32_t>(reader.integer("shared_tokens", 4000, 1, 1000000));
  workload.middle_tokens = static_cast<uint32_t>(reader.integer("middle_tokens", 1000, 1, 1000000));
  workload.inner_tokens = static_cast<uint32_t>(reader.integer("inner_tokens", 1000, 1, 1000000));
  workload.shared_documents = static_cast<uint32_t>(reader.integer("shared_documents", 4, 1, 1000));
  workload.hot_share = reader.number("hot_share", 0.6, 0, 1);
  workload.hot_shift = from_seconds(reader.number("hot_shift_s", 0, 0, 86400));
  settings.sidecars = read_endpoints(reader, "sidecars");
  if (settings.sidecars.empty()) {
    reader.add_finding("sidecars", "at least one must be given");
  }
  settings.ledgers = read_endpoints(reader, "ledgers");
  settings.report_file = reader.text("report_file", "");
  return settings;
}

std::map<std::string, uint32_t> read_ledgers(const std::vector<Endpoint>& endpoints) {
  std::map<std::string, uint32_t> runs_per_key;
  for (const Endpoint& endpoint : endpoints) {
    http::ClientRequest request;
    request.endpoint = endpoint;
    request.path = "/ledger";
    const json body = json::parse(http::fetch(request).body, nullptr, false);
    if (!body.is_object()) {
      continue;
    }
    for (const json& run : body["runs"]) {
      ++runs_per_key[run.value("idempotency_key", "")];
    }
  }
  return runs_per_key;
}

int run(const LoadSettings& settings) {
  const auto records = run_workload(settings.sidecars, settings.workload);
  json report = make_report(records);
  report["workload"] = settings.workload.name;
  report["seed"] = settings.workload.seed;
  if (!settings.ledgers.empty()) {
    report["ledgers"] = check_ledgers(records, read_ledgers(settings.ledgers));
  }
  if (!settings.report_file.empty()) {
    std::ofstream(settings.report_file) << report.dump(2) << "\n";
  }
  std::cout << report_table(report) << std::flush;
  return report["wrong_texts"] == 0 ? 0 : 1;
}

}  // namespace
}  // namespace stoat::tools

int main(int argc, const char** argv) {
  using namespace stoat;
  const CommandLine command_line = parse_command_line(
      argc, argv, "stoat-load", "Sends a seeded workload in an open loop and checks every answer.");
  return tools::run(load_program_settings<tools::LoadSettings>(command_line, tools::read_settings));
}
