/// Test fixture that runs a small fleet of real processes, and helpers for running commands such as stoatctl.
#pragma once

#include <gtest/gtest.h>

#include <cstdio>
#include <filesystem>
#include <fstream>
#include <memory>

#include "src/common/hash.h"
#include "tests/support/paths.h"
#include "tools/loopback_fleet.h"

namespace stoat::tools {

/// The output of a command, standard error included, and its exit status.
struct CommandOutput {
  int status = 0;
  std::string text;
};

inline CommandOutput run_command(const std::string& command) {
  CommandOutput output;
  std::FILE* pipe = popen((command + " 2>&1").c_str(), "r");
  char buffer[4096];
  while (const size_t count = fread(buffer, 1, sizeof(buffer), pipe)) {
    output.text.append(buffer, count);
  }
  output.status = WEXITSTATUS(pclose(pipe));
  return output;
}

inline std::string demo_configuration() { return test::source_root() + "/scripts/demo.json"; }

inline std::string configuration_of_version(uint64_t version) {
  std::ifstream file(demo_configuration());
  nlohmann::json document = nlohmann::json::parse(file);
  document["version"] = version;
  return document.dump();
}

/// Starts a LoopbackFleet for each test. The work folder, with the logs, is kept if the test fails.
class FleetProcessTest : public testing::Test {
 protected:
  void SetUp() override {
    const std::string name = testing::UnitTest::GetInstance()->current_test_info()->name();
    work_folder_ =
        (std::filesystem::temp_directory_path() / ("stoat-" + name + "-" + std::to_string(getpid())))
            .string();
    processes_ = std::make_unique<ProcessFleet>(test::program_directory(), work_folder_);
    options_.configuration_file = demo_configuration();
    fleet_ = std::make_unique<LoopbackFleet>(*processes_, options_);
    fleet_->start();
  }
  void TearDown() override {
    fleet_.reset();
    processes_.reset();
    if (!HasFailure()) {
      std::filesystem::remove_all(work_folder_);
    }
  }

  /// Sends the demo mix at 40 requests per second, with another seed on each call.
  std::vector<RequestRecord> send(Duration duration, const std::vector<TimedAction>& actions = {}) {
    return run_load(fleet_->target(), classes_, plan_requests(classes_, 40, duration, ++seed_), actions);
  }

  /// Sends each router a stream with a prompt of its own, and waits for the answers: a router that does not
  /// know the engines yet holds requests back, and then sends them all at once.
  void wait_until_routers_know_engines() {
    std::vector<PlannedRequest> plan(fleet_->target().routers.size());
    for (size_t router = 0; router < plan.size(); ++router) {
      plan[router].id = to_hex(router);
      plan[router].prompt_parts = plan[router].id + ":1";
      plan[router].prompt_tokens = 1;
    }
    const std::vector<RequestRecord> records = run_load(fleet_->target(), classes_, std::move(plan));
    EXPECT_EQ(complete(records), records.size());
  }

  void expect_guarantees(const std::vector<RequestRecord>& records) {
    for (const std::string& violation : check_guarantees(classes_, records, fleet_->runs())) {
      ADD_FAILURE() << violation << "; logs in " << work_folder_;
    }
  }

  /// The number of complete requests.
  static size_t complete(const std::vector<RequestRecord>& records) {
    return static_cast<size_t>(std::count_if(records.begin(), records.end(), [](const RequestRecord& record) {
      return record.outcome == RequestOutcome::kComplete;
    }));
  }

  CommandOutput stoatctl(const std::string& arguments) {
    std::string members;
    for (const Endpoint& member : fleet_->admin_endpoints()) {
      members += (members.empty() ? "" : ",") + to_string(member);
    }
    return run_command(test::program_directory() + "/stoatctl --control " + members + " " + arguments);
  }

  LoopbackFleetOptions options_;  ///< derived fixtures change them before FleetProcessTest::SetUp()
  std::vector<RequestClass> classes_ = demo_classes();
  std::string work_folder_;
  uint64_t seed_ = 0;
  std::unique_ptr<ProcessFleet> processes_;
  std::unique_ptr<LoopbackFleet> fleet_;
};

}  // namespace stoat::tools
