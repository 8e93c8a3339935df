/// Clients that read their responses slowly or never: the data buffered for them is limited, those that read
/// something are served to the end, and the others are disconnected.
#include <gtest/gtest.h>

#include <atomic>
#include <thread>

#include "src/edge/edge_server.h"
#include "tests/support/eventually.h"
#include "tests/support/free_port.h"
#include "tests/support/raw_client.h"

namespace stoat {
namespace {

using test::eventually;
using test::RawClient;

/// More than the kernel's socket buffers hold.
constexpr size_t kResponseBytes = 24U << 20U;
constexpr size_t kPieceBytes = 8U << 10U;
constexpr size_t kTotalBufferBytes = 4U << 20U;
constexpr Duration kStallTimeout = 400ms;

/// Responds to /long with a stream that pauses when asked to, and to all else at once.
class StreamingHandler : public edge::RequestHandler {
 public:
  explicit StreamingHandler(EventLoop& loop) : loop_(loop) {}
  void on_request(edge::EdgeRequest request, std::shared_ptr<edge::ResponseWriter> response) override {
    if (request.target == "/whole") {
      response->reply({}, std::string(kResponseBytes, 'x'));
      return;
    }
    if (request.target != "/long") {
      response->reply({}, "short");
      return;
    }
    response_ = std::move(response);
    sent_ = 0;
    paused_ = false;
    response_->set_flow_handler([this](bool paused) {
      paused_ = paused;
      if (!paused) {
        loop_.post([this] { pump(); });
      }
    });
    response_->start({});
    pump();
  }
  void on_disconnect(const edge::ResponseWriter*, edge::DisconnectReason disconnect_reason) override {
    stalled += disconnect_reason == edge::DisconnectReason::kStalled ? 1 : 0;
    ++disconnects;
    response_ = nullptr;
  }
  std::atomic<int> disconnects{0};
  std::atomic<int> stalled{0};
  std::atomic<size_t> max_unsent_bytes{0};

 private:
  void pump() {
    const std::string piece(kPieceBytes, 'x');
    while (response_ != nullptr && !paused_ && sent_ < kResponseBytes) {
      sent_ += piece.size();
      response_->send(piece);
      max_unsent_bytes =
          std::max(max_unsent_bytes.load(), response_ == nullptr ? 0 : response_->unsent_bytes());
    }
    if (response_ != nullptr && sent_ >= kResponseBytes) {
      response_->finish();
      response_ = nullptr;
    }
  }
  EventLoop& loop_;
  std::shared_ptr<edge::ResponseWriter> response_;
  size_t sent_ = 0;
  bool paused_ = false;
};

class SlowReadersTest : public testing::Test {
 protected:
  SlowReadersTest() : handler_(loop_) {
    edge::BufferLimits buffer_limits;
    buffer_limits.total_bytes = kTotalBufferBytes;
    buffer_limits.stall_timeout = kStallTimeout;
    server_ =
        std::make_unique<edge::EdgeServer>(loop_, Endpoint{"127.0.0.1", port_}, handler_, buffer_limits);
    thread_ = std::thread([this] { loop_.run(); });
  }
  ~SlowReadersTest() override {
    loop_.post([this] { loop_.stop(); });
    thread_.join();
    server_.reset();
  }
  size_t buffered_bytes() {
    std::atomic<size_t> bytes{SIZE_MAX};
    loop_.post([&] { bytes = server_->buffer_budget().used(); });
    eventually([&] { return bytes != SIZE_MAX; }, 5s);
    return bytes;
  }

  EventLoop loop_;
  StreamingHandler handler_;
  uint16_t port_ = test::free_port();
  std::unique_ptr<edge::EdgeServer> server_;
  std::thread thread_;
};

TEST_F(SlowReadersTest, ClientThatNeverReadsIsDisconnectedAndItsBuffersFreed) {
  RawClient client(port_);
  client.send("GET /long HTTP/1.1\r\nHost: h\r\n\r\n");
  ASSERT_TRUE(eventually([&] { return handler_.stalled == 1; }, 5s));
  EXPECT_LT(handler_.max_unsent_bytes, 100U << 10U);
  EXPECT_EQ(buffered_bytes(), 0U);
}

TEST_F(SlowReadersTest, SlowClientReceivesTheWholeResponse) {
  RawClient client(port_);
  client.send("GET /long HTTP/1.1\r\nHost: h\r\n\r\n");
  size_t received = 0;
  // Each pause is longer than half of the stall timeout.
  for (int pause = 0; pause < 4; ++pause) {
    std::this_thread::sleep_for(std::chrono::milliseconds(250));
    received += client.read_all(std::chrono::milliseconds(50)).size();
    client.discard_input();
  }
  while (!client.closed() && received < kResponseBytes) {
    received += client.read_until("\r\n0\r\n\r\n", std::chrono::milliseconds(200)).size();
    client.discard_input();
  }
  EXPECT_GE(received, kResponseBytes);
  EXPECT_EQ(handler_.disconnects, 0);
  EXPECT_LT(handler_.max_unsent_bytes, 100U << 10U);
}

TEST_F(SlowReadersTest, SlowClientReceivesAllOfItsLastResponse) {
  RawClient client(port_);
  client.send("GET /whole HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
  size_t received = 0;
  // Together, the pauses are longer than a client may read nothing of its last response.
  for (int pause = 0; pause < 6; ++pause) {
    std::this_thread::sleep_for(std::chrono::milliseconds(600));
    received += client.read_all(std::chrono::milliseconds(1)).size();
    client.discard_input();
  }
  received += client.read_all(std::chrono::seconds(10)).size();
  EXPECT_GE(received, kResponseBytes);
}

TEST_F(SlowReadersTest, OthersAreServedBesideManyUnfinishedRequests) {
  std::vector<std::unique_ptr<RawClient>> unfinished;
  for (int count = 0; count < 200; ++count) {
    unfinished.push_back(std::make_unique<RawClient>(port_));
    unfinished.back()->send("POST /short HTTP/1.1\r\nHost: h\r\nContent-Length: 9000\r\n\r\n");
  }
  RawClient other(port_);
  other.send("GET /short HTTP/1.1\r\nHost: h\r\n\r\n");
  EXPECT_NE(other.read_until("short").find("200"), std::string::npos);
}

TEST_F(SlowReadersTest, RequestBeyondTheBufferLimitIsRefusedBeforeItIsRead) {
  RawClient large(port_);
  large.send("POST /short HTTP/1.1\r\nHost: h\r\nContent-Length: 4000000\r\n\r\nbegin");
  const std::string response = large.read_until("\r\n\r\n");
  EXPECT_EQ(response.substr(0, 12), "HTTP/1.1 503");
  EXPECT_NE(response.find("Retry-After"), std::string::npos);
  RawClient small(port_);
  small.send("POST /short HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabc");
  EXPECT_EQ(small.read_until("short").substr(0, 12), "HTTP/1.1 200");
  large.close();
  EXPECT_TRUE(eventually([&] { return buffered_bytes() == 0; }, 5s));
}

}  // namespace
}  // namespace stoat
