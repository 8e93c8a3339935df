/// The edge over raw sockets: each framing that two programs could interpret differently is refused, and the
/// bytes after it are never parsed as a request.
#include <gtest/gtest.h>

#include <atomic>
#include <thread>

#include "src/edge/edge_server.h"
#include "tests/support/free_port.h"
#include "tests/support/raw_client.h"

namespace stoat {
namespace {

using test::count_occurrences;
using test::RawClient;

/// Responds to each request with its target and body.
class EchoHandler : public edge::RequestHandler {
 public:
  void on_request(edge::EdgeRequest request, std::shared_ptr<edge::ResponseWriter> response) override {
    ++requests;
    if (request.target == "/hold") {
      pending_response = std::move(response);
      return;
    }
    edge::ResponseHead head;
    response->reply(head, request.method + " " + request.target + " [" + request.body + "]");
  }
  void on_disconnect(const edge::ResponseWriter*, edge::DisconnectReason) override {
    ++disconnects;
    pending_response.reset();
  }
  std::atomic<int> requests{0};
  std::atomic<int> disconnects{0};
  std::shared_ptr<edge::ResponseWriter> pending_response;
};

class EdgeTest : public ::testing::Test {
 protected:
  EdgeTest() {
    server_ = std::make_unique<edge::EdgeServer>(loop_, Endpoint{"127.0.0.1", port_}, handler_);
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
  /// Sends bytes on a new connection and returns everything received until it is closed or idle.
  std::string exchange(const std::string& bytes) {
    RawClient client(port_);
    client.send(bytes);
    return client.read_all(std::chrono::milliseconds(250));
  }
  /// Expects a head to be refused with 400 and nothing behind it to be served.
  void expect_refused(const std::string& bytes) {
    const int before = handler_.requests;
    RawClient client(port_);
    client.send(bytes + "GET /smuggled HTTP/1.1\r\nHost: h\r\n\r\n");
    const std::string response = client.read_all();
    EXPECT_TRUE(client.closed()) << bytes;
    EXPECT_EQ(response.substr(0, 12), "HTTP/1.1 400") << bytes;
    EXPECT_EQ(count_occurrences(response, "\r\nContent-Length: "), 1U) << response;
    EXPECT_EQ(response.find("smuggled"), std::string::npos) << bytes;
    EXPECT_EQ(handler_.requests, before) << bytes;
  }

  EventLoop loop_;
  EchoHandler handler_;
  uint16_t port_ = test::free_port();
  std::unique_ptr<edge::EdgeServer> server_;
  std::thread thread_;
};

TEST_F(EdgeTest, ServesKeepAliveRequestsWithLengthsAndChunks) {
  const std::string responses = exchange(
      "POST /a?b=%20c HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nxyz"
      "POST /d HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n1\r\n!\r\n0\r\n\r\n"
      "GET /e HTTP/1.1\r\nHost: h\r\n\r\n");
  EXPECT_EQ(count_occurrences(responses, "HTTP/1.1 200"), 3U);
  EXPECT_NE(responses.find("POST /a?b=%20c [xyz]"), std::string::npos);
  EXPECT_NE(responses.find("POST /d [hi!]"), std::string::npos);
  EXPECT_NE(responses.find("GET /e []"), std::string::npos);
}

TEST_F(EdgeTest, AcceptsARequestInSmallPieces) {
  RawClient client(port_);
  for (const char byte : std::string("POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nok")) {
    client.send(std::string(1, byte));
  }
  EXPECT_NE(client.read_until("[ok]").find("[ok]"), std::string::npos);
}

TEST_F(EdgeTest, AcceptsHeaderNamesThatArePrefixesOfOthers) {
  const std::string response =
      exchange("GET /a HTTP/1.1\r\nHost: h\r\nH: 1\r\nContent: x\r\nTransfer: y\r\n\r\n");
  EXPECT_EQ(response.substr(0, 12), "HTTP/1.1 200");
}

TEST_F(EdgeTest, RefusesRepeatedContentLength) {
  expect_refused("POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\nContent-Length: 44\r\n\r\n");
}

TEST_F(EdgeTest, RefusesContentLengthWithTransferEncoding) {
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

TEST_F(EdgeTest, RefusesNonPathTargetsAndUnsupportedVersions) {
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

TEST_F(EdgeTest, LimitsHeadAndBodySize) {
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

TEST_F(EdgeTest, TimesOutSlowHeadsAndIdleConnections) {
  RawClient slow(port_);
  slow.send("GET /a HT");
  EXPECT_EQ(slow.read_all(std::chrono::seconds(2)).substr(0, 12), "HTTP/1.1 408");
  RawClient idle(port_);
  EXPECT_EQ(idle.read_all(std::chrono::seconds(2)), "");
  EXPECT_TRUE(idle.closed());
}

TEST_F(EdgeTest, ReportsAClientDisconnect) {
  RawClient client(port_);
  client.send("GET /hold HTTP/1.1\r\nHost: h\r\n\r\n");
  while (handler_.requests == 0) {
    std::this_thread::sleep_for(std::chrono::milliseconds(5));
  }
  client.close();
  for (int attempts = 0; handler_.disconnects == 0 && attempts < 400; ++attempts) {
    std::this_thread::sleep_for(std::chrono::milliseconds(5));
  }
  EXPECT_EQ(handler_.disconnects, 1);
}

TEST_F(EdgeTest, ClosesAfterEachResponseWhileDraining) {
  RawClient client(port_);
  client.send("GET /hold HTTP/1.1\r\nHost: h\r\n\r\n");
  while (handler_.requests == 0) {
    std::this_thread::sleep_for(std::chrono::milliseconds(5));
  }
  // The head is written before draining starts. The connection must still be closed after this response.
  loop_.post([this] {
    handler_.pending_response->start(edge::ResponseHead{});
    server_->start_draining();
    handler_.pending_response->finish();
    handler_.pending_response.reset();
  });
  client.read_all(std::chrono::seconds(2));
  EXPECT_TRUE(client.closed());
}

TEST_F(EdgeTest, AbortedResponseDoesNotLookComplete) {
  RawClient client(port_);
  client.send("GET /hold HTTP/1.1\r\nHost: h\r\n\r\n");
  while (handler_.requests == 0) {
    std::this_thread::sleep_for(std::chrono::milliseconds(5));
  }
  loop_.post([this] {
    handler_.pending_response->start(edge::ResponseHead{});
    handler_.pending_response->send("part");
    handler_.pending_response->abort();
    handler_.pending_response.reset();
  });
  const std::string response = client.read_all(std::chrono::seconds(2));
  EXPECT_TRUE(client.closed());
  EXPECT_EQ(response.find("0\r\n\r\n"), std::string::npos);
  EXPECT_EQ(handler_.disconnects, 0);
}

}  // namespace
}  // namespace stoat
