// Calls of control members to engines that send without end.
#include "src/control/engine_client.h"

#include <gtest/gtest.h>

#include "standins/scripted_engine.h"

namespace stoat {
namespace {

using standins::ReceivedRequest;
using standins::Script;
using standins::ScriptedEngine;

constexpr size_t kBlockBytes = 64U << 10U;
constexpr Duration kGivenUpWithin = 4s;
/// The limit of a body, and what buffers of the kernel hold.
constexpr size_t kMaxReadBytes = 16U << 20U;

std::string repeated(const std::string& text) {
  std::string block;
  while (block.size() < kBlockBytes) {
    block += text;
  }
  return block;
}

class EndlessEngineTest : public ::testing::Test {
 protected:
  /// Polls the cache events of an engine with this script. Returns how long the call took.
  Duration poll(const Script& script) {
    ScriptedEngine engine([&](const ReceivedRequest&) { return script; });
    EventLoop loop;
    const control::FleetHttpInterface names;
    Duration taken{0};
    {
      control::EngineClient client(loop, names);
      const TimePoint begin = loop.now();
      client.poll_cache_events(engine.address(), 0, [&](const control::CacheEvents* events) {
        EXPECT_EQ(events, nullptr);
        taken = loop.now() - begin;
        loop.after(100ms, [&] { loop.stop(); });
      });
      loop.after(2 * kGivenUpWithin, [&] { loop.stop(); });
      loop.run();
    }
    EXPECT_GT(taken, 0ms) << "no end";
    EXPECT_LT(engine.repeated_bytes(), kMaxReadBytes);
    return taken;
  }
};

// A member read such an answer for ever, with all of it in memory.
TEST_F(EndlessEngineTest, CallEndsWhateverTheEngineSends) {
  const std::string head = "HTTP/1.1 200 OK\r\n";
  const std::vector<std::pair<std::string, std::string>> answers = {
      {head, "X-Filler: a\r\n"},                                    // a head
      {"", "x"},                                                    // no answer
      {"", "HTTP/1.1 100 Continue\r\n\r\n"},                        // interim answers
      {head + "\r\n", "x"},                                         // a body that ends with the connection
      {head + "Transfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n"},  // chunks
      {head + "Transfer-Encoding: chunked\r\n\r\n", "1"},           // the size of a chunk
      {head + "Content-Length: 99999999999\r\n\r\n", "x"},          // a long body
  };
  for (const auto& [begin, rest] : answers) {
    EXPECT_LT(poll({standins::send_step(begin), standins::repeat_step(repeated(rest))}), kGivenUpWithin)
        << begin << rest;
  }
}

// Each byte came in time, so that the limit for inactivity never ended the call.
TEST_F(EndlessEngineTest, CallEndsThoughByteAfterByteArrives) {
  Script script = {standins::send_step("HTTP/1.1 200 OK\r\n\r\n")};
  for (int count = 0; count < 60; ++count) {
    script.push_back(standins::send_step("x"));
    script.push_back(standins::wait_step(std::chrono::milliseconds(100)));
  }
  EXPECT_LT(poll(script), kGivenUpWithin);
}

}  // namespace
}  // namespace stoat
