/// The edge over raw sockets: each framing that two programs could read in two ways is refused, and what
/// stands after it is never taken as a request.
#include <gtest/gtest.h>

#include <atomic>
#include <thread>

#include "src/edge/edge_server.h"
#include "tests/support/raw_client.h"

namespace stoat {
namespace {

using test::count_occurrences;
using test::RawClient;

/// Answers each request with its target and body.
class EchoHandler : public edge::RequestHandler {
 public:
  void on_request(edge::EdgeRequest request, std::shared_ptr<edge::ResponseWriter> answer) override {
    ++requests;
    if (request.target == "/hold") {
      held = std::move(answer);
      return;
    }
    edge::ResponseHead head;
    answer->reply(head, request.method + " " + request.target + " [" + request.body + "]");
  }
  void on_gone(const edge::ResponseWriter*, edge::CallerEnd) override {
    ++gone;
    held.reset();
  }
  std::atomic<int> requests{0};
  std::atomic<int> gone{0};
  std::shared_ptr<edge::ResponseWriter> held;
};

class EdgeTest : public ::testing::Test {
 protected:
  EdgeTest() {
    for (port_ = 20000 + static_cast<uint16_t>(::getpid() % 20000); server_ == nullptr; ++port_) {
      try {
        server_ = std::make_unique<edge::EdgeServer>(loop_, Endpoint{"127.0.0.1", port_}, handler_);
      } catch (const std::runtime_error&) {
        continue;
      }
    }
    --port_;
    edge::EdgeLimits limits;
    limits.header_bytes = 2000;
    limits.body_bytes = 5000;
    limits.header_timeout = 300ms;
    limits.idle_timeout = 500ms;
    server_->set_limits(limits);
    thread_ = std::thread([this] { loop_.run(); });
  }
  ~EdgeTest() override {
    loop_.post([this] { loop_.stop(); });
    thread_.join();
    server_.reset();
  }
  /// Sends bytes on a new connection and gives all that comes back until it is closed or quiet.
  std::string exchange(const std::string& bytes) {
    RawClient client(port_);
    client.send(bytes);
    return client.read_all(std::chrono::milliseconds(250));
  }
  /// Expects that a head is refused with 400 and that nothing behind it is served.
  void expect_refused(const std::string& bytes) {
    const int before = handler_.requests;
    RawClient client(port_);
    client.send(bytes + "GET /smuggled HTTP/1.1\r\nHost: h\r\n\r\n");
    const std::string answer = client.read_all();
    EXPECT_TRUE(client.closed()) << bytes;
    EXPECT_EQ(answer.substr(0, 12), "HTTP/1.1 400") << bytes;
    EXPECT_EQ(count_occurrences(answer, "\r\nContent-Length: "), 1U) << answer;
    EXPECT_EQ(answer.find("smuggled"), std::string::npos) << bytes;
    EXPECT_EQ(handler_.requests, before) << bytes;
  }

