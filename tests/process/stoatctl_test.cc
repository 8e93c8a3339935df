// stoatctl beside members that answer what no member should.
#include "standins/scripted_engine.h"
#include "tests/process/fleet_process_test.h"

namespace stoat::tools {
namespace {

constexpr size_t kLevels = 200000;

/// Runs `stoatctl status` against a member that answers with `body`.
CommandOutput status_of_member(const std::string& body) {
  standins::ScriptedEngine member([&](const standins::ReceivedRequest&) {
    return standins::Script{standins::send_step(standins::full_response(200, "", body))};
  });
  return run_command(test::program_directory() + "/stoatctl --control " + member.address() + " status");
}

// stoatctl ended with a segmentation fault.
TEST(StoatctlTest, StatusNestedWithoutEndEndsStoatctl) {
  const std::string nested = std::string(kLevels, '[') + std::string(kLevels, ']');
  for (const std::string& body :
       {nested, R"({"leads":)" + nested + R"(,"voters":1,"configuration":1,"routers":[],"backends":[]})",
        R"({"leads":true,"routers":)" + nested + "}"}) {
    const CommandOutput output = status_of_member(body);
    EXPECT_EQ(output.status, 4) << output.text.substr(0, 200);
    EXPECT_NE(output.text.find("levels deep"), std::string::npos) << output.text.substr(0, 200);
  }
}

// stoatctl was aborted.
TEST(StoatctlTest, StatusWithoutFieldsEndsStoatctl) {
  for (const std::string body :
       {"{}", R"({"leads":true})", R"({"routers":7,"backends":[7]})", "7", "no JSON"}) {
    const CommandOutput output = status_of_member(body);
    EXPECT_NE(output.text.find("127.0.0.1"), std::string::npos) << body << ": " << output.text;
  }
}

}  // namespace
}  // namespace stoat::tools
