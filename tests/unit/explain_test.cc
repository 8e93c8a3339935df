/// stoatctl explain: explanation of a request from log lines.
#include "src/ctl/explain.h"

#include <gtest/gtest.h>

#include <sstream>

#include "src/events/fleet_events.h"
#include "src/events/request_events.h"

namespace stoat::ctl {
namespace {

template <typename Event>
std::string event_line(int64_t ms, const std::string& request, const Event& event) {
  LogLine line;
  line.time = LogTime(std::chrono::milliseconds(1780000000000 + ms));
  line.component_name = "router";
  line.log_message = Event::kMessage;
  line.fields = event.fields();
  if (!request.empty()) {
    line.fields.insert(line.fields.begin(), LogField("request", request));
  }
  return to_text(line) + "\n";
}

std::vector<LocatedLine> read_lines(const std::string& text, const std::string& file = "r1.log") {
  std::istringstream input(text);
  std::vector<LocatedLine> lines;
  Findings findings;
  read_log(input, file, lines, findings);
  EXPECT_TRUE(findings.empty()) << findings.to_text();
  return lines;
}

events::RequestEnded ended_event(const std::string& outcome, int status) {
  events::RequestEnded event;
  event.outcome = outcome;
  event.status = status;
  return event;
}

TEST(Explain, ExplainsARefusalWhileBackendsExist) {
  const auto lines = read_lines(event_line(100, "q1", events::RequestWaitingForBackend{3, 1, 2}) +
                                event_line(0, "q1", events::RequestAccepted{"r", "s", "t", 4, 500, 10}) +
                                event_line(200, "q1", ended_event("no back end", 503)) +
                                event_line(50, "q2", ended_event("no back end", 503)));
  const Explanation result = explain("q1", lines);
  ASSERT_EQ(result.request_lines.size(), 3U);
  // Ordered by time, not by position in the log.
  EXPECT_EQ(result.request_lines.front().line.log_message, "request accepted");
  EXPECT_NE(result.summary.find("no back end, status 503"), std::string::npos) << result.summary;
  EXPECT_NE(result.summary.find("of 3 back ends, 1 had it already and 2 load weights"), std::string::npos);
}

TEST(Explain, ExplainsABrokenStream) {
  const auto lines =
      read_lines(event_line(0, "q1", events::ExchangeFailed{"e1", "broken off", true, true}) +
                 event_line(1, "q1", events::RequestNotRetried{"may have run, and must not run twice"}) +
                 event_line(2, "q1", events::KvCacheCopyNotUsed{"e1", "weights changed", 2}) +
                 event_line(3, "q1", ended_event("the engine broke off", 0)));
  const std::string text = explain("q1", lines).summary;
  EXPECT_NE(text.find("the exchange with e1 failed: broken off, in the middle of the stream"),
            std::string::npos);
  EXPECT_NE(text.find("weights changed"), std::string::npos);
  EXPECT_NE(text.find("the connection was closed"), std::string::npos);
}

TEST(Explain, IncludesFleetEventsOfTheBackendsThatTheRequestUsed) {
  const auto lines = read_lines(event_line(-500, "", events::BackendChanged{"e1", "s", "a", "loading", 1}) +
                                event_line(-400, "", events::BackendChanged{"e9", "s", "a", "loading", 1}) +
                                event_line(-300, "", events::KeyLeaseChanged{false, -10}) +
                                event_line(-9000, "", events::KeyLeaseChanged{true, 10}) +
                                event_line(0, "q1", events::RequestNotRun{"e1", 503}) +
                                event_line(5, "q1", ended_event("refused by back ends", 503)));
  const Explanation result = explain("q1", lines);
  ASSERT_EQ(result.related_events.size(), 2U);
  EXPECT_EQ(result.related_events[0].line.field("backend"), "e1");
  EXPECT_EQ(result.related_events[1].line.log_message, "key lease changed");
}

TEST(Explain, ReportsThatNoLineNamesTheRequest) {
  EXPECT_NE(explain("q1", {}).summary.find("No line names it"), std::string::npos);
}

TEST(Explain, AMalformedLineIsReportedWithItsFileAndLine) {
  std::istringstream input(event_line(0, "q1", ended_event("complete", 200)) + "\nnonsense\n");
  std::vector<LocatedLine> lines;
  Findings findings;
  read_log(input, "r1.log", lines, findings);
  EXPECT_EQ(lines.size(), 1U);
  EXPECT_EQ(findings.to_text(), "r1.log:3: has no time\n");
}

}  // namespace
}  // namespace stoat::ctl
