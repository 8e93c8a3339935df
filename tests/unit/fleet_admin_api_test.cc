/// The HTTP API of a control member with the default field names and paths, and its JSON bodies.
#include <nlohmann/json.hpp>

#include "src/control/fleet_bodies.h"
#include "tests/support/control_program_test.h"

namespace stoat::control {
namespace {

using nlohmann::json;

constexpr char kConfiguration[] = R"({"version":3,
 "routes":[{"name":"chat","host":"h","path_prefix":"/chat/","kind":"streaming","timeout_ms":15000,
   "shares":[{"service":"models","weight":1}],"open":true},
  {"name":"calls","host":"h","path_prefix":"/calls/","kind":"safe","timeout_ms":500,"service":"calls"}],
 "services":[{"name":"models","engine":{"slots":8,"kv_tokens":4000,"kv_bytes_per_token":100,"models":[{"name":"m"}]}},
  {"name":"calls"},{"name":"store","store_address":"127.0.0.1:9"}],
 "tenants":[{"name":"t","keys":["k"],"quota_per_second":10,"quota_burst":20,"quota_unit":"tokens",
   "tokens_without_count":7}]})";

TEST(FleetBodies, ParseDefaultFieldNames) {
  Findings findings;
  const auto configuration = read_configuration(kConfiguration, {}, findings);
  ASSERT_TRUE(configuration) << findings.to_text();
  EXPECT_TRUE(configuration->routes[0].open);
  EXPECT_EQ(configuration->routes[0].shares[0].service, "models");
  EXPECT_EQ(configuration->services[0].engine.kv_tokens, 4000U);
  EXPECT_EQ(configuration->services[2].store_address, "127.0.0.1:9");
  EXPECT_EQ(configuration->tenants[0].keys[0], "k");
  EXPECT_EQ(configuration->tenants[0].quota.cost_of(std::nullopt), 7);
  const auto record = read_heartbeat(
      "e", R"({"service":"models","address":"a:1","software":"v3","state":"ready","sequence":1})", {});
  ASSERT_TRUE(record);
  EXPECT_EQ(record->software, "v3");
  const auto events = read_cache_events(R"({"epoch":1,"next_event":4,"gap":true,"events":[]})", {});
  ASSERT_TRUE(events);
  EXPECT_EQ(events->next_event, 4U);
  EXPECT_TRUE(events->gap);
}

TEST(FleetBodies, FormatOrdersWithDefaultFieldNames) {
  LoadWeightsOrder order;
  order.model = "m";
  order.version = 2;
  order.fencing_token = 9;
  const json body = json::parse(weight_order_body(order, {}));
  EXPECT_EQ(body["operation"], "load_weights");
  EXPECT_EQ(body["fence"], 9);
  EXPECT_EQ(body["version"], 2);
}

using FleetAdminApiTest = test::ControlProgramTest;

TEST_F(FleetAdminApiTest, ReturnsTheStoredConfiguration) {
  ASSERT_TRUE(succeeds_eventually("PUT", "/v1/configuration", kConfiguration));
  const auto read = call(control_, "GET", "/v1/configuration");
  EXPECT_EQ(read.status, 200);
  EXPECT_EQ(read.body, kConfiguration);
}

// A member ended when its status was asked for after such a heartbeat.
TEST_F(FleetAdminApiTest, IdOfBytesThatAreNoTextIsRejected) {
  const std::string heartbeat =
      R"({"service":"calls","address":"127.0.0.1:9","zone":"z","slots":1,"state":"ready","sequence":1})";
  EXPECT_EQ(call(control_, "PUT", "/v1/backends/e\xff\xfe", heartbeat).status, 400);
  EXPECT_EQ(call(control_, "PUT", "/v1/backends/e1", heartbeat).status, 200);
  const auto status = call(control_, "GET", "/v1/status");
  EXPECT_EQ(status.status, 200);
  EXPECT_EQ(json::parse(status.body)["backends"].size(), 1U);
}

TEST(FleetBodies, NamesOfBytesThatAreNoTextAreReplaced) {
  EXPECT_EQ(json::parse(heartbeat_reply_body("a\xff:1", {})).begin()->get<std::string>(), "a\xEF\xBF\xBD:1");
}

TEST_F(FleetAdminApiTest, HeartbeatReplyNamesTheNearestMember) {
  ASSERT_TRUE(succeeds_eventually("PUT", "/v1/configuration", kConfiguration));
  // The reply contains an address only after a quorum is known to have confirmed the leader, which is some
  // milliseconds after the first write.
  std::string heartbeat_address;
  const auto give_up_at = std::chrono::steady_clock::now() + 5s;
  for (int sequence = 1; heartbeat_address.empty() && std::chrono::steady_clock::now() < give_up_at;
       ++sequence) {
    const auto answer =
        call(control_, "PUT", "/v1/backends/e1",
             R"({"service":"models","address":"127.0.0.1:9","state":"ready","slots":8,"sequence":)" +
                 std::to_string(sequence) + "}");
    ASSERT_EQ(answer.status, 200);
    heartbeat_address = json::parse(answer.body).value("heartbeat_address", "");
  }
  EXPECT_EQ(heartbeat_address, to_string(control_));
}

