#include "tools/chaos_run.h"

#include <algorithm>
#include <filesystem>
#include <sstream>

#include "tools/load_runner.h"

namespace stoat::tools {

namespace {

using nlohmann::json;

constexpr Duration kHealLimit = 30s;
constexpr Duration kOperatorPause = 300ms;
constexpr Duration kOperatorLimit = 8s;
constexpr Duration kWatchPause = 100ms;
constexpr Duration kStopLimit = 20s;
constexpr int kOk = 200;
constexpr int kAccepted = 202;
constexpr int kConflict = 409;

/// One end of a fault.
struct FaultStep {
  Duration at{0};
  const PlannedFault* fault = nullptr;
  bool begins = true;
};

std::vector<FaultStep> steps_of(const std::vector<PlannedFault>& faults) {
  std::vector<FaultStep> steps;
  for (const PlannedFault& fault : faults) {
    steps.push_back({fault.at, &fault, true});
    steps.push_back({fault.at + fault.lasts, &fault, false});
  }
  std::stable_sort(steps.begin(), steps.end(),
                   [](const FaultStep& left, const FaultStep& right) { return left.at < right.at; });
  return steps;
}

std::vector<std::string> load_violations(const json& report) {
  std::vector<std::string> violations;
  const auto expect_none = [&](const char* what, const json& count) {
    if (count != 0) {
      violations.push_back(std::string(what) + ": " + count.dump());
    }
  };
  expect_none("answers with a wrong text", report["wrong_texts"]);
  expect_none("keys that ran more than once", report["ledgers"]["keys_run_twice"]);
  expect_none("answers of not run to what ran", report["ledgers"]["false_not_run"]);
  expect_none("complete answers without a run", report["ledgers"]["complete_without_run"]);
  expect_none("refusals without Retry-After", report["refusals_without_retry_after"]);
  return violations;
}

}  // namespace

LocalFleetSettings chaos_fleet(const WorkloadSettings& workload) {
  LocalFleetSettings settings;
  settings.controls = 3;
  settings.routers = 3;
  settings.sidecars = 2;
  settings.engines = 4;
  settings.workload = workload;
  settings.engine_settings = {"time_scale=4", "feed_gap_probability=0.01"};
  settings.router_settings = {"backend_silence_ms=2000"};
  settings.cuttable_links = true;
  return settings;
}

FaultRunner::FaultRunner(LocalFleet& fleet, std::vector<PlannedFault> faults)
    : fleet_(fleet), faults_(std::move(faults)) {}

void FaultRunner::note(const std::string& event) {
  std::ostringstream line;
  line << to_milliseconds(monotonic_now() - started_) << " ms: " << event;
  events_.push_back(line.str());
}

void FaultRunner::run() {
  started_ = monotonic_now();
  for (const FaultStep& step : steps_of(faults_)) {
    const Duration wait = started_ + step.at - monotonic_now();
    if (wait > Duration(0)) {
      sleep_for(wait);
    }
    std::string event = step.begins ? "begin " : "end ";
    event += fault_kind_name(step.fault->kind);
    event += " " + step.fault->target;
    note(event);
    if (step.begins) {
      begin(*step.fault);
    } else {
      end(*step.fault);
    }
  }
}

void FaultRunner::begin(const PlannedFault& fault) {
  ProcessFleet& processes = fleet_.processes();
  switch (fault.kind) {
    case FaultKind::kKill:
      processes.kill(fault.target);
      return;
    case FaultKind::kFreeze:
      processes.freeze(fault.target);
      return;
    case FaultKind::kStop:
      processes.ask_to_stop(fault.target);
      return;
    case FaultKind::kCutLink:
      fleet_.links().set_cut(fault.target, fault.cut);
      return;
    case FaultKind::kHerdRestart:
      for (const std::string& router : fleet_.names_with_prefix("router-")) {
        processes.kill(router);
      }
      return;
    case FaultKind::kWipeDisk:
      processes.kill(fault.target);
      std::filesystem::remove_all(processes.folder(fault.target));
      processes.start(fault.target);
      return;
    case FaultKind::kNewWeights:
      order_weights();
      return;
  }
}

void FaultRunner::end(const PlannedFault& fault) {
  switch (fault.kind) {
    case FaultKind::kKill:
      start_if_stopped(fault.target);
      return;
    case FaultKind::kFreeze:
      fleet_.processes().thaw(fault.target);
      return;
    case FaultKind::kStop:
      stop_and_check(fault.target);
      start_if_stopped(fault.target);
      return;
    case FaultKind::kCutLink:
      fleet_.links().set_cut(fault.target, LinkCut::kNone);
      return;
    case FaultKind::kHerdRestart:
      for (const std::string& router : fleet_.names_with_prefix("router-")) {
        start_if_stopped(router);
      }
      return;
    case FaultKind::kWipeDisk:
      replace_wiped(fault.target);
      return;
    case FaultKind::kNewWeights:
      return;
  }
}

void FaultRunner::start_if_stopped(const std::string& name) {
  if (!fleet_.processes().runs(name)) {
    fleet_.processes().start(name);
  }
}

void FaultRunner::stop_and_check(const std::string& name) {
  const int status = fleet_.processes().wait_stopped(name, kStopLimit);
  if (status != 0) {
    std::string violation = name;
    violation += " ended with status " + std::to_string(status);
    violation += " after a planned stop";
    violations_.push_back(std::move(violation));
  }
}

void FaultRunner::replace_wiped(const std::string& name) {
  const json body = {{"name", name}};
  const auto taken_in = [&] {
    return fleet_.admin("POST", "/v1/members/replace", body, kOperatorLimit).status == kAccepted;
  };
  // Other faults may keep it from being taken in for a while; the run does not wait for it.
  LocalFleet::wait_until(taken_in, kOperatorLimit);
}

void FaultRunner::order_weights() {
  const std::string version = "v" + std::to_string(++weights_number_);
  for (const std::string& engine : fleet_.names_with_prefix("engine-")) {
    std::string request_id = "chaos-" + engine;
    request_id += "-" + version;
    const json order = {
        {"operator_request_id", request_id}, {"backend", engine}, {"weights_version", version}};
    fleet_.admin("POST", "/v1/orders", order, kOperatorLimit);
  }
  try {
    fleet_.change(json::array({{{"model", {{"name", fleet_.model()}, {"weights_version", version}}}}}));
  } catch (const std::runtime_error&) {
    note("the model's version was not changed");  // a race was lost, or no member leads
  }
}

RacingOperators::Answer RacingOperators::send(const std::string& tenant, uint64_t base_version) {
  const json body = {{"operator", "operator of " + tenant},
                     {"operator_request_id", "request of " + tenant},
                     {"base_version", base_version},
                     {"items", {{{"tenant", {{"name", tenant}}}}}}};
  // Resends after lost answers are part of admin(); the same request id makes them harmless.
  const int status = fleet_.admin("POST", "/v1/changes", body, kOperatorLimit).status;
  if (status == kOk) {
    return Answer::kAccepted;
  }
  return status == kConflict ? Answer::kConflict : Answer::kUnclear;
}

void RacingOperators::run(const std::atomic<bool>& stop) {
  while (!stop) {
    const json present =
        json::parse(fleet_.admin("GET", "/v1/configuration", json(), kOperatorLimit).body, nullptr, false);
    if (!present.is_object() || !present.contains("version")) {
      continue;
    }
    const uint64_t base_version = present["version"];
    const std::string round = "racer-" + std::to_string(++rounds_);
    const std::string first = round + "-a";
    const std::string second = round + "-b";
    Answer second_answer = Answer::kUnclear;
    std::thread other([&] { second_answer = send(second, base_version); });
    const Answer first_answer = send(first, base_version);
    other.join();
    const auto keep = [&](const std::string& tenant, Answer answer) {
      if (answer == Answer::kAccepted) {
        accepted_.insert(tenant);
      } else if (answer == Answer::kConflict) {
        refused_.insert(tenant);
      }
    };
    keep(first, first_answer);
    keep(second, second_answer);
    if (first_answer == Answer::kAccepted && second_answer == Answer::kAccepted) {
      violations_.push_back("both changes of " + round + " were accepted on top of one version");
    }
    sleep_for(kOperatorPause);
  }
}

std::vector<std::string> RacingOperators::check(const json& configuration) const {
  std::vector<std::string> violations = violations_;
  std::set<std::string> present;
  for (const json& tenant : configuration["tenants"]) {
    present.insert(tenant["name"].get<std::string>());
  }
  for (const std::string& tenant : accepted_) {
    if (present.count(tenant) == 0) {
      violations.push_back("the accepted change " + tenant + " is lost");
    }
  }
  for (const std::string& tenant : refused_) {
    if (present.count(tenant) > 0) {
      violations.push_back("the refused change " + tenant + " is in force");
    }
  }
  return violations;
}

void VersionWatch::run(const std::atomic<bool>& stop) {
  std::vector<std::string> nodes = fleet_.names_with_prefix("router-");
  const std::vector<std::string> sidecars = fleet_.names_with_prefix("sidecar-");
  nodes.insert(nodes.end(), sidecars.begin(), sidecars.end());
  while (!stop) {
    for (const std::string& node : nodes) {
      const json status = fleet_.get(node, "/status");
      if (!status.is_object()) {
        continue;
      }
      const uint64_t version = status["version"];
      uint64_t& highest = highest_[node];
      if (version < highest) {
        violations_.push_back(node + " fell from version " + std::to_string(highest) + " to " +
                              std::to_string(version));
      }
      highest = version;
    }
    sleep_for(kWatchPause);
  }
}

ChaosReport run_chaos(LocalFleet& fleet, const ChaosSettings& settings) {
  const FaultTargets targets{fleet.names_with_prefix("control-"), fleet.names_with_prefix("router-"),
                             fleet.names_with_prefix("sidecar-"), fleet.names_with_prefix("engine-")};
  FaultRunner faults(fleet, plan_faults(settings.seed, targets, settings.duration));
  RacingOperators operators(fleet);
  VersionWatch watch(fleet);
  std::atomic<bool> stop_operators{false};
  std::atomic<bool> stop_watch{false};
  std::thread fault_thread([&] { faults.run(); });
  std::thread operator_thread([&] { operators.run(stop_operators); });
  std::thread watch_thread([&] { watch.run(stop_watch); });

  WorkloadSettings workload = settings.workload;
  workload.duration = settings.duration;
  workload.seed = settings.seed;
  const auto records = run_workload(fleet.sidecar_endpoints(), workload);
  fault_thread.join();
  stop_operators = true;
  operator_thread.join();

  ChaosReport report;
  report.events = faults.events();
  report.load = make_report(records);
  report.load["ledgers"] = check_ledgers(records, fleet.runs_per_key());
  report.load["accepted_changes"] = operators.accepted();
  report.violations = load_violations(report.load);
  const auto add = [&](const std::vector<std::string>& found) {
    report.violations.insert(report.violations.end(), found.begin(), found.end());
  };
  add(faults.violations());
  const json last =
      json::parse(fleet.admin("GET", "/v1/configuration", json(), kHealLimit).body, nullptr, false);
  if (!last.is_object() || !last.contains("tenants")) {
    add({"no control member leads after all faults were healed"});
  } else {
    add(operators.check(last));
    const auto in_force = [&] { return fleet.nodes_below(last["version"]).empty(); };
    if (!LocalFleet::wait_until(in_force, kHealLimit)) {
      add({"the last version is not in force everywhere after all faults were healed"});
    }
  }
  stop_watch = true;
  watch_thread.join();
  add(watch.violations());
  return report;
}

}  // namespace stoat::tools
