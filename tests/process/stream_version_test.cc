/// Real processes: engines of two software versions, processes that are killed under their streams, and
/// callers that resume these at any router.
#include <future>

#include "tests/process/fleet_process_test.h"
#include "tests/support/raw_client.h"

namespace stoat::tools {
namespace {

class StreamVersionProcessTest : public FleetProcessTest {
 protected:
  static constexpr uint32_t kEngines = 4;
  static constexpr size_t kStreams = 12;
  static constexpr Duration kDownTime = 700ms;
  static constexpr Duration kCallerBackoff = 100ms;
  static constexpr std::chrono::seconds kCallerPatience{8};

  void SetUp() override {
    options_.routers = 3;
    options_.engines = kEngines;
    options_.engine_software = {"v1", "v2"};
    FleetProcessTest::SetUp();
  }
  std::string head(const std::string& id, const std::string& more) const {
    const LoadTarget target = fleet_->target();
    return "POST /chat/ HTTP/1.1\r\nHost: " + target.host + "\r\nX-Request-Id: " + id +
           "\r\nX-Deadline-Ms: 5000\r\nAuthorization: Bearer " + target.key + "\r\nX-Model: " + target.model +
           "\r\nX-Prompt-Parts: " + id + ":220\r\nX-Token-Counts: 220,60\r\nContent-Length: 0\r\n" +
           "Connection: close\r\n" + more + "\r\n";
  }
  /// Begins the streams at all routers by turns, and keeps each caller's first event in `firsts_`.
  void begin_streams() {
    for (size_t number = 0; number < kStreams; ++number) {
      callers_.push_back(std::make_unique<test::RawClient>(port_of(number % options_.routers)));
      callers_.back()->send(head("stream" + std::to_string(number), ""));
    }
    for (const auto& caller : callers_) {
      firsts_.push_back(caller->read_until("\n\n"));
    }
  }
  /// Kills the processes at the same moment, and starts the members and routers among them again.
  void kill_and_start(const std::vector<std::string>& names) {
    for (const std::string& name : names) {
      processes_->kill(name);
    }
    sleep_for(kDownTime);
    for (const std::string& name : names) {
      if (name.rfind("engine", 0) != 0) {
        processes_->start(name);
      }
    }
  }
  std::vector<std::string> members_and_routers() const {
    std::vector<std::string> names = fleet_->names_of("control");
    const std::vector<std::string> routers = fleet_->names_of("router");
    names.insert(names.end(), routers.begin(), routers.end());
    return names;
  }
  /// Resumes a stream after its first event, again and again until an engine answers or the time is over.
  /// Returns the number of the engine; 0 if there was none.
  size_t resume(size_t number, std::chrono::steady_clock::time_point until) {
    const std::string first = "stream" + std::to_string(number);
    size_t engine = 0;
    for (size_t attempt = 0; engine == 0 && std::chrono::steady_clock::now() < until; ++attempt) {
      sleep_for(attempt == 0 ? Duration(0) : kCallerBackoff);
      test::RawClient caller(port_of((number + attempt) % options_.routers));
      if (caller.connected()) {
        caller.send(
            head(first + "-" + std::to_string(attempt), "Last-Event-Id: 0\r\nX-Resumes: " + first + "\r\n"));
        engine = engine_of(caller.read_until("\n\n"));
      }
    }
    return engine;
  }
  /// How the streams of one version ended that callers took up.
  struct Resumed {
    size_t begun = 0;
    size_t mixed = 0;
    size_t went_on = 0;
  };
  /// Resumes all streams within kCallerPatience. Returns what became of each version's, by the number of the
  /// version.
  std::map<size_t, Resumed> resume_streams() {
    const auto until = std::chrono::steady_clock::now() + kCallerPatience;
    std::vector<std::future<size_t>> engines;
    for (size_t number = 0; number < kStreams; ++number) {
      engines.push_back(std::async(std::launch::async, [&, number] { return resume(number, until); }));
    }
    std::map<size_t, Resumed> by_version;
    for (size_t number = 0; number < kStreams; ++number) {
      const size_t first = engine_of(firsts_[number]);
      const size_t second = engines[number].get();
      Resumed& resumed = by_version[version_of(first)];
      ++resumed.begun;
      resumed.mixed += second > 0 && version_of(first) != version_of(second) ? 1 : 0;
      resumed.went_on += second > 0 && version_of(first) == version_of(second) ? 1 : 0;
    }
    return by_version;
  }
  uint16_t port_of(size_t router) const { return fleet_->target().routers[router].port; }
  /// The engine that signed an answer, by its number; 0 if there is none.
  static size_t engine_of(const std::string& answer) {
    const std::string name = "X-Answer-Signature: engine-";
    const size_t at = answer.find(name);
    return at == std::string::npos ? 0 : std::stoul(answer.substr(at + name.size()));
  }
  /// 1 for "v1", 2 for "v2": the engines have the versions by turns.
  static size_t version_of(size_t engine) { return 2 - engine % 2; }

