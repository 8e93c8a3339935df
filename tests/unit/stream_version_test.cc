/// Streams of a service whose backends have several software versions, without any rollout.
#include <vector>

#include "tests/support/eventually.h"
#include "tests/support/router_thread.h"
#include "tests/support/small_fleet.h"

namespace stoat {
namespace {

using standins::ReceivedRequest;
using standins::Script;
using standins::ScriptedEngine;
using std::chrono::milliseconds;
using test::RawClient;
using test::status_of;

/// Four engines, two of each software version. Each event names the version that made it. A stream has two
/// events; a run that begins anew breaks off after the first one.
class StreamVersionTest : public test::SmallFleet {
 protected:
  static constexpr size_t kEnginesPerVersion = 2;
  static constexpr size_t kStreams = 24;
  static constexpr milliseconds kPause{60};

  void SetUp() override {
    ASSERT_TRUE(configure(make_configuration(1)));
    second_port_ = add_router();
  }
  /// Has the engines of a version leave, and waits until the routers know.
  void remove_engines(const std::string& version) {
    for (size_t number = 0; number < kEnginesPerVersion; ++number) {
      const std::string id = version + "-" + std::to_string(number);
      test::run_on(control_loop_, [&] {
        control_->commit(fleet::RetireBackend{id, fleet::BackendState::kGone}, [](bool) {});
        return true;
      });
    }
    std::this_thread::sleep_for(milliseconds(300));
  }
  void add_engines(const std::string& version) {
    for (size_t number = 0; number < kEnginesPerVersion; ++number) {
      const auto run = [this, version](const ReceivedRequest& seen) { return run_stream(seen, version); };
      engines_.push_back(std::make_unique<ScriptedEngine>(run));
      add_engine(version + "-" + std::to_string(number), "models", *engines_.back(), 1, version);
    }
    const auto known_everywhere = [&] {
      return additional_routers_.back()->knows_backend(version + "-" +
                                                       std::to_string(kEnginesPerVersion - 1));
    };
    ASSERT_TRUE(wait_for(known_everywhere));
  }
  /// Ends the router that was started here before, starts it anew, and returns its port once it is ready and
  /// knows the back end.
  uint16_t restart_router(const std::string& backend) {
    restarted_router_.reset();
    restarted_router_ = std::make_unique<test::RouterThread>(
        [this](EventLoop& loop) { return make_router("restarted", loop); });
    EXPECT_TRUE(test::eventually([&] { return restarted_router_->serves(backend); }));
    return router_settings_.listen.port;
  }
  static std::string event(int id, const std::string& version) {
    return "id: " + std::to_string(id) + "\ndata: " + version + "\n\n";
  }
  Script run_stream(const ReceivedRequest& seen, const std::string& version) const {
    const std::string headers = test::engine_headers(seen) + "Content-Type: text/event-stream\r\n";
    if (!seen.header("Last-Event-Id").empty()) {
      return {standins::send_step(standins::full_response(200, headers, event(2, version)))};
    }
    const std::string body = event(1, version) + event(2, version);
    return {standins::send_step("HTTP/1.1 200 OK\r\n" + headers + "Content-Length: " +
                                std::to_string(body.size()) + "\r\n\r\n" + event(1, version)),
            standins::wait_step(kPause), standins::reset_step()};
  }
  /// Begins a stream at a router, and returns what the caller got up to the first event.
  std::string begin(uint16_t port, const std::string& id) {
    RawClient caller(port);
    caller.send(request("POST", "/resume/", id, "Content-Length: 0\r\nConnection: close\r\n"));
    return caller.read_until("\n\n", milliseconds(1000));
  }
  /// Resumes a stream after its first event, as a caller whose connection broke.
  std::string resume(uint16_t port, const std::string& id, const std::string& first_attempt) {
    RawClient caller(port);
    const std::string resumes = first_attempt.empty() ? "" : "X-Resumes: " + first_attempt + "\r\n";
    caller.send(request("POST", "/resume/", id,
                        "Content-Length: 0\r\nConnection: close\r\nLast-Event-Id: 1\r\n" + resumes));
    return caller.read_all();
  }
  static std::string version_in(const std::string& answer) {
    const size_t data = answer.find("data: ");
    return data == std::string::npos ? "" : answer.substr(data + 6, 2);
  }
  static bool is_mixed(const std::string& answers) {
    return answers.find("data: v1") != std::string::npos && answers.find("data: v2") != std::string::npos;
  }
  /// Streams that a caller took up, by how they ended.
  struct Resumed {
    size_t mixed = 0;
    size_t went_on = 0;
  };
  /// Begins streams at `from`, and has callers resume each of them at `to`.
  Resumed resume_streams(uint16_t from, uint16_t to, const std::string& name) {
    Resumed resumed;
    for (size_t number = 0; number < kStreams; ++number) {
      const std::string id = name + std::to_string(number);
      const std::string first = begin(from, id);
      const std::string rest = resume(to, id + "-again", id);
      resumed.mixed += is_mixed(first + rest) ? 1 : 0;
      resumed.went_on += version_in(first) == version_in(rest) && !version_in(first).empty() ? 1 : 0;
    }
    return resumed;
  }

