/// stoat-scale: hollow nodes beside real control members, and hollow routers of a region; prints what each
/// role spends.
#include <algorithm>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <sstream>

#include "src/common/command_line.h"
#include "tools/hollow_nodes.h"
#include "tools/hollow_region.h"
#include "tools/local_fleet.h"
#include "tools/quantiles.h"

namespace stoat::tools {
namespace {

using nlohmann::json;

struct ScaleSettings {
  std::string what;
  std::vector<int64_t> sizes;
  int64_t seconds = 10;
  int64_t changes = 10;
  int64_t claims = 5000;
  int64_t claims_at_once = 64;
  int64_t engines = 200;
  int64_t blocks_per_engine = 67000;
  double changes_per_second = 13000;
};

ScaleSettings read_settings(SettingsReader& reader) {
  ScaleSettings settings;
  settings.what = reader.text("what", "region");
  const std::vector<std::string> known{"region", "nodes", "claims", "failover", "recovery"};
  if (std::find(known.begin(), known.end(), settings.what) == known.end()) {
    reader.add_finding("what", "must be region, nodes, claims, failover or recovery");
  }
  for (const std::string& size : reader.text_list("sizes")) {
    settings.sizes.push_back(std::strtoll(size.c_str(), nullptr, 10));
  }
  if (settings.sizes.empty()) {
    settings.sizes = {123};
  }
  settings.seconds = reader.integer("seconds", 10, 1, 3600);
  settings.changes = reader.integer("changes", 10, 1, 10000);
  settings.claims = reader.integer("claims", 5000, 1, 10000000);
  settings.claims_at_once = reader.integer("claims_at_once", 64, 1, 10000);
  settings.engines = reader.integer("engines", 200, 1, 10000);
  settings.blocks_per_engine = reader.integer("blocks_per_engine", 67000, 100, 10000000);
  settings.changes_per_second = reader.number("changes_per_second", 13000, 0, 1e7);
  return settings;
}

void run_region(const ScaleSettings& settings) {
  for (const int64_t size : settings.sizes) {
    HollowRegionSettings region;
    region.routers = static_cast<size_t>(size);
    region.engines = static_cast<size_t>(settings.engines);
    region.blocks_per_engine = static_cast<size_t>(settings.blocks_per_engine);
    region.changes_per_second = settings.changes_per_second;
    region.span = std::chrono::seconds(settings.seconds);
    const HollowRegionFigures figures = run_hollow_region(region);
    std::cout << "routers " << size << ", engines " << region.engines << ", blocks per engine "
              << region.blocks_per_engine << ", changes/s " << region.changes_per_second << "\n"
              << "  sent per router, bytes/s: block changes " << figures.block_bytes_per_second
              << ", load digests " << figures.digest_bytes_per_second << ", other "
              << figures.other_bytes_per_second << ", busiest router " << figures.most_bytes_per_second
              << "\n"
              << "  messages/s per router " << figures.messages_per_second << "\n"
              << "  share of a core per router " << figures.cpu_share << ", busiest "
              << figures.most_cpu_share << "\n"
              << "  index per router: blocks " << figures.indexed_blocks << ", bytes " << figures.index_bytes
              << ", bytes per block " << figures.bytes_per_indexed_block << "\n"
              << std::flush;
  }
}

/// User and system time of a process so far, in seconds.
double cpu_seconds(pid_t pid) {
  std::ifstream file("/proc/" + std::to_string(pid) + "/stat");
  std::string text;
  std::getline(file, text);
  std::istringstream fields(text.substr(text.rfind(')') + 2));
  std::string field;
  double ticks = 0;
  for (int number = 3; fields >> field; ++number) {
    if (number == 14 || number == 15) {
      ticks += std::stod(field);
    }
  }
  return ticks / static_cast<double>(sysconf(_SC_CLK_TCK));
}

double resident_megabytes(pid_t pid) {
  std::ifstream file("/proc/" + std::to_string(pid) + "/statm");
  double total = 0;
  double resident = 0;
  file >> total >> resident;
  return resident * static_cast<double>(sysconf(_SC_PAGESIZE)) / 1e6;
}

/// Three real control members, and nothing else.
class ControlOnly {
 public:
  ControlOnly()
      : folder_(
            (std::filesystem::temp_directory_path() / ("stoat-scale-" + std::to_string(getpid()))).string()),
        processes_(std::filesystem::canonical("/proc/self/exe").parent_path().string(), folder_),
        fleet_(processes_, settings()) {
    fleet_.start();
  }
  ~ControlOnly() {
    fleet_.stop();
    std::filesystem::remove_all(folder_);
  }
  ControlOnly(const ControlOnly&) = delete;
  ControlOnly& operator=(const ControlOnly&) = delete;