TEST_F(FleetAdminApiTest, RejectsAnInvalidConfigurationWithFindings) {
  const auto answer = call(control_, "PUT", "/v1/configuration", R"({"version":1,"routes":[{"name":"r"}]})");
  EXPECT_EQ(answer.status, 400);
  EXPECT_NE(answer.body.find("routes[0].kind"), std::string::npos) << answer.body;
  EXPECT_NE(answer.body.find("services"), std::string::npos) << answer.body;
}

TEST_F(FleetAdminApiTest, AcceptsWeightsHeartbeatsAndRemovals) {
  EXPECT_TRUE(succeeds_eventually("POST", "/v1/weights", R"({"model":"m","version":2})"));
  EXPECT_EQ(call(control_, "POST", "/v1/weights", R"({"model":"m"})").status, 400);
  EXPECT_EQ(
      call(control_, "PUT", "/v1/backends/e1", R"({"service":"s","address":"127.0.0.1:9","state":"ready"})")
          .status,
      200);
  EXPECT_EQ(call(control_, "PUT", "/v1/backends/e1", "{}").status, 400);
  EXPECT_TRUE(succeeds_eventually("DELETE", "/v1/backends/e1"));
}

// The member was aborted: the call in progress was answered after the server of its connection had gone.
TEST_F(FleetAdminApiTest, MemberThatStopsWithACallInProgressIsAborted) {
  auto pending =
      std::async(std::launch::async, [&] { return call(control_, "DELETE", "/v1/backends/unknown"); });
  std::this_thread::sleep_for(200ms);  // the member asks others for 700 ms
  stop_program();
  EXPECT_NE(pending.get().status, 200);
}

// A heartbeat of 4 MB with a fault in each element took a gigabyte of a member's memory.
TEST_F(FleetAdminApiTest, HeartbeatOfManyFaultsTakesAllMemory) {
  const auto heartbeat = [](size_t models) {
    std::string list = "1";
    for (size_t count = 1; count < models; ++count) {
      list += ",1";
    }
    return R"({"service":"s","address":"127.0.0.1:9","state":"ready","sequence":1,"models":[)" + list + "]}";
  };
  constexpr size_t kMaxAnswerBytes = 10000;
  const auto answer = call(control_, "PUT", "/v1/backends/e", heartbeat(100000));
  EXPECT_EQ(answer.status, 400);
  EXPECT_LT(answer.body.size(), kMaxAnswerBytes);
  EXPECT_NE(answer.body.find("models[0]"), std::string::npos);
  EXPECT_NE(answer.body.find("more findings"), std::string::npos);
  const auto longer = call(control_, "PUT", "/v1/backends/e", heartbeat(2000000));
  EXPECT_EQ(longer.status, 400);
  EXPECT_NE(longer.body.find("longer than 2097152 bytes"), std::string::npos) << longer.body.substr(0, 100);
}

// A member acknowledged that a backend was gone which it did not know, and could not carry it out.
TEST_F(FleetAdminApiTest, DepartureOfAnUnknownBackendIsAcknowledged) {
  ASSERT_TRUE(succeeds_eventually("POST", "/v1/weights", R"({"model":"m","version":2})"));
  EXPECT_EQ(call(control_, "DELETE", "/v1/backends/unknown").status, 503) << "others may know it";
  EXPECT_EQ(
      call(control_, "PUT", "/v1/backends/e1", R"({"service":"s","address":"127.0.0.1:9","state":"ready"})")
          .status,
      200);
  EXPECT_EQ(call(control_, "DELETE", "/v1/backends/e1").status, 200);
  EXPECT_EQ(call(control_, "DELETE", "/v1/backends/e1").status, 200);
  std::this_thread::sleep_for(5s);  // by then it knows all backends that are running
  EXPECT_EQ(call(control_, "DELETE", "/v1/backends/unknown").status, 404);
}

TEST_F(FleetAdminApiTest, ReportsStatusAndThatNoRouterIsReady) {
  ASSERT_TRUE(succeeds_eventually("POST", "/v1/weights", R"({"model":"m","version":2})"));
  const json status = json::parse(call(control_, "GET", "/v1/status").body);
  EXPECT_EQ(status["voters"], 1);
  EXPECT_EQ(status["leads"], true);
  EXPECT_EQ(status["configuration"], 0);
  EXPECT_TRUE(status["routers"].empty());
  EXPECT_EQ(call(directory_, "GET", "/v1/routers?zone=z").status, 503);
}

}  // namespace
}  // namespace stoat::control
