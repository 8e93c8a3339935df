/// stoatctl explain: from log lines to the story of a request.
#include "src/ctl/explain.h"

#include <gtest/gtest.h>

#include <sstream>

#include "src/events/fleet_events.h"
#include "src/events/request_events.h"

namespace stoat::ctl {
namespace {

template <typename Event>
std::string line_of(int64_t ms, const std::string& request, const Event& event) {
  LogLine line;
  line.time = LogTime(std::chrono::milliseconds(1780000000000 + ms));
  line.part = "router";
  line.log_message = Event::kMessage;
  line.fields = event.fields();
  if (!request.empty()) {
    line.fields.insert(line.fields.begin(), LogField("request", request));
  }
  return to_text(line) + "\n";
}

std::vector<PlacedLine> read(const std::string& text, const std::string& file = "r1.log") {
  std::istringstream input(text);
  std::vector<PlacedLine> lines;
  Findings findings;
  read_log(input, file, lines, findings);
  EXPECT_TRUE(findings.empty()) << findings.to_text();
  return lines;
}

events::RequestEnded ended(const std::string& outcome, int status) {
  events::RequestEnded event;
  event.outcome = outcome;
  event.status = status;
  return event;
}

TEST(Explain, TellsWhyARequestWasRefusedWhileBackEndsWereThere) {
  const auto lines =
      read(line_of(100, "q1", events::RequestWaitingForBackend{3, 1, 2}) +
           line_of(0, "q1", events::RequestAccepted{"r", "s", "t", 4, 500, 10}) +
           line_of(200, "q1", ended("no back end", 503)) + line_of(50, "q2", ended("no back end", 503)));
  const Explanation result = explain("q1", lines);
  ASSERT_EQ(result.request.size(), 3U);
  EXPECT_EQ(result.request.front().line.log_message, "request accepted");  // by time, not by place
  EXPECT_NE(result.conclusion.find("no back end, status 503"), std::string::npos) << result.conclusion;
  EXPECT_NE(result.conclusion.find("of 3 back ends, 1 had it already and 2 load weights"), std::string::npos);
}

TEST(Explain, TellsWhyAStreamBroke) {
  const auto lines =
      read(line_of(0, "q1", events::ExchangeFailed{"e1", "broken off", true, true}) +
           line_of(1, "q1", events::RequestNotRetried{"may have run, and must not run twice"}) +
           line_of(2, "q1", events::KvCacheCopyNotUsed{"e1", "weights changed", 2}) +
           line_of(3, "q1", ended("the engine broke off", 0)));
  const std::string text = explain("q1", lines).conclusion;
  EXPECT_NE(text.find("the exchange with e1 failed: broken off, in the middle of the stream"),
            std::string::npos);
  EXPECT_NE(text.find("weights changed"), std::string::npos);
  EXPECT_NE(text.find("the connection was closed"), std::string::npos);
}

TEST(Explain, ShowsWhatChangedAroundItForTheBackEndsThatItMet) {
  const auto lines = read(line_of(-500, "", events::BackendChanged{"e1", "s", "a", "loading", 1}) +
                          line_of(-400, "", events::BackendChanged{"e9", "s", "a", "loading", 1}) +
                          line_of(-300, "", events::KeyLeaseChanged{false, -10}) +
                          line_of(-9000, "", events::KeyLeaseChanged{true, 10}) +
                          line_of(0, "q1", events::RequestNotRun{"e1", 503}) +
                          line_of(5, "q1", ended("refused by back ends", 503)));
  const Explanation result = explain("q1", lines);
  ASSERT_EQ(result.around.size(), 2U);
  EXPECT_EQ(result.around[0].line.field("backend"), "e1");
  EXPECT_EQ(result.around[1].line.log_message, "key lease changed");
}

TEST(Explain, SaysWhenTheLogsKnowNothing) {
  EXPECT_NE(explain("q1", {}).conclusion.find("No line names it"), std::string::npos);
}

TEST(Explain, ABadLineIsTellingItsFileAndLine) {
  std::istringstream input(line_of(0, "q1", ended("complete", 200)) + "\nnonsense\n");
  std::vector<PlacedLine> lines;
  Findings findings;
  read_log(input, "r1.log", lines, findings);
  EXPECT_EQ(lines.size(), 1U);
  EXPECT_EQ(findings.to_text(), "r1.log:3: has no time\n");
}

}  // namespace
}  // namespace stoat::ctl