  LocalFleet& fleet() { return fleet_; }
  ProcessFleet& processes() { return processes_; }
  const std::string& folder() const { return folder_; }

 private:
  static LocalFleetSettings settings() {
    LocalFleetSettings settings;
    settings.controls = 3;
    settings.routers = 0;
    settings.sidecars = 0;
    settings.engines = 0;
    settings.plain_backends = 0;
    return settings;
  }

  std::string folder_;
  ProcessFleet processes_;
  LocalFleet fleet_;
};

void run_for(EventLoop& loop, Duration span) {
  loop.after(span, [&loop] { loop.stop(); });
  loop.run();
}

/// Makes a change at the leader without blocking the loop; `on_accepted` gets the version.
void make_change(http::Client& client, const Endpoint& leader, uint64_t base_version,
                 std::function<void(uint64_t)> on_accepted) {
  http::ClientRequest request;
  request.endpoint = leader;
  request.method = "POST";
  request.path = "/v1/changes";
  request.body = json{{"operator", "scale"},
                      {"operator_request_id", "scale-" + std::to_string(base_version)},
                      {"base_version", base_version},
                      {"items", json::array({{{"tenant", {{"name", "t" + std::to_string(base_version)}}}}})}}
                     .dump();
  client.start(request, nullptr, [on_accepted = std::move(on_accepted)](const http::ClientResult& result) {
    const json body = json::parse(result.body, nullptr, false);
    on_accepted(body.is_object() ? body.value("version", uint64_t{0}) : 0);
  });
}

void run_nodes(const ScaleSettings& settings) {
  for (const int64_t size : settings.sizes) {
    ControlOnly control;
    EventLoop loop;
    http::Client client(loop);
    HollowNodes nodes(loop, control.fleet().control_members(), control.folder() + "/nodes",
                      static_cast<size_t>(size));
    run_for(loop, 4s);
    const std::string leader = control.fleet().leader();
    const pid_t leader_pid = control.processes().pid_of(leader);
    const double cpu_before = cpu_seconds(leader_pid);
    const double own_cpu_before = cpu_seconds(getpid());
    const uint64_t bytes_before = nodes.sent_bytes();
    run_for(loop, std::chrono::seconds(settings.seconds));
    const auto seconds = static_cast<double>(settings.seconds);
    const double leader_share = (cpu_seconds(leader_pid) - cpu_before) / seconds;
    const double node_share = (cpu_seconds(getpid()) - own_cpu_before) / seconds / static_cast<double>(size);
    const double node_bytes =
        static_cast<double>(nodes.sent_bytes() - bytes_before) / seconds / static_cast<double>(size);
    Samples spread;
    uint64_t version = 1;
    for (int64_t number = 0; number < settings.changes; ++number) {
      const TimePoint asked = loop.now();
      uint64_t accepted = 0;
      make_change(client, control.fleet().http_endpoint(leader), version,
                  [&](uint64_t got) { accepted = got; });
      while (accepted == 0 || nodes.with_version(accepted) < nodes.count()) {
        run_for(loop, 10ms);
        if (loop.now() - asked > 60s) {
          break;
        }
      }
      version = accepted;
      spread.add(to_seconds(loop.now() - asked));
    }
    std::cout << "hollow nodes " << size << ": leader's share of a core " << leader_share << ", its memory "
              << resident_megabytes(leader_pid) << " MB\n  per node: sent bytes/s " << node_bytes
              << ", share of a core " << node_share << "\n  change in force everywhere, s: p50 "
              << spread.quantile(0.5) << ", most " << spread.quantile(1) << " over " << settings.changes
              << " changes\n"
              << std::flush;
  }
}

/// Makes claims, a stated number at once; returns the seconds that it took.
double make_claims(ControlOnly& control, const ScaleSettings& settings, Samples& latency) {
  EventLoop loop;
  control::ControlClientOptions options;
  options.members = control.fleet().control_members();
  options.data_folder = control.folder() + "/claimer";
  control::ControlClient client(loop, options,
                                wire::Node{"claimer", "router", "127.0.0.1:1", "r/z", 1, 0, false}, 1);
  client.start();
  run_for(loop, 2s);
  int64_t asked = 0;
  int64_t answered = 0;
  std::function<void()> ask = [&] {
    if (asked == settings.claims) {
      return;
    }
    control::ClaimKey claim;
    claim.tenant = "tenant";
    claim.key = "key-" + std::to_string(++asked);
    claim.claim_id = static_cast<uint64_t>(asked);
    const TimePoint at = loop.now();
    client.call(claim, [&, at](const std::optional<control::CommandResult>&) {
      latency.add(to_seconds(loop.now() - at) * 1000);
      if (++answered == settings.claims) {
        loop.stop();
      }
      ask();
    });
  };
  const TimePoint begun = loop.now();
  for (int64_t number = 0; number < settings.claims_at_once; ++number) {
    ask();
  }
  loop.run();
  return to_seconds(loop.now() - begun);
}

void run_claims(const ScaleSettings& settings) {
  ControlOnly control;
  Samples latency;
  const double seconds = make_claims(control, settings, latency);
  std::cout << settings.claims << " claims, " << settings.claims_at_once
            << " at once, 3 voters, synced: " << static_cast<double>(settings.claims) / seconds
            << " a second; ms p50 " << latency.quantile(0.5) << ", p99 " << latency.quantile(0.99)
            << "; leader's memory "
            << resident_megabytes(control.processes().pid_of(control.fleet().leader())) << " MB\n";
}

/// How long there is no leader that a quorum confirms, after the leader is killed or frozen.
void run_failover(const ScaleSettings& settings) {
  for (const bool frozen : {false, true}) {
    Samples taken;
    ControlOnly control;
    for (int64_t round = 0; round < settings.changes; ++round) {
      const std::string leader = control.fleet().leader();
      const TimePoint begun = monotonic_now();
      if (frozen) {
        control.processes().freeze(leader);
      } else {
        control.processes().kill(leader);
      }
      const auto led_by_other = [&] {
        for (const std::string& name : control.fleet().names_with_prefix("control-")) {
          if (name != leader && control.fleet().get(name, "/status").value("leads", false)) {
            return true;
          }
        }
        return false;
      };
      while (!led_by_other()) {
        sleep_for(5ms);
      }
      taken.add(to_seconds(monotonic_now() - begun));
      if (frozen) {
        control.processes().thaw(leader);
      } else {
        control.processes().start(leader);
      }
      sleep_for(2s);
    }
    std::cout << "without a leader after " << (frozen ? "a freeze" : "kill -9") << ", s: p50 "
              << taken.quantile(0.5) << ", most " << taken.quantile(1) << " over " << settings.changes
              << " rounds\n"
              << std::flush;
  }
}

/// How long a killed member with a large state needs until it serves again.
void run_recovery(const ScaleSettings& settings) {
  ControlOnly control;
  Samples latency;
  make_claims(control, settings, latency);
  const std::string leader = control.fleet().leader();
  control.processes().kill(leader);
  const TimePoint begun = monotonic_now();
  control.processes().start(leader);
  while (!control.fleet().get(leader, "/status").is_object()) {
    sleep_for(5ms);
  }
  const double serves = to_seconds(monotonic_now() - begun);
  const auto caught_up = [&] {
    return control.fleet().get(leader, "/status").value("claims", int64_t{0}) >= settings.claims;
  };
  while (!caught_up()) {
    sleep_for(5ms);
  }
  std::cout << "a member with " << settings.claims << " claims: answers after " << serves
            << " s, has all claims after " << to_seconds(monotonic_now() - begun) << " s; its memory "
            << resident_megabytes(control.processes().pid_of(leader)) << " MB\n";
}

int run(const ScaleSettings& settings) {
  if (settings.what == "region") {
    run_region(settings);
  } else if (settings.what == "nodes") {
    run_nodes(settings);
  } else if (settings.what == "claims") {
    run_claims(settings);
  } else if (settings.what == "failover") {
    run_failover(settings);
  } else {
    run_recovery(settings);
  }
  return 0;
}

}  // namespace
}  // namespace stoat::tools

int main(int argc, const char** argv) {
  using namespace stoat;
  const CommandLine command_line = parse_command_line(
      argc, argv, "stoat-scale", "Runs hollow nodes and routers and prints what each role spends.");
  return tools::run(load_program_settings<tools::ScaleSettings>(command_line, tools::read_settings));
}