  std::vector<std::unique_ptr<test::RawClient>> callers_;
  std::vector<std::string> firsts_;  ///< what each caller got up to the first event
};

// Streams of killed routers went on at an engine of another version.
TEST_F(StreamVersionProcessTest, StreamsOfKilledRoutersStayAtTheirVersion) {
  std::vector<std::string> firsts(kStreams);
  std::vector<std::unique_ptr<test::RawClient>> callers;
  for (size_t number = 0; number < kStreams; ++number) {
    callers.push_back(std::make_unique<test::RawClient>(port_of(0)));
    callers.back()->send(head("killed" + std::to_string(number), ""));
  }
  for (size_t number = 0; number < kStreams; ++number) {
    firsts[number] = callers[number]->read_until("\n\n");
  }
  processes_->kill("router-1");
  size_t mixed = 0;
  size_t went_on = 0;
  for (size_t number = 0; number < kStreams; ++number) {
    const std::string id = "killed" + std::to_string(number);
    test::RawClient caller(port_of(1 + number % 2));
    caller.send(head(id + "-again", "Last-Event-Id: 0\r\nX-Resumes: " + id + "\r\n"));
    const size_t first = engine_of(firsts[number]);
    const size_t second = engine_of(caller.read_until("\n\n"));
    ASSERT_GT(first, 0U);
    went_on += second > 0 ? 1 : 0;
    mixed += second > 0 && first % 2 != second % 2 ? 1 : 0;
  }
  EXPECT_EQ(mixed, 0U);
  EXPECT_EQ(went_on, kStreams);
}

// Streams went on at another version after all processes had been killed while theirs lost its last engine.
TEST_F(StreamVersionProcessTest, StreamsMixVersionsAfterAllProcessesWereKilled) {
  begin_streams();
  std::vector<std::string> killed = members_and_routers();
  killed.insert(killed.end(), {"engine-1", "engine-3"});
  kill_and_start(killed);
  std::map<size_t, Resumed> resumed = resume_streams();
  ASSERT_GT(resumed[1].begun, 0U);
  EXPECT_EQ(resumed[1].mixed, 0U);
  EXPECT_EQ(resumed[2].mixed, 0U);
  EXPECT_EQ(resumed[2].went_on, resumed[2].begun);
}

// Streams were joined from two versions after all routers had been killed, with both versions in service.
TEST_F(StreamVersionProcessTest, StreamsMixVersionsAfterAllRoutersWereKilled) {
  begin_streams();
  kill_and_start(fleet_->names_of("router"));
  std::map<size_t, Resumed> resumed = resume_streams();
  for (const size_t version : {1U, 2U}) {
    ASSERT_GT(resumed[version].begun, 0U);
    EXPECT_EQ(resumed[version].mixed, 0U);
    EXPECT_EQ(resumed[version].went_on, resumed[version].begun);
  }
}

// The same while the engines of their version had just left.
TEST_F(StreamVersionProcessTest, StreamsMixVersionsAfterTheirEnginesLeftAndAllRoutersWereKilled) {
  begin_streams();
  for (const std::string name : {"engine-1", "engine-3"}) {
    processes_->request_stop(name);
  }
  ASSERT_TRUE(LoopbackFleet::wait_until(
      [this] { return !processes_->is_running("engine-1") && !processes_->is_running("engine-3"); }, 5s));
  kill_and_start(fleet_->names_of("router"));
  std::map<size_t, Resumed> resumed = resume_streams();
  ASSERT_GT(resumed[1].begun, 0U);
  EXPECT_EQ(resumed[1].mixed, 0U);
  EXPECT_EQ(resumed[2].mixed, 0U);
  EXPECT_EQ(resumed[2].went_on, resumed[2].begun);
}

// Streams were refused after all processes had been killed, though engines of their versions still served.
TEST_F(StreamVersionProcessTest, StreamsOfServingVersionsAreRefusedAfterAllProcessesWereKilled) {
  begin_streams();
  kill_and_start(members_and_routers());
  std::map<size_t, Resumed> resumed = resume_streams();
  for (const size_t version : {1U, 2U}) {
    ASSERT_GT(resumed[version].begun, 0U);
    EXPECT_EQ(resumed[version].mixed, 0U);
    EXPECT_EQ(resumed[version].went_on, resumed[version].begun);
  }
}

}  // namespace
}  // namespace stoat::tools
