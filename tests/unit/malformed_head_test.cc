/// Answers whose head is not one of HTTP/1.1 are not passed on, and callers need not wait for their deadline.
#include "tests/support/malformed_heads.h"
#include "tests/support/small_fleet.h"

namespace stoat {
namespace {

using standins::ReceivedRequest;
using standins::Script;
using standins::ScriptedEngine;
using Clock = std::chrono::steady_clock;

class MalformedHeadTest : public test::SmallFleet {
 protected:
  static constexpr std::chrono::milliseconds kFailsWithin{500};
  static constexpr std::string_view kIdPrefix = "malformed-";  ///< of the id of a request; a number follows

  /// Sends a request for each malformed head, which an engine of the service answers with that head and
  /// `body`.
  void expect_none_passed_on(const std::string& service, const std::string& path, const std::string& body) {
    ASSERT_TRUE(configure(make_configuration(1)));
    ScriptedEngine engine([&](const ReceivedRequest& seen) -> Script {
      const std::string id = seen.header("X-Request-Id");
      const size_t number = id.empty() ? 0 : std::stoul(id.substr(kIdPrefix.size()));  // none: a health check
      return {
          standins::send_step(test::malformed_heads(engine_headers_for(id))[number].head + "\r\n" + body)};
    });
    add_engine("e", service, engine);
    const std::vector<test::MalformedHead> heads = test::malformed_heads("");
    for (size_t number = 0; number < heads.size(); ++number) {
      const test::MalformedHead& malformed = heads[number];
      const std::string id = std::string(kIdPrefix) + std::to_string(number);
      const auto begin = Clock::now();
      const std::string answer = send_request(
          "GET", path, id, "X-Model: m\r\nX-Token-Counts: 20,10\r\nX-Prompt-Parts: a:10,b:10\r\n");
      EXPECT_EQ(test::status_of(answer), "HTTP/1.1 502") << malformed.fault << ": " << answer;
      EXPECT_LT(Clock::now() - begin, kFailsWithin) << malformed.fault;
    }
  }
};

TEST_F(MalformedHeadTest, AnswerIsNotPassedOn) { expect_none_passed_on("calls", "/once/", "body"); }

TEST_F(MalformedHeadTest, StreamIsNotPassedOn) { expect_none_passed_on("models", "/stream/", ":a\n\n"); }

/// Feeds a head one byte after the other. Returns the fault that was found.
http1::HeadFault check_bytewise(const std::string& head, http1::HeadChecker checker) {
  for (const char byte : head) {
    checker.feed(std::string_view(&byte, 1));
  }
  EXPECT_NE(checker.complete(), checker.fault() != http1::HeadFault::kNone) << head;
  return checker.fault();
}

TEST(HeadCheckerTest, FaultIsMissedWhenBytesArriveOneByOne) {
  for (const test::MalformedHead& malformed : test::malformed_heads("X-A: 1\r\n")) {
    EXPECT_NE(check_bytewise(malformed.head + "\r\n", http1::HeadChecker(http1::MessageKind::kResponse)),
              http1::HeadFault::kNone)
        << malformed.fault;
  }
}

TEST(HeadCheckerTest, SoundHeadIsRejected) {
  for (const std::string head :
       {"HTTP/1.1 200 OK\r\n\r\n", "HTTP/1.0 204\r\n\r\n", "HTTP/1.1 599 \r\nX-A:\r\n\r\n",
        "HTTP/1.1 200 gr\xc3\xbc\xc3\x9f\tOK\r\nX-A: \xc3\xbc\tb\r\nContent-Length:  4 \r\n\r\n",
        "HTTP/1.1 200 OK\r\nX!#$%&'*+-.^_`|~9: 1\r\ntransfer-encoding: Chunked\r\n\r\n"}) {
    EXPECT_EQ(check_bytewise(head, http1::HeadChecker(http1::MessageKind::kResponse)),
              http1::HeadFault::kNone)
        << head;
  }
}

}  // namespace
}  // namespace stoat
