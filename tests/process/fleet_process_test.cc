/// The programs as real processes on loopback with simulated backends: traffic, killed processes, and
/// operator commands.
#include "tests/process/fleet_process_test.h"

namespace stoat::tools {
namespace {

TEST_F(FleetProcessTest, OneMemberFoundsTheFleetEvenIfAllShareAnAddress) {
  const auto founders_logged = [this] {
    size_t count = 0;
    for (const std::string& name : fleet_->names_of("control")) {
      count += processes_->log_of(name).find("founded the fleet") == std::string::npos ? 0 : 1;
    }
    return count;
  };
  EXPECT_TRUE(LoopbackFleet::wait_until([&] { return founders_logged() > 0; }, 5s));
  sleep_for(1500ms);  // logs are flushed every second
  EXPECT_EQ(founders_logged(), 1U);
}

TEST_F(FleetProcessTest, AllRequestsCompleteAndSharedPromptPartsAreCached) {
  wait_until_routers_know_engines();
  const std::vector<RequestRecord> records = send(4s);
  expect_guarantees(records);
  EXPECT_EQ(complete(records), records.size());
  uint64_t cached = 0;
  uint64_t tokens = 0;
  for (const RequestRecord& record : records) {
    cached += record.cached_tokens;
    tokens += record.planned.prompt_tokens;
  }
  EXPECT_GT(cached * 2, tokens) << "at most half of the prompt tokens were cached";
}

TEST_F(FleetProcessTest, GuaranteesHoldWhenAnEngineAndAServiceAreKilled) {
  const std::vector<RequestRecord> records = send(
      6s, {{2s, [this] { processes_->kill("engine-1"); }}, {3s, [this] { processes_->kill("service-1"); }}});
  expect_guarantees(records);
  EXPECT_GT(complete(records) * 10, records.size() * 9) << "at least one in ten requests did not complete";
}

TEST_F(FleetProcessTest, GuaranteesHoldWhenARouterIsKilledAndRestarted) {
  const std::vector<RequestRecord> records = send(
      6s, {{2s, [this] { processes_->kill("router-1"); }}, {3s, [this] { processes_->start("router-1"); }}});
  expect_guarantees(records);
  EXPECT_TRUE(LoopbackFleet::wait_until([this] { return fleet_->has_registered(2, 5); }, 10s));
  const std::vector<RequestRecord> later = send(2s);
  expect_guarantees(later);
  EXPECT_EQ(complete(later), later.size());
}

TEST_F(FleetProcessTest, KillingTheLeaderStopsNoRequestsAndLosesNoConfiguration) {
  ASSERT_TRUE(fleet_->put_configuration(configuration_of_version(2)));
  const std::string killed = fleet_->leader();
  const std::vector<RequestRecord> records = send(6s, {{1s, [&] { processes_->kill(killed); }}});
  expect_guarantees(records);
  EXPECT_EQ(complete(records), records.size()) << "requests must not depend on a single control member";
  ASSERT_TRUE(fleet_->put_configuration(configuration_of_version(3)));
  processes_->start(killed);
  const CommandOutput read = stoatctl("configuration get");
  EXPECT_EQ(read.status, 0) << read.text;
  EXPECT_EQ(read.text, configuration_of_version(3));
}

TEST_F(FleetProcessTest, NewWeightsAreLoadedUnderTraffic) {
  ASSERT_EQ(stoatctl("weights demo-model 2").status, 0);
  const std::vector<RequestRecord> records = send(3s);
  expect_guarantees(records);
  const auto all_engines_updated = [this] {
    size_t count = 0;
    for (const nlohmann::json& backend :
         fleet_->status_of_leader().value("backends", nlohmann::json::array())) {
      count += backend["models"] == "demo-model@2" && backend["state"] == "ready" ? 1 : 0;
    }
    return count == 3;
  };
  EXPECT_TRUE(LoopbackFleet::wait_until(all_engines_updated, 20s)) << fleet_->status_of_leader().dump(1);
}

TEST_F(FleetProcessTest, StoatctlReportsStatusAndErrors) {
  const CommandOutput status = stoatctl("status");
  EXPECT_EQ(status.status, 0) << status.text;
  EXPECT_NE(status.text.find("router-2"), std::string::npos) << status.text;
  EXPECT_NE(status.text.find("demo-model@1"), std::string::npos) << status.text;
  const std::string file = work_folder_ + "/wrong.json";
  std::ofstream(file) << R"({"version":9,"routes":[{"name":"r"}],"services":[]})";
  const CommandOutput refused = stoatctl("configuration put " + file);
  EXPECT_EQ(refused.status, 1) << refused.text;
  EXPECT_NE(refused.text.find("routes[0].kind"), std::string::npos) << refused.text;
  EXPECT_EQ(stoatctl("configuration put " + work_folder_ + "/none.json").status, 2);
  EXPECT_EQ(stoatctl("weights demo-model x").status, 2);
  EXPECT_EQ(stoatctl("weights demo-model").status, 2);
  EXPECT_EQ(stoatctl("dance").status, 2);
  const std::string backend = fleet_->status_of_leader()["backends"][0]["id"];
  EXPECT_EQ(stoatctl("backend remove " + backend).status, 0);
  EXPECT_TRUE(LoopbackFleet::wait_until([this] { return fleet_->has_registered(2, 4); }, 5s));
}

TEST(Programs, GuaranteesHoldUnderSeededFaults) {
  const std::string folder =
      (std::filesystem::temp_directory_path() / ("stoat-chaos-test-" + std::to_string(getpid()))).string();
  const CommandOutput output = run_command(
      test::program_directory() + "/stoat-chaos --set first_seed=2 --set duration_s=12 --set 'programs=\"" +
      test::program_directory() + "\"' --set 'configuration=\"" + demo_configuration() +
      "\"' --set 'work_folder=\"" + folder + "\"'");
  EXPECT_EQ(output.status, 0) << output.text;
  std::filesystem::remove_all(folder);
}

TEST(Programs, InvalidSettingsFileIsReportedWithThePositionsOfAllFindings) {
  const std::string file =
      (std::filesystem::temp_directory_path() / ("stoat-wrong-" + std::to_string(getpid()) + ".toml"))
          .string();
  std::ofstream(file) << "name = \"r\"\nzone = 7\nlisten = \"nowhere\"\ngrace_s = -1\nsurprise = true\n";
  const CommandOutput output = run_command(test::program_directory() + "/stoat-router --settings " + file);
  EXPECT_EQ(output.status, 2);
  for (const char* position : {":2:8: zone", ":3:10: listen", ":4:11: grace_s", ":5"}) {
    EXPECT_NE(output.text.find(file + position), std::string::npos) << position << " in\n" << output.text;
  }
  const CommandOutput control = run_command(test::program_directory() + "/stoat-control --settings " + file);
  std::filesystem::remove(file);
  EXPECT_EQ(control.status, 2);
  EXPECT_NE(control.text.find("data_folder"), std::string::npos) << control.text;
}

TEST(Programs, EachProgramHasVersionAndHelpOptions) {
  for (const char* program :
       {"stoat-router", "stoat-control", "stoat-platform-router", "stoat-platform-control", "stoatctl",
        "stoat-load", "stoat-simulate", "stoat-chaos", "standin-backend"}) {
    const std::string path = test::program_directory() + "/" + program;
    EXPECT_EQ(run_command(path + " --version").status, 0) << program;
    EXPECT_NE(run_command(path + " --help").text.find("Usage"), std::string::npos) << program;
    EXPECT_EQ(run_command(path + " --no-such-flag").status, 2) << program;
  }
}

}  // namespace
}  // namespace stoat::tools
