// Bodies in which lists and objects are nested without end, from everyone who sends bodies to a control
// member.
#include <gtest/gtest.h>

#include "src/control/engine_client.h"
#include "standins/scripted_engine.h"
#include "tests/support/control_program_test.h"

namespace stoat {
namespace {

constexpr size_t kLevels = 200000;

std::string repeat(const std::string& text, size_t count) {
  std::string repeated;
  for (size_t number = 0; number < count; ++number) {
    repeated += text;
  }
  return repeated;
}

std::string nested_lists(size_t levels) { return std::string(levels, '[') + std::string(levels, ']'); }

std::string nested_objects(size_t levels) {
  return repeat(R"({"a":)", levels) + "1" + std::string(levels, '}');
}

/// Values that nest without end, as a field of another type and within one of the right type.
std::vector<std::string> nested_values() {
  return {nested_lists(kLevels), nested_objects(kLevels), "[" + nested_lists(kLevels) + "]",
          "[" + nested_objects(kLevels) + "]", R"([{"unknown":)" + nested_lists(kLevels) + "}]"};
}

/// A request with a gap for a value, marked by '#'.
struct BodyWithGap {
  const char* method;
  const char* path;
  const char* body;
};

class NestedBodyTest : public test::ControlProgramTest, public testing::WithParamInterface<BodyWithGap> {
 protected:
  static std::string fill(const std::string& value) {
    std::string body = GetParam().body;
    return body.replace(body.find('#'), 1, value);
  }
};

// A heartbeat whose models were lists in lists ended each member that got it.
TEST_P(NestedBodyTest, BodyNestedWithoutEndEndsTheMember) {
  for (const std::string& value : nested_values()) {
    const http::ClientResult answer = call(control_, GetParam().method, GetParam().path, fill(value));
    EXPECT_EQ(answer.status, 400);
    EXPECT_NE(answer.body.find("levels deep"), std::string::npos) << answer.body;
  }
  EXPECT_EQ(call(control_, "GET", "/v1/status").status, 200);
}

INSTANTIATE_TEST_SUITE_P(
    Bodies, NestedBodyTest,
    testing::Values(
        BodyWithGap{"PUT", "/v1/backends/e",
                    R"({"service":"s","address":"127.0.0.1:9","state":"ready","sequence":1,"models":#})"},
        BodyWithGap{"PUT", "/v1/backends/e",
                    R"({"service":"s","address":"127.0.0.1:9","state":"ready","sequence":1,"unknown":#})"},
        BodyWithGap{"PUT", "/v1/configuration", R"({"version":1,"routes":#,"services":[]})"},
        BodyWithGap{"PUT", "/v1/configuration", R"({"version":1,"routes":[{"shares":#}],"services":[]})"},
        BodyWithGap{"PUT", "/v1/configuration",
                    R"({"version":1,"routes":[],"services":[{"engine":{"models":#}}]})"},
        BodyWithGap{"PUT", "/v1/configuration",
                    R"({"version":1,"routes":[],"services":[],"tenants":[{"keys":#}]})"},
        BodyWithGap{"PUT", "/v1/configuration", R"({"version":1,"routes":[],"services":[],"unknown":#})"},
        BodyWithGap{"POST", "/v1/weights", R"({"model":"m","version":1,"unknown":#})"},
        BodyWithGap{"POST", "/v1/rollouts", R"({"service":"s","version":"v","unknown":#})"}));

/// What a member reads of an engine or a KV store.
class NestedAnswerTest : public testing::Test {
 protected:
  /// Calls `call` with a client and the address of an engine that answers with `body`, until it ends the
  /// loop.
  template <typename Call>
  void call_engine(const std::string& body, const Call& call) {
    standins::ScriptedEngine engine([&](const standins::ReceivedRequest&) {
      return standins::Script{standins::send_step(standins::full_response(200, "", body))};
    });
    EventLoop loop;
    const control::FleetHttpInterface names;
    control::EngineClient client(loop, names);
    call(client, engine.address(), loop);
    loop.after(5s, [&] {
      ADD_FAILURE() << "no end";
      loop.stop();
    });
    loop.run();
  }
};

// Such an answer ended the member that reads the engine's events.
TEST_F(NestedAnswerTest, CacheEventsNestedWithoutEndEndTheMember) {
  for (const std::string& value : nested_values()) {
    call_engine(R"({"epoch":1,"events":)" + value + "}",
                [](control::EngineClient& client, const std::string& address, EventLoop& loop) {
                  client.poll_cache_events(address, 0, [&](const control::CacheEvents* events) {
                    EXPECT_EQ(events, nullptr);
                    loop.stop();
                  });
                });
  }
}

// Such an answer ended the member that asks the engine for its report.
TEST_F(NestedAnswerTest, ReportNestedWithoutEndEndsTheMember) {
  for (const std::string& value : nested_values()) {
    call_engine(R"({"busy":false,"sequence":1,"models":)" + value + "}",
                [](control::EngineClient& client, const std::string& address, EventLoop& loop) {
                  client.request_report(address, [&](const control::EngineReport* report) {
                    EXPECT_EQ(report, nullptr);
                    loop.stop();
                  });
                });
  }
}

}  // namespace
}  // namespace stoat
