/// Broken answers to calls of http::Client, with which members, tools and stoatctl call others.
#include <gtest/gtest.h>

#include <array>

#include "src/http/blocking.h"
#include "standins/scripted_engine.h"
#include "tests/support/malformed_heads.h"

namespace stoat {
namespace {

using standins::ReadBeforeScript;
using standins::ReceivedRequest;
using standins::Script;
using standins::ScriptedEngine;
using std::chrono::milliseconds;

/// Sends a request to an engine with this script.
http::ClientResult call(const Script& script, ReadBeforeScript reads, size_t body_bytes) {
  ScriptedEngine engine([&](const ReceivedRequest&) { return script; }, reads);
  http::ClientRequest request;
  EXPECT_TRUE(parse_endpoint(engine.address(), request.endpoint));
  request.method = "POST";
  request.body = std::string(body_bytes, 'u');
  request.timeout = 3s;
  return http::fetch(request);
}

TEST(HttpClientTest, PartOfABodyCutByAResetIsNotComplete) {
  constexpr std::array<size_t, 3> kUploadBytes = {0, 64U << 10U, 4U << 20U};
  constexpr std::array<milliseconds, 3> kDelays = {milliseconds(0), milliseconds(20), milliseconds(300)};
  for (const ReadBeforeScript reads : {ReadBeforeScript::kHead, ReadBeforeScript::kWholeRequest}) {
    for (const size_t bytes : kUploadBytes) {
      for (const milliseconds delay : kDelays) {
        const Script script = {standins::send_step("HTTP/1.1 200 OK\r\n\r\npart"), standins::wait_step(delay),
                               standins::reset_step()};
        EXPECT_EQ(call(script, reads, bytes).status, 0) << bytes << " bytes, " << delay.count() << " ms";
      }
    }
  }
}

TEST(HttpClientTest, BytesThatCannotBecomeAnAnswerAreWaitedOn) {
  for (const std::string bytes : {"h", "HTTP/2", "SSH-2.0-server"}) {
    const auto begin = std::chrono::steady_clock::now();
    EXPECT_EQ(call({standins::send_step(bytes)}, ReadBeforeScript::kWholeRequest, 0).status, 0) << bytes;
    EXPECT_LT(std::chrono::steady_clock::now() - begin, milliseconds(500)) << bytes;
  }
}

TEST(HttpClientTest, AnswerWithAMalformedHeadIsNotTakenForAnAnswer) {
  for (const test::MalformedHead& malformed : test::malformed_heads("")) {
    const auto begin = std::chrono::steady_clock::now();
    const http::ClientResult result =
        call({standins::send_step(malformed.head + "\r\nbody")}, ReadBeforeScript::kWholeRequest, 0);
    EXPECT_EQ(result.status, 0) << malformed.fault << ": " << result.body;
    EXPECT_FALSE(result.not_sent) << malformed.fault;
    EXPECT_LT(std::chrono::steady_clock::now() - begin, milliseconds(500)) << malformed.fault;
  }
}

}  // namespace
}  // namespace stoat