  EventLoop loop_;
  EchoHandler handler_;
  uint16_t port_ = 0;
  std::unique_ptr<edge::EdgeServer> server_;
  std::thread thread_;
};

TEST_F(EdgeTest, ServesKeptConnectionsWithLengthsAndChunks) {
  const std::string answers = exchange(
      "POST /a?b=%20c HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nxyz"
      "POST /d HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n1\r\n!\r\n0\r\n\r\n"
      "GET /e HTTP/1.1\r\nHost: h\r\n\r\n");
  EXPECT_EQ(count_occurrences(answers, "HTTP/1.1 200"), 3U);
  EXPECT_NE(answers.find("POST /a?b=%20c [xyz]"), std::string::npos);
  EXPECT_NE(answers.find("POST /d [hi!]"), std::string::npos);
  EXPECT_NE(answers.find("GET /e []"), std::string::npos);
}

TEST_F(EdgeTest, TakesARequestInSmallPieces) {
  RawClient client(port_);
  for (const char byte : std::string("POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nok")) {
    client.send(std::string(1, byte));
  }
  EXPECT_NE(client.read_until("[ok]").find("[ok]"), std::string::npos);
}

TEST_F(EdgeTest, TakesHeadersWhoseNamesAreTheBeginningOfOthers) {
  const std::string answer =
      exchange("GET /a HTTP/1.1\r\nHost: h\r\nH: 1\r\nContent: x\r\nTransfer: y\r\n\r\n");
  EXPECT_EQ(answer.substr(0, 12), "HTTP/1.1 200");
}

TEST_F(EdgeTest, RefusesTwoLengths) {
  expect_refused("POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\nContent-Length: 44\r\n\r\n");
}

TEST_F(EdgeTest, RefusesLengthBesideEncoding) {
  expect_refused(
      "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n");
}

TEST_F(EdgeTest, RefusesUnknownAndRepeatedEncodings) {
  expect_refused("POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: gzip\r\n\r\n");
  expect_refused("POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n");
  expect_refused(
      "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\nTransfer-Encoding: x\r\n\r\n0\r\n\r\n");
}

TEST_F(EdgeTest, RefusesMalformedLengths) {
  for (const char* length : {"+3", "-1", "3, 3", "0x3", "", "99999999999999999999999"}) {
    expect_refused(std::string("POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: ") + length + "\r\n\r\n");
  }
}

TEST_F(EdgeTest, RefusesSpaceBeforeTheColon) {
  expect_refused("POST /a HTTP/1.1\r\nHost: h\r\nContent-Length : 3\r\n\r\n");
}

TEST_F(EdgeTest, RefusesFoldedHeadersAndBareLineFeeds) {
  expect_refused("GET /a HTTP/1.1\r\nHost: h\r\nX: 1\r\n folded\r\n\r\n");
  expect_refused("GET /a HTTP/1.1\r\nHost: h\nX: 1\r\n\r\n");
  expect_refused("GET /a HTTP/1.1\nHost: h\n\n");
}

TEST_F(EdgeTest, RefusesMissingAndRepeatedHosts) {
  expect_refused("GET /a HTTP/1.1\r\n\r\n");
  expect_refused("GET /a HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n");
}

TEST_F(EdgeTest, RefusesTargetsThatAreNoPathAndOtherVersions) {
  expect_refused("GET http://h/a HTTP/1.1\r\nHost: h\r\n\r\n");
  expect_refused("GET /a b HTTP/1.1\r\nHost: h\r\n\r\n");
  expect_refused("GET /a HTTP/2.0\r\nHost: h\r\n\r\n");
}

TEST_F(EdgeTest, RefusesMalformedChunks) {
  RawClient client(port_);
  client.send("POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n");
  EXPECT_EQ(client.read_all(std::chrono::milliseconds(500)).substr(0, 12), "HTTP/1.1 400");
  EXPECT_EQ(handler_.requests, 0);
}

TEST_F(EdgeTest, BoundsHeadAndBody) {
  EXPECT_EQ(exchange("GET /a HTTP/1.1\r\nHost: h\r\nX: " + std::string(3000, 'x')).substr(0, 12),
            "HTTP/1.1 431");
  EXPECT_EQ(exchange("POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 5001\r\n\r\n").substr(0, 12),
            "HTTP/1.1 413");
  const std::string chunk = "1000\r\n" + std::string(4096, 'x') + "\r\n";
  EXPECT_EQ(exchange("POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk + chunk)
                .substr(0, 12),
            "HTTP/1.1 413");
  EXPECT_EQ(handler_.requests, 0);
}

TEST_F(EdgeTest, EndsSlowHeadsAndIdleConnections) {
  RawClient slow(port_);
  slow.send("GET /a HT");
  EXPECT_EQ(slow.read_all(std::chrono::seconds(2)).substr(0, 12), "HTTP/1.1 408");
  RawClient idle(port_);
  EXPECT_EQ(idle.read_all(std::chrono::seconds(2)), "");
  EXPECT_TRUE(idle.closed());
}

TEST_F(EdgeTest, TellsWhenTheCallerLeaves) {
  RawClient client(port_);
  client.send("GET /hold HTTP/1.1\r\nHost: h\r\n\r\n");
  while (handler_.requests == 0) {
    std::this_thread::sleep_for(std::chrono::milliseconds(5));
  }
  client.close();
  for (int tries = 0; handler_.gone == 0 && tries < 400; ++tries) {
    std::this_thread::sleep_for(std::chrono::milliseconds(5));
  }
  EXPECT_EQ(handler_.gone, 1);
}

TEST_F(EdgeTest, ClosesAfterEachAnswerWhileDraining) {
  RawClient client(port_);
  client.send("GET /hold HTTP/1.1\r\nHost: h\r\n\r\n");
  while (handler_.requests == 0) {
    std::this_thread::sleep_for(std::chrono::milliseconds(5));
  }
  // The answer's head has gone out before the stop: its connection must not be kept all the same.
  loop_.post([this] {
    handler_.held->start(edge::ResponseHead{});
    server_->start_draining();
    handler_.held->finish();
    handler_.held.reset();
  });
  client.read_all(std::chrono::seconds(2));
  EXPECT_TRUE(client.closed());
}

TEST_F(EdgeTest, ABrokenOffAnswerDoesNotLookWhole) {
  RawClient client(port_);
  client.send("GET /hold HTTP/1.1\r\nHost: h\r\n\r\n");
  while (handler_.requests == 0) {
    std::this_thread::sleep_for(std::chrono::milliseconds(5));
  }
  loop_.post([this] {
    handler_.held->start(edge::ResponseHead{});
    handler_.held->send("part");
    handler_.held->abort();
    handler_.held.reset();
  });
  const std::string answer = client.read_all(std::chrono::seconds(2));
  EXPECT_TRUE(client.closed());
  EXPECT_EQ(answer.find("0\r\n\r\n"), std::string::npos);
  EXPECT_EQ(handler_.gone, 0);
}

}  // namespace
}  // namespace stoat
