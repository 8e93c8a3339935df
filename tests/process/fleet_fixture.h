// A deployment of real processes on loopback for one test, with traffic and faults at stated moments.
#pragma once

#include <gtest/gtest.h>

#include <cstdio>
#include <filesystem>
#include <memory>

#include "tests/support/paths.h"
#include "tools/load_runner.h"
#include "tools/local_fleet.h"

namespace stoat::tools {

/// What a command printed, and its exit status.
struct CommandOutput {
  int status = 0;
  std::string text;
};

class FleetTest : public testing::Test {
 protected:
  void start(const LocalFleetSettings& settings) {
    const std::string name = testing::UnitTest::GetInstance()->current_test_info()->name();
    work_folder_ =
        (std::filesystem::temp_directory_path() / ("stoat-" + name + "-" + std::to_string(getpid())))
            .string();
    processes_ = std::make_unique<ProcessFleet>(test::program_folder(), work_folder_);
    workload_ = settings.workload;
    fleet_ = std::make_unique<LocalFleet>(*processes_, settings);
    fleet_->start();
  }

  static LocalFleetSettings small_fleet(const std::string& workload) {
    LocalFleetSettings settings;
    settings.controls = 3;
    settings.sidecars = 2;
    settings.workload.name = workload;
    settings.workload.requests_per_second = 40;
    settings.workload.shared_tokens = 800;
    settings.workload.middle_tokens = 200;
    settings.workload.inner_tokens = 200;
    settings.workload.tenants = 4;
    // A quarter of the usual cost, so that tests are short.
    settings.engine_settings = {"time_scale=4"};
    return settings;
  }

  /// Sends the workload, doing the faults on the way; returns the report with the ledgers' checks.
  nlohmann::json run_load(Duration duration, const std::vector<TimedAction>& faults = {}) {
    WorkloadSettings workload = workload_;
    workload.duration = duration;
    workload.seed = ++load_seed_;
    const auto records = run_workload(fleet_->sidecar_endpoints(), workload, faults);
    nlohmann::json report = make_report(records);
    report["ledgers"] = check_ledgers(records, fleet_->runs_per_key());
    return report;
  }

  /// What must hold whatever fails.
  static void expect_promises(const nlohmann::json& report) {
    EXPECT_EQ(report["wrong_texts"], 0) << report.dump(1);
    EXPECT_EQ(report["ledgers"]["keys_run_twice"], 0) << report.dump(1);
    EXPECT_EQ(report["ledgers"]["false_not_run"], 0) << report.dump(1);
    EXPECT_EQ(report["ledgers"]["complete_without_run"], 0) << report.dump(1);
    EXPECT_EQ(report["refusals_without_retry_after"], 0) << report.dump(1);
    EXPECT_GT(report["complete"].get<size_t>(), report["requests"].get<size_t>() / 4) << report.dump(1);
  }

  static void expect_all_complete(const nlohmann::json& report) {
    EXPECT_EQ(report["complete"], report["requests"]) << report.dump(1);
    expect_promises(report);
  }

  CommandOutput stoatctl(const std::string& arguments) {
    std::string members;
    for (const std::string& name : fleet_->names_with_prefix("control-")) {
      members += (members.empty() ? "" : ",") + to_string(fleet_->http_endpoint(name));
    }
    return run_command(test::program_folder() + "/stoatctl --control " + members + " " + arguments);
  }

  static CommandOutput run_command(const std::string& command) {
    CommandOutput output;
    std::FILE* pipe = popen((command + " 2>&1").c_str(), "r");
    char buffer[4096];
    while (const size_t count = fread(buffer, 1, sizeof(buffer), pipe)) {
      output.text.append(buffer, count);
    }
    output.status = WEXITSTATUS(pclose(pipe));
    return output;
  }

  http::ClientResult post(const std::string& path, const std::string& body,
                          const std::vector<http::Header>& headers) {
    http::ClientRequest request;
    request.endpoint = fleet_->http_endpoint("sidecar-1");
    request.method = "POST";
    request.path = path;
    request.body = body;
    request.headers = headers;
    return http::fetch(request);
  }

  void TearDown() override {
    fleet_.reset();
    processes_.reset();
    if (!HasFailure() && !work_folder_.empty()) {
      std::filesystem::remove_all(work_folder_);
    }
  }

  std::string work_folder_;
  WorkloadSettings workload_;
  uint64_t load_seed_ = 0;
  std::unique_ptr<ProcessFleet> processes_;
  std::unique_ptr<LocalFleet> fleet_;
};

}  // namespace stoat::tools
