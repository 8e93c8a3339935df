/// The log: its format, a reader that stops reading, and which requests are written.
#include <fcntl.h>
#include <gtest/gtest.h>
#include <unistd.h>

#include <chrono>

#include "src/common/log_line.h"
#include "src/common/log_writer.h"
#include "src/events/fleet_events.h"
#include "src/events/request_event_log.h"
#include "src/events/request_events.h"

namespace stoat {
namespace {

LogLine sample() {
  LogLine line;
  line.time = LogTime(std::chrono::milliseconds(1780000000123));
  line.component_name = "router";
  line.log_message = "request ended";
  line.fields = {{"request", "q1"}, {"outcome", "no back end"}, {"status", 503}};
  return line;
}

TEST(LogLine, HasAFixedFormat) {
  EXPECT_EQ(
      to_text(sample()),
      "2026-05-28T20:26:40.123Z INFO [router] request ended request=q1 outcome=\"no back end\" status=503");
}

TEST(LogLine, ParsesBack) {
  LogLine line = sample();
  line.level = LogLevel::kWarning;
  line.fields.emplace_back("odd", "a \"b\" \\ c=d\nnext");
  line.fields.emplace_back("empty", "");
  const auto read = parse_log_line("  34.5 node-1 " + to_text(line));
  ASSERT_TRUE(read.has_value()) << read.error();
  EXPECT_EQ(read->time, line.time);
  EXPECT_EQ(read->level, line.level);
  EXPECT_EQ(read->component_name, line.component_name);
  EXPECT_EQ(read->log_message, line.log_message);
  EXPECT_EQ(read->fields, line.fields);
}

TEST(LogLine, EachTypedEventParsesBack) {
  const auto check = [](const auto& event) {
    LogLine line = sample();
    line.log_message = event.kMessage;
    line.fields = event.fields();
    const auto read = parse_log_line(to_text(line));
    ASSERT_TRUE(read.has_value()) << read.error();
    EXPECT_EQ(read->log_message, event.kMessage);
    EXPECT_EQ(read->fields, line.fields);
  };
  check(events::RequestAccepted{"r", "s", "t", 3, 500, 10});
  check(events::RequestWaitingForBackend{3, 2, 1});
  check(events::RequestSent{});
  check(events::RequestNotRun{"b", 503});
  check(events::ExchangeFailed{"b", "broken off", true, false});
  check(events::RequestNotRetried{"no budget for repeats"});
  check(events::KvCacheCopyNotUsed{"b", "weights changed", 2});
  check(events::RequestEnded{});
  check(events::RequestRejected{503, "no route", 2, -4, "t1"});
  check(events::ConfigurationInForce{1, 2, 3});
  check(events::TargetWeightsChanged{"m", 2, 3});
  check(events::BackendChanged{"b", "s", "a", "silent", 2});
  check(events::KeyLeaseChanged{true, 3});
  check(events::ControlMemberChanged{"a", false, 3});
  check(events::LeaderChanged{"", "b"});
  check(events::KvCacheStoreChanged{"", "b"});
  check(events::RouterChanged{"r", "ready", 3});
  check(events::MembersChanged{3, 1, "a,(b)"});
}

TEST(LogLine, BadLineIsAnError) {
  EXPECT_EQ(parse_log_line("hello").error(), "has no time");
  EXPECT_EQ(parse_log_line("2026-12-02T12:37:17.241Z ").error(), "ends after its time");
  EXPECT_EQ(parse_log_line("2026-12-02T12:37:17.241Z LOUD [a] b").error(), "has an unknown level 'LOUD'");
  EXPECT_EQ(parse_log_line("2026-12-02T12:37:17.241Z INFO router b").error(), "names no [part]");
  EXPECT_EQ(parse_log_line("2026-12-02T12:37:17.241Z INFO [a] b c=\"d").error(), "ends within quotes");
  EXPECT_EQ(parse_log_line("2026-12-02T12:37:17.241Z INFO [a] b c=d e").error(),
            "has words after its first field");
}

/// A pipe that is read only on demand.
class LogWriterTest : public ::testing::Test {
 protected:
  LogWriterTest() { EXPECT_EQ(::pipe(ends_), 0); }
  ~LogWriterTest() override {
    ::close(ends_[0]);
    ::close(ends_[1]);
  }
  std::string read_all() {
    ::fcntl(ends_[0], F_SETFL, O_NONBLOCK);
    std::string text;
    char buffer[4096];
    for (ssize_t count = ::read(ends_[0], buffer, sizeof(buffer)); count > 0;
         count = ::read(ends_[0], buffer, sizeof(buffer))) {
      text.append(buffer, static_cast<size_t>(count));
    }
    return text;
  }
  int ends_[2] = {-1, -1};
};

TEST_F(LogWriterTest, NeverBlocksOnAStoppedReader) {
  constexpr size_t kCapacity = 10000;
  LogWriter writer(ends_[1], kCapacity);
  const std::string line(99, 'x');
  const auto begin = std::chrono::steady_clock::now();
  for (int i = 0; i < 20000; ++i) {  // 2 MB: far more than the pipe and the buffer hold
    writer.write(line);
  }
  EXPECT_LT(std::chrono::steady_clock::now() - begin, std::chrono::seconds(5));
  EXPECT_GT(writer.dropped(), 10000U);
  const uint64_t dropped = writer.dropped();
  std::string text = read_all();
  writer.flush();
  text += read_all();
  // Whole lines, in order, and then the number of lost lines.
  EXPECT_EQ(text.substr(0, 100), line + "\n");
  EXPECT_NE(text.find("lines were lost, the reader was too slow lines=" + std::to_string(dropped)),
            std::string::npos);
}

TEST_F(LogWriterTest, WritesEachLineAtOnceWhileItsReaderKeepsUp) {
  LogWriter writer(ends_[1]);
  writer.write("one");
  writer.write("two");
  EXPECT_EQ(read_all(), "one\ntwo\n");
  EXPECT_EQ(writer.dropped(), 0U);
}

class RequestLogSamplerTest : public ::testing::Test {
 protected:
  static events::RequestLogOptions options() {
    events::RequestLogOptions result;
    result.lines_per_second = 10;
    result.burst_lines = 20;
    result.sample_one_in = 4;
    return result;
  }
  events::RequestLogSampler sampler_{Logger("test"), options()};
};

TEST_F(RequestLogSamplerTest, SamplesTheSameRequestsInAllProcesses) {
  events::RequestLogSampler other{Logger("other"), options()};
  int sampled = 0;
  for (int i = 0; i < 1000; ++i) {
    const std::string id = "q" + std::to_string(i);
    EXPECT_EQ(sampler_.is_sampled(id), other.is_sampled(id));
    sampled += sampler_.is_sampled(id) ? 1 : 0;
  }
  EXPECT_GT(sampled, 180);
  EXPECT_LT(sampled, 320);
}

TEST_F(RequestLogSamplerTest, LimitsTheLinesPerSecond) {
  int taken = 0;
  for (int i = 0; i < 100; ++i) {
    taken += sampler_.reserve_lines(2, "failed", 1s) ? 1 : 0;
  }
  EXPECT_EQ(taken, 10);  // the burst
  for (int i = 0; i < 100; ++i) {
    taken += sampler_.reserve_lines(2, "failed", 2s) ? 1 : 0;
  }
  EXPECT_EQ(taken, 15);  // plus one second's lines
}

TEST(BackendChanges, ReportsAddedRemovedAndChangedBackends) {
  fleet::BackendRecord kept;
  kept.id = "kept";
  fleet::BackendRecord gone = kept;
  gone.id = "gone";
  fleet::BackendRecord fresh = kept;
  fresh.id = "fresh";
  fleet::BackendRecord changed = kept;
  changed.lost = true;
  changed.loading = true;
  changed.state = fleet::BackendState::kDraining;
  changed.models = {{"m", 2}};
  std::vector<events::BackendChanged> changes;
  events::add_backend_changes(&kept, &changed, changes);
  events::add_backend_changes(nullptr, &fresh, changes);
  events::add_backend_changes(&gone, nullptr, changes);
  std::vector<std::string> descriptions;
  descriptions.reserve(changes.size());
  for (const events::BackendChanged& change : changes) {
    descriptions.push_back(change.backend + " " + change.change);
  }
  EXPECT_EQ(descriptions, (std::vector<std::string>{"kept draining", "kept silent", "kept loading",
                                                    "kept weights", "fresh appeared", "gone forgotten"}));
}

}  // namespace
}  // namespace stoat