  uint16_t second_port_ = 0;
  std::vector<std::unique_ptr<ScriptedEngine>> engines_;
  std::unique_ptr<test::RouterThread> restarted_router_;
};

// Streams went on at another version within one answer while no rollout was ordered.
TEST_F(StreamVersionTest, StreamsMixVersionsWithinOneAnswer) {
  add_engines("v1");
  add_engines("v2");
  size_t mixed = 0;
  size_t whole = 0;
  for (size_t number = 0; number < kStreams; ++number) {
    RawClient caller(router_port_);
    caller.send(request("POST", "/resume/", "answer" + std::to_string(number),
                        "Content-Length: 0\r\nConnection: close\r\n"));
    const std::string answer = caller.read_all();
    mixed += is_mixed(answer) ? 1 : 0;
    whole += test::count_occurrences(answer, "data: ") == 2 ? 1 : 0;
  }
  EXPECT_EQ(mixed, 0U);
  EXPECT_EQ(whole, kStreams);
}

// Streams that callers resumed at another router went on at another version.
TEST_F(StreamVersionTest, StreamsMixVersionsAtAnotherRouter) {
  add_engines("v1");
  add_engines("v2");
  const Resumed resumed = resume_streams(router_port_, second_port_, "router");
  EXPECT_EQ(resumed.mixed, 0U);
  EXPECT_EQ(resumed.went_on, kStreams);
}

// Streams whose version nobody knows were joined with what another version wrote.
TEST_F(StreamVersionTest, StreamOfUnknownVersionIsRefusedAtOnce) {
  add_engines("v1");
  add_engines("v2");
  const auto started = std::chrono::steady_clock::now();
  EXPECT_EQ(status_of(resume(second_port_, "unknown-1", "never-seen")), "HTTP/1.1 503");
  EXPECT_EQ(status_of(resume(second_port_, "unknown-2", "")), "HTTP/1.1 503");
  EXPECT_LT(std::chrono::steady_clock::now() - started, milliseconds(500));
}

// A service with a single version needs no record: its streams go on at any router.
TEST_F(StreamVersionTest, OnlyVersionServesStreamsWithoutRecord) {
  add_engines("v1");
  EXPECT_EQ(version_in(resume(second_port_, "only-1", "never-seen")), "v1");
  EXPECT_EQ(version_in(resume(second_port_, "only-2", "")), "v1");
}

// Streams went on at another version where no back end of theirs was left.
TEST_F(StreamVersionTest, NoBackendOfTheVersionIsLeft) {
  add_engines("v1");
  const std::string first = begin(router_port_, "left");
  ASSERT_EQ(version_in(first), "v1");
  add_engines("v2");
  remove_engines("v1");
  const auto started = std::chrono::steady_clock::now();
  EXPECT_EQ(status_of(resume(router_port_, "left-1", "left")), "HTTP/1.1 503");
  EXPECT_EQ(status_of(resume(second_port_, "left-2", "left")), "HTTP/1.1 503");
  EXPECT_LT(std::chrono::steady_clock::now() - started, milliseconds(500));
}

// Streams that began before there was a second version, and so without a record, were joined with it by
// routers that had just started.
TEST_F(StreamVersionTest, RestartedRouterJoinsStreamsOfTheVersionThatLeft) {
  add_engines("v1");
  const std::string first = begin(restart_router("v1-1"), "restarted");
  ASSERT_EQ(version_in(first), "v1");
  add_engines("v2");
  EXPECT_FALSE(is_mixed(first + resume(restart_router("v2-1"), "restarted-1", "restarted")));
  remove_engines("v1");
  EXPECT_FALSE(is_mixed(first + resume(restart_router("v2-1"), "restarted-2", "restarted")));
}

// Routers that reach no control member joined streams that they could not know.
TEST_F(StreamVersionTest, RouterCutOffFromTheMembersMixesNothing) {
  add_engines("v1");
  add_engines("v2");
  std::vector<std::string> firsts;
  for (size_t number = 0; number < kStreams; ++number) {
    firsts.push_back(begin(router_port_, "cut" + std::to_string(number)));
  }
  freeze_control();
  size_t mixed = 0;
  for (size_t number = 0; number < kStreams / 4; ++number) {
    const std::string id = "cut" + std::to_string(number);
    mixed += is_mixed(firsts[number] + resume(second_port_, id + "-again", id)) ? 1 : 0;
  }
  EXPECT_EQ(mixed, 0U);
}

// Events that wait for their record were held without a bound, however fast an engine sent them.
TEST_F(StreamVersionTest, EventsWithoutEndFillTheMemoryWhileTheirRecordIsStored) {
  constexpr size_t kMaxReadBytes = 16U << 20U;  // buffers of the kernel included
  const std::string event = "data: " + std::string(64U << 10U, 'x') + "\n\n";
  add_engines("v2");
  ScriptedEngine engine([&](const ReceivedRequest& seen) -> Script {
    const std::string headers = test::engine_headers(seen) + "Content-Type: text/event-stream\r\n";
    return {standins::send_step("HTTP/1.1 200 OK\r\n" + headers + "\r\n"), standins::repeat_step(event)};
  });
  add_engine("endless", "models", engine, 1, "v1");
  remove_engines("v2");
  freeze_control();
  RawClient caller(router_port_);
  caller.send(request("POST", "/resume/", "endless", "Content-Length: 0\r\nConnection: close\r\n"));
  std::this_thread::sleep_for(milliseconds(500));
  EXPECT_GT(engine.repeated_bytes(), 0U);
  EXPECT_LT(engine.repeated_bytes(), kMaxReadBytes);
}

// Copies of runs were made at, and resumed from, engines of another version.
TEST_F(StreamVersionTest, CopiesStayAtTheVersionOfTheRun) {
  add_engines("v1");
  add_engines("v2");
  size_t mixed = 0;
  for (size_t number = 0; number < kStreams / 2; ++number) {
    RawClient caller(router_port_);
    caller.send(request("POST", "/stream/", "copy" + std::to_string(number),
                        "Content-Length: 0\r\nConnection: close\r\n"));
    mixed += is_mixed(caller.read_all()) ? 1 : 0;
  }
  EXPECT_EQ(mixed, 0U);
  for (size_t number = 0; number < engines_.size(); ++number) {
    for (const ReceivedRequest& seen : engines_[number]->requests()) {
      const std::string backup = seen.header("X-Kv-Backup");
      const size_t version = number / kEnginesPerVersion;
      const bool same = backup.empty() || backup == engines_[version * kEnginesPerVersion]->address() ||
                        backup == engines_[version * kEnginesPerVersion + 1]->address();
      EXPECT_TRUE(same) << backup;
    }
  }
}

}  // namespace
}  // namespace stoat
