// What callers and operators get for good and bad input, from the real programs.
#include <fstream>

#include "tests/process/fleet_fixture.h"

namespace stoat::tools {
namespace {

using nlohmann::json;

class Interfaces : public FleetTest {
 protected:
  static std::vector<http::Header> key() {
    return {{"Authorization", "Bearer " + tool_api_key("publisher-1")}};
  }
  static std::string code_of(const http::ClientResult& result) {
    return json::parse(result.body, nullptr, false).value("/error/code"_json_pointer, "none: " + result.body);
  }
};

TEST_F(Interfaces, CallersGetClearErrorsAndTheSidecarGoesOn) {
  LocalFleetSettings settings = small_fleet("derwent");
  settings.controls = 1;
  settings.sidecar_settings = {"max_body_bytes=20000", "caller_idle_s=1"};
  start(settings);
  EXPECT_EQ(code_of(post("/v1/completions", "{}", {})), "missing_api_key");
  EXPECT_EQ(code_of(post("/v1/completions", "{}", {{"Authorization", "Bearer nobody"}})), "wrong_api_key");
  EXPECT_EQ(code_of(post("/v1/completions", "{not json", key())), "bad_json");
  EXPECT_EQ(code_of(post("/v1/completions", R"({"model":"no","prompt":"x"})", key())), "unknown_model");
  EXPECT_EQ(code_of(post("/v1/completions", R"({"model":"notation-llm","prompt":7})", key())), "bad_field");
  EXPECT_EQ(
      code_of(post("/v1/completions", R"({"model":"notation-llm","prompt":"x","max_tokens":0})", key())),
      "bad_field");
  EXPECT_EQ(code_of(post("/v1/chat/completions", R"({"model":"notation-llm","messages":[{"role":"user"}]})",
                         key())),
            "bad_field");
  EXPECT_EQ(code_of(post("/services/none/x", "{}", key())), "unknown_service");
  const http::ClientResult too_large = post("/v1/completions", std::string(30000, 'x'), key());
  EXPECT_TRUE(too_large.status == 413 || too_large.status == 0) << too_large.status;
  // A caller that opens a connection and sends half a request holds nothing up.
  const CommandOutput half_open = run_command("bash -c 'exec 3<>/dev/tcp/127.0.0.1/" +
                                              std::to_string(fleet_->http_endpoint("sidecar-1").port) +
                                              "; printf \"POST /v1/completions HTTP/1.1\\r\\nContent-Length: "
                                              "100\\r\\n\\r\\n{\" >&3; timeout 5 cat <&3'");
  EXPECT_NE(half_open.status, 124) << "the half-open caller was never let go";
  const http::ClientResult good = post(
      "/v1/chat/completions",
      R"({"model":"notation-llm","messages":[{"role":"user","content":"bar 12?"}],"max_tokens":3})", key());
  EXPECT_EQ(good.status, 200) << good.body;
  EXPECT_EQ(json::parse(good.body)["choices"][0]["message"]["role"], "assistant");
}

TEST_F(Interfaces, AStreamEndsInDoneAndListsUsage) {
  LocalFleetSettings settings = small_fleet("derwent");
  settings.controls = 1;
  start(settings);
  const http::ClientResult result = post(
      "/v1/completions", R"({"model":"notation-llm","prompt":"hello","max_tokens":3,"stream":true})", key());
  EXPECT_EQ(result.status, 200);
  EXPECT_TRUE(result.body.ends_with("data: [DONE]\n\n")) << result.body;
  EXPECT_NE(result.body.find("\"completion_tokens\":3"), std::string::npos) << result.body;
}

TEST_F(Interfaces, AResendUnderAKeyGetsTheFirstAnswerAndRunsOnce) {
  LocalFleetSettings settings = small_fleet("derwent");
  settings.controls = 1;
  start(settings);
  std::vector<http::Header> headers = key();
  headers.push_back({"Idempotency-Key", "extract-1"});
  const std::string body = R"({"model":"notation-llm","prompt":"hello","max_tokens":3})";
  const http::ClientResult first = post("/v1/completions", body, headers);
  ASSERT_EQ(first.status, 200) << first.body;
  http::ClientResult again;
  LocalFleet::wait_until(
      [&] {
        again = post("/v1/completions", body, headers);
        return again.status == 200;
      },
      5s);
  ASSERT_EQ(again.status, 200) << again.body;
  EXPECT_EQ(json::parse(again.body)["choices"], json::parse(first.body)["choices"]);
  EXPECT_EQ(fleet_->runs_per_key()["extract-1"], 1U);
}

TEST_F(Interfaces, OperatorsWhoRaceGetOneWinnerAndAClearConflict) {
  start(small_fleet("derwent"));
  EXPECT_EQ(stoatctl("tenant add a --api-key k --base-version 1 --request-id one").status, 0);
  const CommandOutput loser = stoatctl("tenant add b --api-key k --base-version 1 --request-id two");
  EXPECT_EQ(loser.status, 3) << loser.text;
  EXPECT_NE(loser.text.find("the present version is 2"), std::string::npos) << loser.text;
  const CommandOutput resent = stoatctl("tenant add a --api-key k --base-version 1 --request-id one");
  EXPECT_EQ(resent.status, 0) << resent.text;
  EXPECT_NE(resent.text.find("version 2"), std::string::npos) << resent.text;
  processes_->kill(fleet_->leader());
  const CommandOutput after = stoatctl("tenant add a --api-key k --base-version 1 --request-id one");
  EXPECT_EQ(after.status, 0) << "also after a change of leader: " << after.text;
}

TEST_F(Interfaces, ATableIsCheckedComparedAndPutInForceEverywhere) {
  start(small_fleet("derwent"));
  const std::string file = work_folder_ + "/table.csv";
  std::ofstream(file) << "kind,name,share\ntenant,publisher-1,x\ntenant,,2\n";
  const CommandOutput checked = stoatctl("table check " + file);
  EXPECT_EQ(checked.status, 2);
  EXPECT_NE(checked.text.find("table.csv:2:3: share"), std::string::npos) << checked.text;
  EXPECT_NE(checked.text.find("table.csv:3:2: name"), std::string::npos) << checked.text;
  std::ofstream(file) << "kind,name,share\ntenant,publisher-1,3\n";
  EXPECT_NE(stoatctl("table diff " + file).text.find("+ tenant,publisher-1,3"), std::string::npos);
  const CommandOutput applied = stoatctl("table apply " + file + " --wait");
  EXPECT_EQ(applied.status, 0) << applied.text;
  EXPECT_NE(applied.text.find("in force on 4 nodes"), std::string::npos) << applied.text;
  EXPECT_EQ(fleet_->get("router-1", "/status")["version"], 2);
}

TEST_F(Interfaces, AWrongSettingsFileGetsAllFindingsWithTheirPlaces) {
  const std::string file = (std::filesystem::temp_directory_path() / "stoat-wrong.toml").string();
  std::ofstream(file) << "name = \"r\"\nzone = 7\nlisten = \"nowhere\"\nmax_queue = -1\nsurprise = true\n";
  const CommandOutput output = run_command(test::program_folder() + "/stoat-first-router --settings " + file);
  std::filesystem::remove(file);
  EXPECT_EQ(output.status, 2);
  for (const char* place : {"stoat-wrong.toml:2:8: zone", "stoat-wrong.toml:3:10: listen",
                            "stoat-wrong.toml:4:13: max_queue", "stoat-wrong.toml:5", "data_folder"}) {
    EXPECT_NE(output.text.find(place), std::string::npos) << place << " in\n" << output.text;
  }
}

TEST_F(Interfaces, EveryProgramTellsItsVersionAndItsHelp) {
  for (const char* program :
       {"stoat-sidecar", "stoat-router", "stoat-control", "stoatctl", "stoat-load", "stoat-fleet",
        "standin-engine", "standin-service", "standin-platform", "standin-kv-store", "stoat-chaos"}) {
    const std::string path = test::program_folder() + "/" + program;
    EXPECT_EQ(run_command(path + " --version").status, 0) << program;
    EXPECT_NE(run_command(path + " --help").text.find("Usage"), std::string::npos) << program;
    EXPECT_EQ(run_command(path + " --no-such-flag").status, 2) << program;
  }
}

}  // namespace
}  // namespace stoat::tools
