/// The whole request path, from a client's bytes to a scripted engine and back.
#include "tests/support/small_fleet.h"

namespace stoat {
namespace {

using standins::close_step;
using standins::crash_step;
using standins::full_response;
using standins::ReceivedRequest;
using standins::reset_step;
using standins::Script;
using standins::ScriptedEngine;
using standins::send_step;
using standins::wait_step;
using test::count_occurrences;
using test::RawClient;
using test::status_of;

constexpr char kPromptHeaders[] = "X-Model: m\r\nX-Prompt-Parts: a:100,b:50\r\nX-Token-Counts: 150,10\r\n";

std::string chunk(const std::string& bytes) {
  char size[16];
  std::snprintf(size, sizeof(size), "%zx\r\n", bytes.size());
  return size + bytes + "\r\n";
}

std::string event(int id) { return "id: " + std::to_string(id) + "\ndata: x" + std::to_string(id) + "\n\n"; }

class GatewayTest : public test::SmallFleet {
 protected:
  void SetUp() override { ASSERT_TRUE(configure(make_configuration(1))); }
  static std::string stream_head(const std::string& id) {
    return "HTTP/1.1 200 OK\r\n" + engine_headers_for(id) + "Transfer-Encoding: chunked\r\n\r\n";
  }
};

TEST_F(GatewayTest, ForwardsARequestUnchangedExceptForRouterHeaders) {
  ScriptedEngine engine([](const ReceivedRequest& request) -> Script {
    return {send_step(
        full_response(200, engine_headers_for(request.header("X-Request-Id")) + "X-Other: 1\r\n", "body"))};
  });
  add_engine("e1", "calls", engine);
  const std::string response =
      send_request("GET", "/once/a%2Fb?c=%20&d", "q1",
                   "X-Mine: yes\r\nX-Tenant: evil\r\nConnection: X-Hop\r\nX-Hop: 1\r\n");
  EXPECT_EQ(status_of(response), "HTTP/1.1 200");
  EXPECT_NE(response.find("X-Other: 1"), std::string::npos);
  ASSERT_EQ(engine.requests().size(), 1U);
  const ReceivedRequest seen = engine.requests().front();
  EXPECT_EQ(seen.head.substr(0, seen.head.find("\r\n")), "GET /once/a%2Fb?c=%20&d HTTP/1.1");
  EXPECT_EQ(seen.header("X-Tenant"), "t1");
  EXPECT_EQ(seen.header("X-Mine"), "yes");
  EXPECT_EQ(seen.header("X-Hop"), "");
  EXPECT_EQ(seen.header("Authorization"), "");
  EXPECT_EQ(seen.header("X-Expected-Backend"), "e1");
  EXPECT_LE(std::stoi(seen.header("X-Deadline-Ms")), 2000);
}

TEST_F(GatewayTest, RejectsUnknownRoutesAndKeys) {
  EXPECT_EQ(status_of(send_request("GET", "/nowhere/", "q1")), "HTTP/1.1 404");
  EXPECT_EQ(status_of(send_request("GET", "/safe/", "q2", "", "wrong")), "HTTP/1.1 401");
}

TEST_F(GatewayTest, RejectsAtOnceWithoutABackend) {
  const auto start = std::chrono::steady_clock::now();
  const std::string response = send_request("GET", "/safe/", "q1");
  EXPECT_EQ(status_of(response), "HTTP/1.1 503");
  EXPECT_NE(response.find("Retry-After: "), std::string::npos);
  EXPECT_LT(std::chrono::steady_clock::now() - start, std::chrono::milliseconds(900));
}

TEST_F(GatewayTest, NeverRetriesAnUnsafeRequestAfterALostResponse) {
  ScriptedEngine engine([](const ReceivedRequest&) -> Script { return {reset_step()}; });
  ScriptedEngine other([](const ReceivedRequest&) -> Script { return {reset_step()}; });
  add_engine("e1", "calls", engine);
  add_engine("e2", "calls", other);
  EXPECT_EQ(status_of(send_request("POST", "/once/", "q1", "Content-Length: 0\r\n")), "HTTP/1.1 502");
  EXPECT_EQ(engine.requests().size() + other.requests().size(), 1U);
}

TEST_F(GatewayTest, RetriesASafeRequestOnAnotherBackendAfterALostResponse) {
  std::atomic<int> sends{0};
  const auto handler = [&](const ReceivedRequest& request) -> Script {
    if (++sends == 1) {
      return {reset_step()};
    }
    return test::succeed(request, "ok");
  };
  ScriptedEngine engine(handler);
  ScriptedEngine other(handler);
  add_engine("e1", "calls", engine);
  add_engine("e2", "calls", other);
  EXPECT_EQ(status_of(send_request("GET", "/safe/", "q1")), "HTTP/1.1 200");
  EXPECT_EQ(engine.requests().size(), 1U);
  EXPECT_EQ(other.requests().size(), 1U);
}

TEST_F(GatewayTest, RetriesAnUnsafeRequestThatTheBackendDidNotRun) {
  std::atomic<int> sends{0};
  const auto handler = [&](const ReceivedRequest& request) -> Script {
    const std::string id = request.header("X-Request-Id");
    if (++sends == 1) {
      return {send_step(full_response(503, "X-Request-Id: " + id + "\r\nX-Not-Run: 1\r\n", ""))};
    }
    return {send_step(full_response(200, engine_headers_for(id), "ok"))};
  };
  ScriptedEngine engine(handler);
  ScriptedEngine other(handler);
  add_engine("e1", "calls", engine);
  add_engine("e2", "calls", other);
  EXPECT_EQ(status_of(send_request("POST", "/once/", "q1", "Content-Length: 0\r\n")), "HTTP/1.1 200");
}

/// A router that sends its status to the control plane only every 20 s.
class InfrequentStatusTest : public test::SmallFleet {
 protected:
  InfrequentStatusTest() : SmallFleet(100, 20s) {}
};

TEST_F(InfrequentStatusTest, RouterRequestsAKeyLeaseFromANewLeaderAtOnce) {
  // Guards against waiting for the next status interval: after a power loss of all machines, routers began to
  // accept keys as late as 0.4 s after a leader was elected.
  EXPECT_TRUE(configure(make_configuration(1)));  // waits at most 5 s until the router is ready
}

TEST_F(GatewayTest, ForwardsAnEngineErrorUnchanged) {
  ScriptedEngine engine([](const ReceivedRequest& request) -> Script {
    return {send_step(full_response(500, engine_headers_for(request.header("X-Request-Id")), "broken"))};
  });
  add_engine("e1", "calls", engine);
  const std::string response = send_request("POST", "/once/", "q1", "Content-Length: 0\r\n");
  EXPECT_EQ(status_of(response), "HTTP/1.1 500");
  EXPECT_NE(response.find("X-Answer-Signature: s"), std::string::npos);
  EXPECT_NE(response.find("broken"), std::string::npos);
}

TEST_F(GatewayTest, NeverForwardsASuccessWithoutTheEnginesSignature) {
  ScriptedEngine engine([](const ReceivedRequest& request) -> Script {
    return {
        send_step(full_response(200, "X-Request-Id: " + request.header("X-Request-Id") + "\r\n", "forged"))};
  });
  add_engine("e1", "calls", engine);
  EXPECT_EQ(status_of(send_request("POST", "/once/", "q1", "Content-Length: 0\r\n")), "HTTP/1.1 502");
}

TEST_F(GatewayTest, SkipsAResponseToAnotherRequest) {
  ScriptedEngine engine([](const ReceivedRequest& request) -> Script {
    return {send_step(full_response(200, engine_headers_for("another"), "not yours") +
                      full_response(200, engine_headers_for(request.header("X-Request-Id")), "yours"))};
  });
  add_engine("e1", "calls", engine);
  const std::string response = send_request("POST", "/once/", "q1", "Content-Length: 0\r\n");
  EXPECT_NE(response.find("yours"), std::string::npos);
  EXPECT_EQ(response.find("not yours"), std::string::npos);
}

TEST_F(GatewayTest, DoesNotReuseAConnectionWithSurplusBytes) {
  ScriptedEngine engine([](const ReceivedRequest& request) -> Script {
    const std::string response = full_response(200, engine_headers_for(request.header("X-Request-Id")), "ok");
    return {send_step(response + response)};
  });
  add_engine("e1", "calls", engine);
  EXPECT_EQ(status_of(send_request("GET", "/safe/", "q1")), "HTTP/1.1 200");
  EXPECT_EQ(status_of(send_request("GET", "/safe/", "q2")), "HTTP/1.1 200");
  ASSERT_EQ(engine.requests().size(), 2U);
  EXPECT_NE(engine.requests()[0].connection, engine.requests()[1].connection);
}

TEST_F(GatewayTest, AcceptsAnUnframedResponseOnlyAfterAnOrderlyClose) {
  std::atomic<bool> orderly{true};
  ScriptedEngine engine([&](const ReceivedRequest& request) -> Script {
    const std::string head =
        "HTTP/1.1 200 OK\r\n" + engine_headers_for(request.header("X-Request-Id")) + "\r\nunframed";
    if (orderly) {
      return {send_step(head), close_step()};
    }
    return {send_step(head), wait_step(std::chrono::milliseconds(50)), reset_step()};
  });
  add_engine("e1", "calls", engine);
  EXPECT_NE(send_request("POST", "/once/", "q1", "Content-Length: 0\r\n").find("unframed"),
            std::string::npos);
  orderly = false;
  EXPECT_EQ(status_of(send_request("POST", "/once/", "q2", "Content-Length: 0\r\n")), "HTTP/1.1 502");
}

TEST_F(GatewayTest, RespondsToGarbageWithBadGateway) {
  ScriptedEngine engine(
      [](const ReceivedRequest&) -> Script { return {send_step("\x01\x02garbage\r\n\r\n")}; });
  add_engine("e1", "calls", engine);
  EXPECT_EQ(status_of(send_request("POST", "/once/", "q1", "Content-Length: 0\r\n")), "HTTP/1.1 502");
}

TEST_F(GatewayTest, EndsARequestAtItsDeadlineAndStopsTheEngine) {
  ScriptedEngine engine(
      [](const ReceivedRequest&) -> Script { return {wait_step(std::chrono::milliseconds(8000))}; });
  add_engine("e1", "calls", engine);
  RawClient client(router_port_);
  const auto start = std::chrono::steady_clock::now();
  client.send(
      "POST /once/ HTTP/1.1\r\nHost: h\r\nX-Request-Id: q\r\nX-Deadline-Ms: 300\r\nAuthorization: Bearer "
      "k1\r\n"
      "Content-Length: 0\r\nConnection: close\r\n\r\n");
  EXPECT_EQ(status_of(client.read_all()), "HTTP/1.1 504");
  EXPECT_LT(std::chrono::steady_clock::now() - start, std::chrono::milliseconds(1200));
  EXPECT_TRUE(wait_for([&] { return engine.closed_by_peer() == 1; }));
}

TEST_F(GatewayTest, StopsTheEngineWhenTheClientDisconnects) {
  ScriptedEngine engine(
      [](const ReceivedRequest&) -> Script { return {wait_step(std::chrono::milliseconds(8000))}; });
  add_engine("e1", "calls", engine);
  {
    RawClient client(router_port_);
    client.send(request("GET", "/safe/", "q1"));
    ASSERT_TRUE(wait_for([&] { return engine.requests().size() == 1; }));
  }
  EXPECT_TRUE(wait_for([&] { return engine.closed_by_peer() == 1; }));
}

TEST_F(GatewayTest, StreamsWholeEventsToTheEnd) {
  ScriptedEngine engine([](const ReceivedRequest& request) -> Script {
    return {send_step(stream_head(request.header("X-Request-Id")) + chunk(event(1) + event(2).substr(0, 7))),
            wait_step(std::chrono::milliseconds(30)), send_step(chunk(event(2).substr(7)) + "0\r\n\r\n")};
  });
  add_engine("e1", "models", engine);
  const std::string response =
      send_request("POST", "/stream/", "q1", std::string(kPromptHeaders) + "Content-Length: 0\r\n");
  EXPECT_NE(response.find(event(1)), std::string::npos);
  EXPECT_NE(response.find(event(2)), std::string::npos);
  EXPECT_NE(response.find("\r\n0\r\n\r\n"), std::string::npos);
}

TEST_F(GatewayTest, AbortsAStreamThatIsNotResumable) {
  ScriptedEngine engine([](const ReceivedRequest& request) -> Script {
    return {send_step(stream_head(request.header("X-Request-Id")) + chunk(event(1))),
            wait_step(std::chrono::milliseconds(30)), reset_step()};
  });
  ScriptedEngine other([](const ReceivedRequest&) -> Script { return {reset_step()}; });
  add_engine("e1", "models", engine);
  const std::string response =
      send_request("POST", "/stream/", "q1", std::string(kPromptHeaders) + "Content-Length: 0\r\n");
  EXPECT_NE(response.find(event(1)), std::string::npos);
  EXPECT_EQ(response.find("\r\n0\r\n\r\n"), std::string::npos);
  EXPECT_EQ(engine.requests().size(), 1U);
}

TEST_F(GatewayTest, ResumesAStreamElsewhereWithoutRepeatedOrMissingEvents) {
  std::atomic<int> sends{0};
  const auto handler = [&](const ReceivedRequest& request) -> Script {
    const std::string head = stream_head(request.header("X-Request-Id"));
    if (++sends == 1) {
      return {send_step(head + chunk(event(1) + event(2) + event(3).substr(0, 4))),
              wait_step(std::chrono::milliseconds(30)), reset_step()};
    }
    EXPECT_EQ(request.header("Last-Event-Id"), "2");
    return {send_step(head + chunk(event(2) + event(3)) + "0\r\n\r\n")};
  };
  ScriptedEngine engine(handler);
  ScriptedEngine other(handler);
  add_engine("e1", "models", engine);
  add_engine("e2", "models", other);
  const std::string response =
      send_request("POST", "/resume/", "q1", std::string(kPromptHeaders) + "Content-Length: 0\r\n");
  for (int id = 1; id <= 3; ++id) {
    EXPECT_EQ(count_occurrences(response, event(id)), 1U) << response;
  }
  EXPECT_NE(response.find("\r\n0\r\n\r\n"), std::string::npos);
}

TEST_F(GatewayTest, NonResumableStreamContinuesFromItsKvCacheBackup) {
  std::atomic<int> sends{0};
  const auto handler = [&](const ReceivedRequest& request) -> Script {
    const std::string head = stream_head(request.header("X-Request-Id"));
    if (++sends == 1) {
      EXPECT_NE(request.header("X-Kv-Backup"), "");
      return {send_step(head + chunk(event(1))), wait_step(std::chrono::milliseconds(30)), crash_step()};
    }
    EXPECT_NE(request.header("X-Kv-From").find("/q1"), std::string::npos);
    EXPECT_EQ(request.header("Last-Event-Id"), "1");
    return {send_step(head + chunk(event(2)) + "0\r\n\r\n")};
  };
  ScriptedEngine engine(handler);
  ScriptedEngine other(handler);
  add_engine("e1", "models", engine);
  add_engine("e2", "models", other);
  const std::string response =
      send_request("POST", "/stream/", "q1", std::string(kPromptHeaders) + "Content-Length: 0\r\n");
  EXPECT_NE(response.find(event(1)), std::string::npos);
  EXPECT_NE(response.find(event(2)), std::string::npos);
  EXPECT_NE(response.find("\r\n0\r\n\r\n"), std::string::npos);
}

// Two engines worked on a stream that may run once: its connection was reset, but the engine had not ended.
TEST_F(GatewayTest, NonResumableStreamContinuesFromItsBackupWhileItsEngineStillAnswers) {
  std::atomic<int> streams{0};
  const auto handler = [&](const ReceivedRequest& request) -> Script {
    const std::string id = request.header("X-Request-Id");
    if (id.empty()) {
      return {send_step(full_response(200, "", ""))};  // a health check
    }
    ++streams;
    return {send_step(stream_head(id) + chunk(event(1))), wait_step(std::chrono::milliseconds(30)),
            reset_step()};
  };
  ScriptedEngine engine(handler);
  ScriptedEngine other(handler);
  add_engine("e1", "models", engine);
  add_engine("e2", "models", other);
  const std::string response =
      send_request("POST", "/stream/", "q1", std::string(kPromptHeaders) + "Content-Length: 0\r\n");
  EXPECT_NE(response.find(event(1)), std::string::npos);
  EXPECT_EQ(response.find("\r\n0\r\n\r\n"), std::string::npos);
  EXPECT_EQ(streams, 1);
}

TEST_F(GatewayTest, BackupIsNotUsedBeforeTheFirstEvent) {
  // Guards against executing a request twice: without an event to continue after, the engine that holds the
  // backup treats the request as a new run.
  const auto handler = [](const ReceivedRequest&) -> Script { return {reset_step()}; };
  ScriptedEngine engine(handler);
  ScriptedEngine other(handler);
  add_engine("e1", "models", engine);
  add_engine("e2", "models", other);
  EXPECT_EQ(status_of(send_request("POST", "/stream/", "q1",
                                   std::string(kPromptHeaders) + "Content-Length: 0\r\n")),
            "HTTP/1.1 502");
  EXPECT_EQ(engine.requests().size() + other.requests().size(), 1U);
}

TEST_F(GatewayTest, BackupIsNotUsedAfterAWeightChange) {
  // Guards against resuming a stream from outdated weights: the failed engine had new weights by the end of
  // its run, while the backup was made with the old ones.
  const auto handler = [&](const ReceivedRequest& request) -> Script {
    const std::string head = "HTTP/1.1 200 OK\r\n" + engine_headers_for(request.header("X-Request-Id")) +
                             "X-Weights-Version: 2\r\nTransfer-Encoding: chunked\r\n\r\n";
    return {send_step(head + chunk(event(1))), wait_step(std::chrono::milliseconds(30)), reset_step()};
  };
  ScriptedEngine engine(handler);
  ScriptedEngine other(handler);
  add_engine("e1", "models", engine);
  add_engine("e2", "models", other);
  const std::string response =
      send_request("POST", "/stream/", "q1", std::string(kPromptHeaders) + "Content-Length: 0\r\n");
  EXPECT_EQ(response.find("\r\n0\r\n\r\n"), std::string::npos);
  EXPECT_EQ(engine.requests().size() + other.requests().size(), 1U);
}

TEST_F(GatewayTest, StreamWithoutABackupIsAborted) {
  std::atomic<int> sends{0};
  const auto handler = [&](const ReceivedRequest& request) -> Script {
    const std::string id = request.header("X-Request-Id");
    if (++sends == 1) {
      return {send_step(stream_head(id) + chunk(event(1))), wait_step(std::chrono::milliseconds(30)),
              crash_step()};
    }
    return {send_step(full_response(503, "X-Request-Id: " + id + "\r\nX-Not-Run: 1\r\n", ""))};
  };
  ScriptedEngine engine(handler);
  ScriptedEngine other(handler);
  add_engine("e1", "models", engine);
  add_engine("e2", "models", other);
  const std::string response =
      send_request("POST", "/stream/", "q1", std::string(kPromptHeaders) + "Content-Length: 0\r\n");
  EXPECT_EQ(response.find("\r\n0\r\n\r\n"), std::string::npos);
  EXPECT_EQ(sends, 2);
}

TEST_F(GatewayTest, SendsTheExpectedWeightsAndLearnsNewerOnesFromResponses) {
  std::atomic<int> sends{0};
  ScriptedEngine engine([&](const ReceivedRequest& request) -> Script {
    const std::string id = request.header("X-Request-Id");
    if (++sends == 1) {
      EXPECT_EQ(request.header("X-Expected-Weights"), "1");
      return {send_step(full_response(421, "X-Request-Id: " + id + "\r\nX-Weights-Version: 2\r\n", ""))};
    }
    EXPECT_EQ(request.header("X-Expected-Weights"), "2");
    EXPECT_NE(request.header("X-Cache-Salt").find("v2"), std::string::npos);
    return {send_step(stream_head(id) + chunk(event(1)) + "0\r\n\r\n")};
  });
  add_engine("e1", "models", engine);
  const std::string response =
      send_request("POST", "/stream/", "q1", std::string(kPromptHeaders) + "Content-Length: 0\r\n");
  EXPECT_EQ(status_of(response), "HTTP/1.1 200");
  EXPECT_EQ(engine.requests().size(), 2U);
}

TEST_F(GatewayTest, AnnouncesTheHolderOfAPromptChainToOtherRouters) {
  ScriptedEngine engine([](const ReceivedRequest& request) -> Script {
    return {send_step(stream_head(request.header("X-Request-Id")) + chunk(event(1)) + "0\r\n\r\n")};
  });
  add_engine("e1", "models", engine);
  // Acts as another router towards the control plane.
  auto received_placements = std::make_shared<std::vector<fleet::ChainPlacement>>();
  auto first_message_received = std::make_shared<std::atomic<bool>>(false);
  const auto channel = run_on_router_loop([&] {
    auto new_channel = wire::Channel::connect(
        loop_, control_endpoint_,
        [received_placements, first_message_received](const std::shared_ptr<wire::Channel>&,
                                                      const wire::Message& message) {
          if (const auto* feed_update = std::get_if<fleet::FleetFeedUpdate>(&message.value)) {
            received_placements->insert(received_placements->end(), feed_update->placements.begin(),
                                        feed_update->placements.end());
          }
          *first_message_received = true;
        },
        [](const std::shared_ptr<wire::Channel>&) {});
    fleet::RouterStatus status;
    status.router.name = "r2";
    status.sequence = 1;
    status.follows = true;
    new_channel->send(status);
    return new_channel;
  });
  ASSERT_TRUE(wait_for([&] { return first_message_received->load(); }));
  send_request("POST", "/stream/", "q1", std::string(kPromptHeaders) + "Content-Length: 0\r\n");
  ASSERT_TRUE(wait_for([&] { return !received_placements->empty(); }));
  EXPECT_EQ(received_placements->front().holder, "e1");
  EXPECT_EQ(received_placements->front().weights, 1U);
  EXPECT_EQ(received_placements->front().links.size(), 1U);  // the last part belongs to the request alone
  run_on_router_loop([&] {
    channel->close();
    return true;
  });
}

TEST_F(GatewayTest, FetchesKvCacheFromTheEngineThatHoldsIt) {
  const auto stream = [](const ReceivedRequest& request) -> Script {
    return {send_step(stream_head(request.header("X-Request-Id")) + chunk(event(1)) + "0\r\n\r\n")};
  };
  ScriptedEngine first(stream);
  ScriptedEngine second(stream);
  add_engine("e1", "models", first);
  send_request("POST", "/stream/", "q1", std::string(kPromptHeaders) + "Content-Length: 0\r\n");
  ASSERT_EQ(first.requests().size(), 1U);
  EXPECT_EQ(first.requests()[0].header("X-Kv-Source"), "");
  add_engine("e2", "models", second);
  // The holder is draining: it takes no more requests, but still runs.
  test::run_on(control_loop_, [&] {
    control_->commit(fleet::RetireBackend{"e1", fleet::BackendState::kDraining}, [](bool) {});
    return true;
  });
  // The retirement reaches the router some time later; until then the holder itself gets the requests.
  const auto deadline = std::chrono::steady_clock::now() + 5s;
  for (int attempts = 0; second.requests().empty() && std::chrono::steady_clock::now() < deadline;
       ++attempts) {
    send_request("POST", "/stream/", "q2-" + std::to_string(attempts),
                 std::string(kPromptHeaders) + "Content-Length: 0\r\n");
  }
  ASSERT_FALSE(second.requests().empty());
  EXPECT_EQ(second.requests()[0].header("X-Kv-Source"), first.address());
}

TEST_F(GatewayTest, SeparatesTheCacheOfAnIsolatedTenant) {
  ScriptedEngine engine([](const ReceivedRequest& request) -> Script {
    return {send_step(stream_head(request.header("X-Request-Id")) + chunk(event(1)) + "0\r\n\r\n")};
  });
  add_engine("e1", "models", engine);
  send_request("POST", "/stream/", "q1",
               std::string(kPromptHeaders) + "X-Cache-Salt: mine\r\nContent-Length: 0\r\n", "k1");
  send_request("POST", "/stream/", "q2",
               std::string(kPromptHeaders) + "X-Cache-Salt: mine\r\nContent-Length: 0\r\n", "k2");
  ASSERT_EQ(engine.requests().size(), 2U);
  const std::string shared = engine.requests()[0].header("X-Cache-Salt");
  const std::string isolated = engine.requests()[1].header("X-Cache-Salt");
  EXPECT_NE(shared, isolated);
  EXPECT_NE(shared, "mine");
  EXPECT_NE(isolated, "mine");
}

TEST_F(GatewayTest, SendsNothingToARetiredBackend) {
  ScriptedEngine engine(
      [](const ReceivedRequest& request) -> Script { return test::succeed(request, "ok"); });
  add_engine("e1", "calls", engine);
  EXPECT_EQ(status_of(send_request("GET", "/safe/", "q1")), "HTTP/1.1 200");
  auto done = std::make_shared<std::promise<bool>>();
  control_loop_.post([this, done] {
    control_->commit(fleet::RetireBackend{"e1", fleet::BackendState::kDraining},
                     [done](bool ok) { done->set_value(ok); });
  });
  ASSERT_TRUE(done->get_future().get());
  std::this_thread::sleep_for(std::chrono::milliseconds(200));
  // A heartbeat that was in transit must not make the retired engine usable again.
  add_engine("e1", "calls", engine);
  std::this_thread::sleep_for(std::chrono::milliseconds(200));
  EXPECT_EQ(status_of(send_request("GET", "/safe/", "q2")), "HTTP/1.1 503");
  EXPECT_EQ(engine.requests().size(), 1U);
}

TEST_F(GatewayTest, AppliesOnlyTheHighestConfigurationVersion) {
  fleet::FleetConfiguration next = make_configuration(5);
  next.routes.erase(next.routes.begin());
  ASSERT_TRUE(configure(next));
  ASSERT_TRUE(wait_for([this] { return router_->ready(); }));
  std::this_thread::sleep_for(std::chrono::milliseconds(200));
  ASSERT_TRUE(configure(make_configuration(3)));  // acknowledged, without effect
  std::this_thread::sleep_for(std::chrono::milliseconds(200));
  EXPECT_EQ(status_of(send_request("GET", "/safe/", "q1")), "HTTP/1.1 404");
}

TEST_F(GatewayTest, RejectsKeysAfterControlIsSilentForTooLong) {
  ScriptedEngine engine(
      [](const ReceivedRequest& request) -> Script { return test::succeed(request, "ok"); });
  add_engine("e1", "calls", engine);
  EXPECT_EQ(status_of(send_request("GET", "/safe/", "q1")), "HTTP/1.1 200");
  freeze_control();
  std::this_thread::sleep_for(std::chrono::milliseconds(4700));
  EXPECT_EQ(status_of(send_request("GET", "/safe/", "q2")), "HTTP/1.1 503");
  EXPECT_EQ(status_of(send_request("GET", "/open/", "q3")), "HTTP/1.1 200");
}

}  // namespace
}  // namespace stoat
