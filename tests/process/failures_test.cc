// Real processes killed, frozen, restarted and stopped under load. Judged by what must always hold, never by
// timing.
#include "tests/process/fleet_fixture.h"

namespace stoat::tools {
namespace {

class ProcessFailures : public FleetTest {};

TEST_F(ProcessFailures, WithoutFaultsEveryRequestIsServedAndEveryProcessStopsCleanly) {
  start(small_fleet("derwent"));
  expect_all_complete(run_load(3s));
  EXPECT_TRUE(fleet_->stop().empty());
}

TEST_F(ProcessFailures, KillsOfRoutersAndEnginesBreakNoPromise) {
  start(small_fleet("kavelwind"));
  expect_promises(run_load(8s, {
                                   {1s, [&] { processes_->kill("router-1"); }},
                                   {1500ms, [&] { processes_->start("router-1"); }},
                                   {2500ms, [&] { processes_->kill("engine-2"); }},
                                   {3s, [&] { processes_->start("engine-2"); }},
                                   {4s, [&] { processes_->kill("router-2"); }},
                                   {4100ms, [&] { processes_->kill("engine-1"); }},
                                   {5s, [&] { processes_->start("router-2"); }},
                                   {5500ms, [&] { processes_->start("engine-1"); }},
                               }));
}

TEST_F(ProcessFailures, AKilledControlLeaderBreaksNoPromise) {
  start(small_fleet("kavelwind"));
  std::string killed;
  expect_promises(run_load(7s, {
                                   {1s,
                                    [&] {
                                      killed = fleet_->leader();
                                      processes_->kill(killed);
                                    }},
                                   {4s, [&] { processes_->start(killed); }},
                               }));
  EXPECT_TRUE(LocalFleet::wait_until([&] { return !fleet_->leader().empty(); }, 10s));
}

TEST_F(ProcessFailures, FrozenProcessesThatWakeBreakNoPromise) {
  start(small_fleet("kavelwind"));
  std::string frozen_leader;
  expect_promises(run_load(9s, {
                                   {1s, [&] { processes_->freeze("router-1"); }},
                                   {3500ms, [&] { processes_->thaw("router-1"); }},
                                   {4s, [&] { processes_->freeze("engine-3"); }},
                                   {5s,
                                    [&] {
                                      frozen_leader = fleet_->leader();
                                      processes_->freeze(frozen_leader);
                                    }},
                                   {7500ms, [&] { processes_->thaw("engine-3"); }},
                                   {8s, [&] { processes_->thaw(frozen_leader); }},
                               }));
}

TEST_F(ProcessFailures, RoutersThatRestartInAHerdServeAtOnceWhileNoControlMemberAnswers) {
  start(small_fleet("derwent"));
  expect_all_complete(run_load(1s));
  for (const std::string& name : fleet_->names_with_prefix("control-")) {
    processes_->kill(name);
  }
  for (const std::string& name : fleet_->names_with_prefix("router-")) {
    processes_->kill(name);
  }
  for (const std::string& name : fleet_->names_with_prefix("router-")) {
    processes_->start(name);
  }
  const auto both_serve = [&] {
    return fleet_->get("router-1", "/status").is_object() && fleet_->get("router-2", "/status").is_object();
  };
  ASSERT_TRUE(LocalFleet::wait_until(both_serve, 5s));
  const nlohmann::json report = run_load(2s);
  expect_promises(report);
  // What must not be repeated needs a claim, and so a quorum: refused as not run. The rest is served.
  for (const auto& [code, count] : report["errors"].items()) {
    EXPECT_EQ(code, "claim_unavailable") << count;
  }
}

TEST_F(ProcessFailures, ARollingRestartOfEveryProgramCutsNoRequest) {
  LocalFleetSettings settings = small_fleet("kavelwind");
  settings.workload.requests_per_second = 25;
  start(settings);
  // The sidecars are restarted below: a caller that connects to a stopped one can't be served by anyone.
  std::vector<TimedAction> steps;
  Duration at{500000};
  std::vector<std::string> names = fleet_->names_with_prefix("router-");
  const std::vector<std::string> controls = fleet_->names_with_prefix("control-");
  names.insert(names.end(), controls.begin(), controls.end());
  for (const std::string& name : names) {
    steps.push_back({at, [this, name] { processes_->ask_to_stop(name); }});
    steps.push_back({at + 1800ms, [this, name] {
                       EXPECT_EQ(processes_->wait_stopped(name, 5s), 0) << name;
                       processes_->start(name);
                     }});
    at += 3s;
  }
  expect_all_complete(run_load(at + 1s, steps));
}

TEST_F(ProcessFailures, AStoppedSidecarFinishesTheAnswersItHasBegun) {
  LocalFleetSettings settings = small_fleet("derwent");
  settings.sidecars = 1;
  settings.workload.requests_per_second = 200;
  start(settings);
  WorkloadSettings workload = settings.workload;
  workload.duration = 200ms;
  // All are sent within 200 ms; the stop comes while many still stream.
  const auto records = run_workload(fleet_->sidecar_endpoints(), workload,
                                    {{260ms, [this] { processes_->ask_to_stop("sidecar-1"); }}});
  const nlohmann::json report = make_report(records);
  EXPECT_EQ(report["complete"], report["requests"]) << report.dump(1);
  EXPECT_EQ(processes_->wait_stopped("sidecar-1", 10s), 0);
}

TEST_F(ProcessFailures, AnEngineThatLeavesGetsNoNewWorkAndCutsNothing) {
  start(small_fleet("derwent"));
  size_t runs_at_leave = 0;
  const auto runs_of = [&](const std::string& name) { return fleet_->get(name, "/ledger")["runs"].size(); };
  expect_all_complete(run_load(6s, {
                                       {1s,
                                        [&] {
                                          http::ClientRequest leave;
                                          leave.endpoint = fleet_->http_endpoint("engine-1");
                                          leave.method = "POST";
                                          leave.path = "/leave";
                                          http::fetch(leave);
                                        }},
                                       {4s, [&] { runs_at_leave = runs_of("engine-1"); }},
                                   }));
  EXPECT_EQ(runs_of("engine-1"), runs_at_leave);
}

TEST_F(ProcessFailures, AWipedControlMemberIsReplacedAndASecondLossRightAfterLosesNothing) {
  start(small_fleet("derwent"));
  const std::string leader = fleet_->leader();
  std::string wiped;
  std::string second;
  for (const std::string& name : fleet_->names_with_prefix("control-")) {
    if (name != leader) {
      (wiped.empty() ? wiped : second) = name;
    }
  }
  processes_->kill(wiped);
  std::filesystem::remove_all(work_folder_ + "/" + wiped);
  processes_->start(wiped);
  ASSERT_TRUE(LocalFleet::wait_until([&] { return stoatctl("member replace " + wiped).status == 0; }, 10s));
  const CommandOutput replaced = stoatctl("member replace " + wiped + " --wait");
  ASSERT_EQ(replaced.status, 0) << replaced.text;
  processes_->kill(second);
  std::filesystem::remove_all(work_folder_ + "/" + second);
  const CommandOutput added = stoatctl("tenant add late --api-key k --wait");
  EXPECT_EQ(added.status, 0) << added.text;
  EXPECT_NE(stoatctl("tenant list").text.find("publisher-1"), std::string::npos);
}

TEST_F(ProcessFailures, AChangeOfWeightsUnderLoadCutsNoRequest) {
  start(small_fleet("derwent"));
  expect_promises(
      run_load(8s, {
                       {1s, [&] { EXPECT_EQ(stoatctl("order load engine-1 v2").status, 0); }},
                       {1100ms, [&] { EXPECT_EQ(stoatctl("order load engine-2 v2").status, 0); }},
                       {4s, [&] { EXPECT_EQ(stoatctl("model set notation-llm --weights v2").status, 0); }},
                       {4500ms, [&] { EXPECT_EQ(stoatctl("order load engine-3 v2").status, 0); }},
                   }));
  const auto all_loaded = [&] {
    for (const std::string& name : fleet_->names_with_prefix("engine-")) {
      if (fleet_->get(name, "/status")["load"]["weights_version"] != "v2") {
        return false;
      }
    }
    return true;
  };
  EXPECT_TRUE(LocalFleet::wait_until(all_loaded, 10s));
}

TEST_F(ProcessFailures, ARouterThatMissedAChangeLearnsItFromItsPeersWhileNoControlMemberAnswers) {
  LocalFleetSettings settings = small_fleet("derwent");
  settings.routers = 3;
  start(settings);
  processes_->freeze("router-3");
  // Not --wait: one router can't have it.
  const CommandOutput added = stoatctl("tenant add late --api-key k");
  ASSERT_EQ(added.status, 0) << added.text;
  const auto has_it = [&](const std::string& name) {
    const nlohmann::json status = fleet_->get(name, "/status");
    return status.is_object() && status["version"] >= 2;
  };
  ASSERT_TRUE(LocalFleet::wait_until([&] { return has_it("router-1") && has_it("router-2"); }, 10s));
  for (const std::string& name : fleet_->names_with_prefix("control-")) {
    processes_->kill(name);
  }
  processes_->thaw("router-3");
  EXPECT_TRUE(LocalFleet::wait_until([&] { return has_it("router-3"); }, 15s));
}

}  // namespace
}  // namespace stoat::tools
