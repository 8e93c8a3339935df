/// stoat-experiment: runs placement, admission and retry experiments in the deterministic simulator and
/// prints tables.
#include <fstream>
#include <iomanip>
#include <iostream>
#include <nlohmann/json.hpp>

#include "simulation/fleet_simulation.h"
#include "src/common/command_line.h"
#include "tools/quantiles.h"

namespace stoat::tools {
namespace {

using nlohmann::json;
using simulation::FleetReport;
using simulation::FleetSimulation;
using simulation::FleetSimulationOptions;

/// Capacity of the store of kept blocks where an experiment has one.
constexpr size_t kStoreBlocks = 20000;

struct ExperimentSettings {
  std::string what;
  std::string workload;
  std::string policy;   ///< empty: each in turn
  std::string variant;  ///< of the overload experiment; empty: each in turn
  uint64_t seeds = 3;
  Duration duration{30s};
  double requests_per_second = 0;  ///< 0: the deployment's own
  double spike_per_second = 500;   ///< further requests while the overload lasts
  int64_t cache_blocks = 1500;
  std::string report_file;
  std::string series_file;  ///< of the overload experiment: figures over time
};

ExperimentSettings read_settings(SettingsReader& reader) {
  ExperimentSettings settings;
  settings.what = reader.text("what", "policies");
  const bool known = settings.what == "policies" || settings.what == "freshness" ||
                     settings.what == "flood" || settings.what == "overload" || settings.what == "hedging";
  if (!known) {
    reader.add_finding("what", "must be policies, freshness, flood, overload or hedging");
  }
  settings.workload = read_workload_name(reader);
  settings.policy = reader.text("policy", "");
  settings.variant = reader.text("variant", "");
  settings.seeds = static_cast<uint64_t>(reader.integer("seeds", 3, 1, 1000));
  settings.duration = from_seconds(reader.number("duration_s", 30, 1, 86400));
  settings.requests_per_second = reader.number("requests_per_second", 0, 0, 100000);
  settings.spike_per_second = reader.number("spike_per_second", settings.spike_per_second, 1, 100000);
  settings.cache_blocks = reader.integer("cache_blocks", settings.cache_blocks, 10, 10000000);
  settings.series_file = reader.text("series_file", "");
  settings.report_file = reader.text("report_file", "");
  return settings;
}

/// The deployments at their present sizes; see docs/MEASUREMENTS.md for what is assumed.
FleetSimulationOptions deployment(const ExperimentSettings& settings, uint64_t seed) {
  FleetSimulationOptions options;
  const bool kavelwind = settings.workload == "kavelwind";
  options.seed = seed;
  options.routers = kavelwind ? 4 : 3;
  options.sidecars = kavelwind ? 4 : 3;
  options.engines = kavelwind ? 18 : 12;
  options.plain_backends = kavelwind ? 4 : 3;
  options.workload.name = settings.workload;
  options.workload.duration = settings.duration;
  options.workload.requests_per_second = kavelwind ? 180 : 120;
  if (settings.requests_per_second > 0) {
    options.workload.requests_per_second = settings.requests_per_second;
  }
  options.workload.hot_shift = 10s;
  options.engine.cache_blocks = static_cast<size_t>(settings.cache_blocks);
  options.engine.feed.gap_probability = 0.001;
  return options;
}

/// Figures of several seeds: median, and the spread from lowest to highest.
struct Figure {
  Samples samples;
  json to_json() const {
    return {{"median", samples.quantile(0.5)}, {"low", samples.quantile(0)}, {"high", samples.quantile(1)}};
  }
};

struct Row {
  std::string name;
  std::map<std::string, Figure> figures;
  void add(const FleetReport& report) {
    figures["hit_rate"].samples.add(report.hit_rate);
    figures["ttft_p50_ms"].samples.add(report.first_token_p50_ms);
    figures["ttft_p95_ms"].samples.add(report.first_token_p95_ms);
    figures["ttft_p99_ms"].samples.add(report.first_token_p99_ms);
    figures["wasted_share"].samples.add(static_cast<double>(report.wasted_tokens) /
                                        static_cast<double>(std::max<uint64_t>(1, report.prompt_tokens)));
    figures["imported_share"].samples.add(static_cast<double>(report.imported_tokens) /
                                          static_cast<double>(std::max<uint64_t>(1, report.prompt_tokens)));
    figures["complete_share"].samples.add(static_cast<double>(report.complete) /
                                          static_cast<double>(std::max<size_t>(1, report.requests)));
    for (const std::string& violation : report.violations) {
      std::cerr << name << ": " << violation << "\n";
    }
  }
};

void print(const std::vector<Row>& rows, const ExperimentSettings& settings) {
  json report = {{"what", settings.what}, {"workload", settings.workload}, {"seeds", settings.seeds}};
  std::cout << std::left << std::setw(26) << settings.workload;
  for (const auto& [figure, values] : rows.front().figures) {
    std::cout << std::setw(28) << figure;
  }
  std::cout << "\n" << std::fixed << std::setprecision(3);
  for (const Row& row : rows) {
    std::cout << std::setw(26) << row.name;
    for (const auto& [figure, values] : row.figures) {
      std::ostringstream cell;
      cell << std::fixed << std::setprecision(3) << values.samples.quantile(0.5) << " ("
           << values.samples.quantile(0) << ".." << values.samples.quantile(1) << ")";
      std::cout << std::setw(28) << cell.str();
      report["rows"][row.name][figure] = values.to_json();
    }
    std::cout << "\n" << std::flush;
  }
  if (!settings.report_file.empty()) {
    std::ofstream(settings.report_file) << report.dump(2) << "\n";
  }
}

/// Runs one variant over all seeds.
Row run_variant(const std::string& name, const ExperimentSettings& settings,
                const std::function<void(FleetSimulationOptions&)>& vary) {
  Row row;
  row.name = name;
  for (uint64_t seed = 1; seed <= settings.seeds; ++seed) {
    FleetSimulationOptions options = deployment(settings, seed);
    vary(options);
    row.add(FleetSimulation(options).run());
  }
  return row;
}

/// No lag anywhere: as near as the programs come to knowing the engines' caches and queues exactly.
void know_everything(FleetSimulationOptions& options) {
  options.engine.feed.delay = Duration(0);
  options.engine.feed.gap_probability = 0;
  options.engine.load_lag = Duration(0);
  options.router.feed_interval = 5ms;
  options.router.digest_interval = 5ms;
}

std::vector<Row> run_policies(const ExperimentSettings& settings) {
  std::vector<Row> rows;
  for (const char* policy :
       {"round_robin", "least_outstanding", "two_choices", "prefix_hash", "lowest_ttft"}) {
    if (settings.policy.empty() || settings.policy == policy) {
      rows.push_back(run_variant(policy, settings,
                                 [&](FleetSimulationOptions& options) { options.router.policy = policy; }));
    }
  }
  rows.push_back(run_variant("lowest_ttft, kept-KV store", settings, [](FleetSimulationOptions& options) {
    options.kv_store_blocks = kStoreBlocks;
  }));
  rows.push_back(run_variant("lowest_ttft, no lag", settings, know_everything));
  return rows;
}

std::vector<Row> run_freshness(const ExperimentSettings& settings) {
  std::vector<Row> rows;
  for (const int delay_ms : {0, 200, 1000, 5000}) {
    rows.push_back(run_variant(
        "feed delay " + std::to_string(delay_ms) + " ms", settings,
        [&](FleetSimulationOptions& options) { options.engine.feed.delay = Duration(1000 * delay_ms); }));
  }
  for (const double gaps : {0.0, 0.01, 0.1}) {
    rows.push_back(
        run_variant("feed gaps " + std::to_string(gaps).substr(0, 4), settings,
                    [&](FleetSimulationOptions& options) { options.engine.feed.gap_probability = gaps; }));
  }
  for (const int lag_ms : {0, 300, 2000}) {
    rows.push_back(run_variant(
        "load age " + std::to_string(lag_ms) + " ms", settings,
        [&](FleetSimulationOptions& options) { options.engine.load_lag = Duration(1000 * lag_ms); }));
  }
  return rows;
}

/// One tenant floods; what becomes of another tenant's p95?
std::vector<Row> run_flood(const ExperimentSettings& settings) {
  std::vector<Row> rows;
  for (const bool flooded : {false, true}) {
    Row row;
    row.name = flooded ? "with a flood" : "without a flood";
    for (uint64_t seed = 1; seed <= settings.seeds; ++seed) {
      FleetSimulationOptions options = deployment(settings, seed);
      options.workload.requests_per_second /= 2;
      control::PolicyRow ceiling;
      const std::string flooder = deployment_names(options.workload).tenants.back();
      ceiling.name = flooder;
      ceiling.tokens_per_second = 100000;
      ceiling.concurrent = 12;
      options.table.rows.push_back(ceiling);
      FleetSimulation simulation(options);
      Random random(seed);
      PlannedRequest flood;
      flood.tenant = flooder;
      flood.serves = deployment_names(options.workload).model;
      flood.max_tokens = 32;
      for (Duration ran{0}; ran < settings.duration; ran += 5ms) {
        if (flooded) {
          flood.prompt = std::string(16000, 'f') + std::to_string(random.bits());
          simulation.send(flood, random.below(options.sidecars));
        }
        simulation.run_for(5ms);
      }
      const FleetReport report = simulation.finish();
      row.add(report);
      Samples others;
      for (const auto& [tenant, p95] : report.first_token_p95_ms_by_tenant) {
        if (tenant != flooder) {
          others.add(p95);
        }
      }
      row.figures["others_p95_ms"].samples.add(others.quantile(0.5));
    }
    rows.push_back(std::move(row));
  }
  return rows;
}

/// Engines that stand still for a while, one at a time: what does a second run of late requests bring?
std::vector<Row> run_hedging(const ExperimentSettings& settings) {
  constexpr Duration kFrozen = 1500ms;
  constexpr Duration kBetween = 3s;
  std::vector<Row> rows;
  for (const double factor : {0.0, 3.0}) {
    Row row;
    row.name = factor > 0 ? "engines freeze, hedging" : "engines freeze, no hedging";
    for (uint64_t seed = 1; seed <= settings.seeds; ++seed) {
      FleetSimulationOptions options = deployment(settings, seed);
      options.router.hedge_factor = factor;
      FleetSimulation simulation(options);
      Random random(seed);
      for (Duration ran{0}; ran < settings.duration; ran += kBetween) {
        const size_t engine = random.below(options.engines);
        simulation.freeze_engine(engine);
        simulation.run_for(kFrozen);
        simulation.thaw_engine(engine);
        simulation.run_for(kBetween - kFrozen);
      }
      const FleetReport report = simulation.finish();
      row.add(report);
      row.figures["prefilled_share"].samples.add(static_cast<double>(report.prefilled_tokens) /
                                                 static_cast<double>(report.prompt_tokens));
    }
    rows.push_back(std::move(row));
  }
  return rows;
}

/// First-token p95 by second of the intended send time, over one run.
json first_token_over_time(const std::vector<simulation::CallerRecord>& records, TimePoint start) {
  std::map<int64_t, Samples> by_second;
  for (const simulation::CallerRecord& record : records) {
    if (record.finished && record.first_piece != TimePoint(0)) {
      by_second[(record.intended - start) / 1s].add(to_seconds(record.first_piece - record.intended) * 1000);
    }
  }
  json points = json::array();
  for (const auto& [second, samples] : by_second) {
    points.push_back({second, samples.quantile(0.95)});
  }
  return points;
}

/// How callers and routers behave in an overload.
struct OverloadVariant {
  const char* name;
  bool heeds_advice;     ///< callers wait as long as Retry-After says
  bool limits;           ///< routers bound their queues and what they send to an engine, and refuse early
  Duration patience;     ///< callers without a first token ask anew after it; 0: they wait
  bool leaves_silently;  ///< what such a caller had asked for is not cancelled
};

constexpr OverloadVariant kOverloadVariants[] = {
    {"heed Retry-After", true, true, 0s, false},           {"retry at once", false, true, 0s, false},
    {"retry at once, no limits", false, false, 0s, false}, {"time out and retry", false, true, 1s, false},
    {"time out and retry, naive", false, false, 1s, true},
};

void behave(FleetSimulationOptions& options, const OverloadVariant& variant) {
  options.callers_retry = true;
  options.retries_heed_advice = variant.heeds_advice;
  options.caller_patience = variant.patience;
  options.callers_leave_silently = variant.leaves_silently;
  if (variant.limits) {
    return;
  }
  constexpr int32_t kEndless = 3600000;
  options.router.max_queue = 1000000;
  options.router.max_engine_outstanding = 100000;
  options.router.hedge_factor = 0;
  for (const std::string& tenant : deployment_names(options.workload).tenants) {
    control::PolicyRow row;
    row.name = tenant;
    row.queue_time_ms = kEndless;
    options.table.rows.push_back(row);
  }
  control::PolicyRow service;
  service.kind = control::RowKind::kService;
  service.name = deployment_names(options.workload).model;
  service.queue_time_ms = kEndless;
  options.table.rows.push_back(service);
}

/// A spike of load with every caller retrying, then normal load again: does the fleet come back? For
/// comparison, callers who retry at once, and those who time out, against routers without limits.
std::vector<Row> run_overload(const ExperimentSettings& settings) {
  std::vector<Row> rows;
  json series = json::object();
  json marks = json::array();
  for (const OverloadVariant& variant : kOverloadVariants) {
    if (!settings.variant.empty() && settings.variant != variant.name) {
      continue;
    }
    Row row;
    row.name = variant.name;
    for (uint64_t seed = 1; seed <= settings.seeds; ++seed) {
      FleetSimulationOptions options = deployment(settings, seed);
      behave(options, variant);
      FleetSimulation simulation(options);
      Random random(seed);
      const TimePoint start = simulation.now();
      const TimePoint spike_from = start + settings.duration / 4;
      const TimePoint spike_to = spike_from + settings.duration / 16;
      PlannedRequest extra;
      extra.serves = deployment_names(options.workload).model;
      extra.tenant = deployment_names(options.workload).tenants.front();
      extra.max_tokens = 64;
      const Duration step = from_seconds(1 / settings.spike_per_second);
      while (simulation.now() < start + settings.duration) {
        if (simulation.now() >= spike_from && simulation.now() < spike_to) {
          extra.prompt = std::to_string(random.bits()) + std::string(32000, 's');
          simulation.send(extra, random.below(options.sidecars));
        }
        simulation.run_for(step);
      }
      const FleetReport report = simulation.finish();
      row.add(report);
      Samples before;
      Samples after;
      const TimePoint late = start + settings.duration * 3 / 4;
      for (const simulation::CallerRecord& record : simulation.records()) {
        const bool measured = record.finished && record.first_piece != TimePoint(0);
        const double taken = to_seconds(record.first_piece - record.intended) * 1000;
        if (measured && record.intended < spike_from) {
          before.add(taken);
        } else if (measured && record.intended > late) {
          after.add(taken);
        }
      }
      row.figures["p95_before_ms"].samples.add(before.quantile(0.95));
      row.figures["p95_after_ms"].samples.add(after.quantile(0.95));
      series[variant.name]["ttft_p95_ms"] = first_token_over_time(simulation.records(), start);
      marks = {to_seconds(spike_from - start), to_seconds(spike_to - start)};
    }
    rows.push_back(std::move(row));
  }
  if (!settings.series_file.empty()) {
    std::ofstream(settings.series_file) << json{{"series", series}, {"marks", marks}}.dump(1) << "\n";
  }
  return rows;
}

int run(const ExperimentSettings& settings) {
  std::vector<Row> rows;
  if (settings.what == "policies") {
    rows = run_policies(settings);
  } else if (settings.what == "freshness") {
    rows = run_freshness(settings);
  } else if (settings.what == "hedging") {
    rows = run_hedging(settings);
  } else if (settings.what == "flood") {
    rows = run_flood(settings);
  } else {
    rows = run_overload(settings);
  }
  print(rows, settings);
  return 0;
}

}  // namespace
}  // namespace stoat::tools

int main(int argc, const char** argv) {
  using namespace stoat;
  const CommandLine command_line = parse_command_line(
      argc, argv, "stoat-experiment", "Runs placement, admission and retry experiments in the simulator.");
  return tools::run(load_program_settings<tools::ExperimentSettings>(command_line, tools::read_settings));
}
