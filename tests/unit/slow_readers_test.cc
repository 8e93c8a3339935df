/// Callers that take their answers slowly or never: what is held for them is bounded, those that take
/// something are served to the end, and the others are let go.
#include <gtest/gtest.h>

#include <atomic>
#include <thread>

#include "src/edge/edge_server.h"
#include "tests/support/raw_client.h"

namespace stoat {
namespace {

using test::RawClient;

/// More than the system's own buffers of a connection take.
constexpr size_t kAnswerBytes = 24U << 20U;
constexpr size_t kPieceBytes = 8U << 10U;
constexpr size_t kTotalHeld = 4U << 20U;
constexpr Duration kStall = 400ms;

/// Answers /long with a stream that stops while it is told to, all else at once.
class StreamingHandler : public edge::RequestHandler {
 public:
  explicit StreamingHandler(EventLoop& loop) : loop_(loop) {}
  void on_request(edge::EdgeRequest request, std::shared_ptr<edge::ResponseWriter> answer) override {
    if (request.target == "/whole") {
      answer->reply({}, std::string(kAnswerBytes, 'x'));
      return;
    }
    if (request.target != "/long") {
      answer->reply({}, "short");
      return;
    }
    answer_ = std::move(answer);
    sent_ = 0;
    paused_ = false;
    answer_->set_flow_handler([this](bool paused) {
      paused_ = paused;
      if (!paused) {
        loop_.post([this] { pump(); });
      }
    });
    answer_->start({});
    pump();
  }
  void on_gone(const edge::ResponseWriter*, edge::CallerEnd end) override {
    stalled += end == edge::CallerEnd::kStalled ? 1 : 0;
    ++gone;
    answer_ = nullptr;
  }
  std::atomic<int> gone{0};
  std::atomic<int> stalled{0};
  std::atomic<size_t> most_unsent{0};

 private:
  void pump() {
    const std::string piece(kPieceBytes, 'x');
    while (answer_ != nullptr && !paused_ && sent_ < kAnswerBytes) {
      sent_ += piece.size();
      answer_->send(piece);
      most_unsent = std::max(most_unsent.load(), answer_ == nullptr ? 0 : answer_->unsent());
    }
    if (answer_ != nullptr && sent_ >= kAnswerBytes) {
      answer_->finish();
      answer_ = nullptr;
    }
  }
  EventLoop& loop_;
  std::shared_ptr<edge::ResponseWriter> answer_;
  size_t sent_ = 0;
  bool paused_ = false;
};

class SlowReadersTest : public testing::Test {
 protected:
  SlowReadersTest() : handler_(loop_) {
    edge::HoldLimits hold;
    hold.total_bytes = kTotalHeld;
    hold.stall = kStall;
    for (port_ = 24000 + static_cast<uint16_t>(::getpid() % 16000); server_ == nullptr; ++port_) {
      try {
        server_ = std::make_unique<edge::EdgeServer>(loop_, Endpoint{"127.0.0.1", port_}, handler_, hold);
      } catch (const std::runtime_error&) {
        continue;
      }
    }
    --port_;
    thread_ = std::thread([this] { loop_.run(); });
  }
  ~SlowReadersTest() override {
    loop_.post([this] { loop_.stop(); });
    thread_.join();
    server_.reset();
  }
  bool eventually(const std::function<bool()>& holds) const {
    for (int step = 0; step < 500 && !holds(); ++step) {
      std::this_thread::sleep_for(std::chrono::milliseconds(10));
    }
    return holds();
  }
  size_t held() {
    std::atomic<size_t> bytes{SIZE_MAX};
    loop_.post([&] { bytes = server_->held().used(); });
    eventually([&] { return bytes != SIZE_MAX; });
    return bytes;
  }

  EventLoop loop_;
  StreamingHandler handler_;
  uint16_t port_ = 0;
  std::unique_ptr<edge::EdgeServer> server_;
  std::thread thread_;
};

TEST_F(SlowReadersTest, ACallerThatNeverReadsIsLetGoAndNothingStaysHeld) {
  RawClient client(port_);
  client.send("GET /long HTTP/1.1\r\nHost: h\r\n\r\n");
  ASSERT_TRUE(eventually([&] { return handler_.stalled == 1; }));
  EXPECT_LT(handler_.most_unsent, 100U << 10U);
  EXPECT_EQ(held(), 0U);
}

TEST_F(SlowReadersTest, ACallerThatReadsSlowlyGetsTheWholeAnswer) {
  RawClient client(port_);
  client.send("GET /long HTTP/1.1\r\nHost: h\r\n\r\n");
  size_t received = 0;
  // Nothing is read for longer than half of the time after which a caller is let go, again and again.
  for (int rest = 0; rest < 4; ++rest) {
    std::this_thread::sleep_for(std::chrono::milliseconds(250));
    received += client.read_all(std::chrono::milliseconds(50)).size();
    client.discard_input();
  }
  while (!client.closed() && received < kAnswerBytes) {
    received += client.read_until("\r\n0\r\n\r\n", std::chrono::milliseconds(200)).size();
    client.discard_input();
  }
  EXPECT_GE(received, kAnswerBytes);
  EXPECT_EQ(handler_.gone, 0);
  EXPECT_LT(handler_.most_unsent, 100U << 10U);
}

TEST_F(SlowReadersTest, ACallerThatTakesItsLastAnswerSlowlyGetsAllOfIt) {
  RawClient client(port_);
  client.send("GET /whole HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
  size_t received = 0;
  // Together longer than a caller may take nothing.
  for (int rest = 0; rest < 6; ++rest) {
    std::this_thread::sleep_for(std::chrono::milliseconds(600));
    received += client.read_all(std::chrono::milliseconds(1)).size();
    client.discard_input();
  }
  received += client.read_all(std::chrono::seconds(10)).size();
  EXPECT_GE(received, kAnswerBytes);
}

TEST_F(SlowReadersTest, OthersAreServedBesideManyWhoNeverFinishTheirRequests) {
  std::vector<std::unique_ptr<RawClient>> readers;
  for (int count = 0; count < 200; ++count) {
    readers.push_back(std::make_unique<RawClient>(port_));
    readers.back()->send("POST /short HTTP/1.1\r\nHost: h\r\nContent-Length: 9000\r\n\r\n");
  }
  RawClient other(port_);
  other.send("GET /short HTTP/1.1\r\nHost: h\r\n\r\n");
  EXPECT_NE(other.read_until("short").find("200"), std::string::npos);
}

TEST_F(SlowReadersTest, ARequestForWhichThereIsNoRoomIsRefusedBeforeItIsRead) {
  RawClient large(port_);
  large.send("POST /short HTTP/1.1\r\nHost: h\r\nContent-Length: 4000000\r\n\r\nbegin");
  const std::string answer = large.read_until("\r\n\r\n");
  EXPECT_EQ(answer.substr(0, 12), "HTTP/1.1 503");
  EXPECT_NE(answer.find("Retry-After"), std::string::npos);
  RawClient small(port_);
  small.send("POST /short HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabc");
  EXPECT_EQ(small.read_until("short").substr(0, 12), "HTTP/1.1 200");
  large.close();
  EXPECT_TRUE(eventually([&] { return held() == 0; }));
}

}  // namespace
}  // namespace stoat
