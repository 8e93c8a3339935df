/// Streams with neither a length nor chunks, which end with their connection.
#include "tests/support/small_fleet.h"

namespace stoat {
namespace {

using standins::ReceivedRequest;
using standins::Script;
using standins::ScriptedEngine;
using std::chrono::milliseconds;

class UnframedStreamTest : public test::SmallFleet {
 protected:
  static constexpr milliseconds kPause{800};  ///< between two events

  static std::string head(const ReceivedRequest& seen) {
    return "HTTP/1.1 200 OK\r\n" + test::engine_headers(seen) + "Content-Type: text/event-stream\r\n\r\n";
  }
  std::string send_stream(const std::string& route) {
    return send_request("GET", "/" + route + "/", "unframed-" + route,
                        "X-Model: m\r\nX-Token-Counts: 20,10\r\nX-Prompt-Parts: a:10,b:10\r\n");
  }
};

TEST_F(UnframedStreamTest, EventsArePassedOnBeforeTheStreamEnds) {
  ASSERT_TRUE(configure(make_configuration(1)));
  ScriptedEngine engine([](const ReceivedRequest& seen) -> Script {
    return {standins::send_step(head(seen) + "id: 1\ndata: a\n\n"), standins::wait_step(kPause),
            standins::send_step("id: 2\ndata: b\n\n"), standins::close_step()};
  });
  add_engine("e", "models", engine);
  for (const std::string route : {"stream", "resume"}) {
    test::RawClient client(router_port_);
    client.send(request("GET", "/" + route + "/", "unframed-" + route,
                        "X-Model: m\r\nX-Token-Counts: 20,10\r\nX-Prompt-Parts: a:10,b:10\r\nConnection: "
                        "close\r\n"));
    const auto begin = std::chrono::steady_clock::now();
    std::string answer = client.read_until("data: a\n\n");
    EXPECT_LT(std::chrono::steady_clock::now() - begin, kPause / 2) << route;
    answer += client.read_all();
    EXPECT_NE(answer.find("data: b\n\n"), std::string::npos) << answer;
    EXPECT_EQ(answer.find("Content-Length"), std::string::npos) << answer;
    EXPECT_NE(answer.find("\r\n0\r\n\r\n"), std::string::npos) << answer;
  }
}

TEST_F(UnframedStreamTest, StreamThatEndsInsideAnEventIsNotHandedOverAsComplete) {
  ASSERT_TRUE(configure(make_configuration(1)));
  ScriptedEngine engine([](const ReceivedRequest& seen) -> Script {
    return {standins::send_step(head(seen) + "id: 1\ndata: a\n\nid: 2\nda"), standins::close_step()};
  });
  add_engine("e", "models", engine);
  for (const std::string route : {"stream", "resume"}) {
    const std::string answer = send_stream(route);
    EXPECT_EQ(answer.find("\r\n0\r\n\r\n"), std::string::npos) << answer;
    EXPECT_EQ(answer.find("Content-Length"), std::string::npos) << answer;
  }
}

TEST_F(UnframedStreamTest, StreamThatEndsInsideItsFirstEventIsNotHandedOverAsComplete) {
  ASSERT_TRUE(configure(make_configuration(1)));
  ScriptedEngine engine([](const ReceivedRequest& seen) -> Script {
    return {standins::send_step(head(seen) + "id: 1\nda"), standins::close_step()};
  });
  add_engine("e", "models", engine);
  for (const std::string route : {"stream", "resume"}) {
    EXPECT_EQ(test::status_of(send_stream(route)), "HTTP/1.1 502") << route;
  }
}

}  // namespace
}  // namespace stoat
