/// Answers without a length that are cut by a reset are not handed over as complete.
#include <array>

#include "tests/support/eventually.h"
#include "tests/support/small_fleet.h"

namespace stoat {
namespace {

using standins::ReadBeforeScript;
using standins::ReceivedRequest;
using standins::Script;
using standins::ScriptedEngine;
using std::chrono::milliseconds;

constexpr size_t kKilobyte = 1024;

class ResetAnswerTest : public test::SmallFleet {
 protected:
  static constexpr std::array<size_t, 4> kUploadBytes = {64 * kKilobyte, 256 * kKilobyte, 1024 * kKilobyte,
                                                         4096 * kKilobyte};
  static constexpr std::array<milliseconds, 4> kResetDelays = {milliseconds(0), milliseconds(5),
                                                               milliseconds(50), milliseconds(300)};
  /// Which exchange of its connection to the engine an upload is.
  enum class Exchange : uint8_t { kFirst, kLater };

  /// Answers uploads at once with an unframed 200, sends one event of its body and resets the connection.
  /// Other requests get a whole answer, after which their connections are used again.
  Script answer_and_reset(const ReceivedRequest& seen) const {
    const std::string event = "id: 1\ndata: a\n\n";
    if (!seen.head.starts_with("POST")) {
      return test::succeed(seen, event);
    }
    return {standins::send_step("HTTP/1.1 200 OK\r\n" + test::engine_headers(seen) + "\r\n" + event),
            standins::wait_step(reset_delay_.load()), standins::reset_step()};
  }
  std::string send(uint16_t port, const std::string& method, const std::string& path, size_t body_bytes) {
    test::RawClient client(port);
    client.send(request(method, path, "reset-" + std::to_string(++requests_),
                        "X-Model: m\r\nX-Token-Counts: 20,10\r\nX-Prompt-Parts: a:10,b:10\r\nConnection: "
                        "close\r\nContent-Length: " +
                            std::to_string(body_bytes) + "\r\n") +
                std::string(body_bytes, 'u'));
    return client.read_all();
  }
  static bool looks_complete(const std::string& answer) {
    return answer.find("\r\n0\r\n\r\n") != std::string::npos ||
           (test::status_of(answer) == "HTTP/1.1 200" && answer.find("Content-Length") != std::string::npos);
  }
  /// Uploads bodies of all sizes, each cut after every delay, and expects no answer to look complete.
  void expect_none_complete(uint16_t port, const std::string& path, Exchange exchange) {
    const size_t uploads_before = test::count_posts(engine_);
    for (const size_t bytes : kUploadBytes) {
      for (const milliseconds delay : kResetDelays) {
        reset_delay_ = delay;
        if (exchange == Exchange::kLater) {
          EXPECT_TRUE(looks_complete(send(port, "GET", path, 0)));
        }
        const std::string answer = send(port, "POST", path, bytes);
        EXPECT_FALSE(looks_complete(answer))
            << path << ", " << bytes << " bytes, " << delay.count() << " ms: " << answer;
      }
    }
    EXPECT_EQ(test::count_posts(engine_) - uploads_before, kUploadBytes.size() * kResetDelays.size());
  }

  std::atomic<milliseconds> reset_delay_{milliseconds(0)};
  int requests_ = 0;
  ScriptedEngine engine_{[this](const ReceivedRequest& seen) { return answer_and_reset(seen); },
                         ReadBeforeScript::kHead};
};

TEST_F(ResetAnswerTest, PartOfABodyCutDuringTheUploadIsNotHandedOverAsComplete) {
  ASSERT_TRUE(configure(make_configuration(1)));
  add_engine("e", "calls", engine_);
  expect_none_complete(router_port_, "/once/", Exchange::kFirst);
  expect_none_complete(router_port_, "/once/", Exchange::kLater);
}

TEST_F(ResetAnswerTest, EventsCutDuringTheUploadAreNotHandedOverAsAWholeStream) {
  ASSERT_TRUE(configure(make_configuration(1)));
  add_engine("e", "models", engine_);
  expect_none_complete(router_port_, "/stream/", Exchange::kFirst);
  expect_none_complete(router_port_, "/stream/", Exchange::kLater);
}

// The relaying router told the other one that the engine had closed its connection.
TEST_F(ResetAnswerTest, PartOfARelayedBodyIsNotHandedOverAsComplete) {
  ASSERT_TRUE(configure(make_configuration(1)));
  Endpoint closed_port{"127.0.0.1", test::free_port()};
  router_settings_.connect_to_backend = [closed_port](const Endpoint&) -> Endpoint { return closed_port; };
  const uint16_t cut_off_port = add_router();
  add_engine("e", "calls", engine_);
  ASSERT_TRUE(test::eventually([&] { return looks_complete(send(cut_off_port, "GET", "/safe/", 0)); }, 5s))
      << "no connection was relayed";
  expect_none_complete(cut_off_port, "/once/", Exchange::kFirst);
  expect_none_complete(cut_off_port, "/once/", Exchange::kLater);
}

}  // namespace
}  // namespace stoat
