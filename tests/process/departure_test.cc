/// Real processes: a backend that signs off by its name alone at members that have just started, and what it
/// still gets from the routers.
#include <atomic>
#include <mutex>
#include <thread>

#include "src/http/blocking.h"
#include "standins/scripted_engine.h"
#include "tests/process/fleet_process_test.h"

namespace stoat::tools {
namespace {

class DepartureProcessTest : public FleetProcessTest {
 protected:
  static constexpr Duration kDrainTime = 2s;    ///< from the acknowledgement until it must get nothing more
  static constexpr Duration kContactTime = 3s;  ///< after a restart of all members
  static constexpr Duration kDownTime = 300ms;
  static constexpr Duration kHeartbeatInterval = 400ms;
  static constexpr Duration kRequestInterval = 10ms;
  static constexpr int kOk = 200;

  void SetUp() override {
    FleetProcessTest::SetUp();
    load_ = std::thread([this] { send_load(); });
    heartbeat_until_used();
  }
  void TearDown() override {
    stopping_ = true;
    load_.join();
    FleetProcessTest::TearDown();
  }

  /// Sends a heartbeat of the leaving backend to a member. Returns the status of the answer.
  int send_heartbeat(const Endpoint& member) {
    const nlohmann::json body = {
        {"service", "search"},       {"address", backend_.address()}, {"zone", "z1"}, {"state", "ready"},
        {"sequence", ++heartbeats_}, {"started_ms", 1767225600000},   {"slots", 8}};
    return call(member, "PUT", body.dump());
  }
  /// Signs the backend off at one member after the other until one acknowledges. Returns when it did.
  TimePoint sign_off(const std::vector<Endpoint>& members) {
    for (size_t turn = 0; turn < 1000; ++turn) {
      if (call(members[turn % members.size()], "DELETE", "") == kOk) {
        return monotonic_now();
      }
      sleep_for(20ms);
    }
    ADD_FAILURE() << "no acknowledgement";
    return monotonic_now();
  }
  void kill_and_start(const std::vector<std::string>& members) {
    for (const std::string& member : members) {
      processes_->kill(member);
    }
    sleep_for(kDownTime);
    for (const std::string& member : members) {
      processes_->start(member);
    }
  }
  size_t arrivals_after(TimePoint time) {
    const std::lock_guard<std::mutex> lock(mutex_);
    return static_cast<size_t>(
        std::count_if(arrivals_.begin(), arrivals_.end(), [time](TimePoint at) { return at > time; }));
  }
  /// Expects that the backend gets nothing from `bound` on, for longer than members remember it.
  void expect_nothing_after(TimePoint bound) {
    constexpr Duration kRemembered = 5s;
    sleep_for(std::max(Duration(0), bound - monotonic_now()) + kRemembered);
    EXPECT_EQ(arrivals_after(bound), 0U) << "logs in " << work_folder_;
  }
  const std::vector<Endpoint>& members() const { return fleet_->admin_endpoints(); }

  size_t heartbeats_ = 0;

 private:
  int call(const Endpoint& member, const std::string& method, const std::string& body) {
    http::ClientRequest request;
    request.endpoint = member;
    request.method = method;
    request.path = "/v1/backends/leaving";
    request.body = body;
    request.timeout = 1s;
    return http::fetch(request).status;
  }
  void heartbeat_until_used() {
    for (int beat = 0; beat < 25 && arrivals_after(TimePoint(0)) == 0; ++beat) {
      send_heartbeat(members()[static_cast<size_t>(beat) % members().size()]);
      sleep_for(kHeartbeatInterval);
    }
    ASSERT_GT(arrivals_after(TimePoint(0)), 0U);
    ASSERT_EQ(send_heartbeat(members()[0]), kOk);
    sleep_for(kHeartbeatInterval);  // until the other members know of it
  }
  void send_load() {
    for (size_t number = 0; !stopping_; ++number) {
      fleet_->send_to_router(number % options_.routers, "/order/", "load" + std::to_string(number));
      sleep_for(kRequestInterval);
    }
  }
  standins::Script answer(const standins::ReceivedRequest& request) {
    const std::lock_guard<std::mutex> lock(mutex_);
    arrivals_.push_back(monotonic_now());
    const std::string headers =
        "X-Request-Id: " + request.header("X-Request-Id") + "\r\nX-Answer-Signature: leaving\r\n";
    return {standins::send_step(standins::full_response(kOk, headers, "done\n"))};
  }

  std::mutex mutex_;
  std::vector<TimePoint> arrivals_;  ///< of requests at the leaving backend
  standins::ScriptedEngine backend_{
      [this](const standins::ReceivedRequest& request) { return answer(request); }};
  std::atomic<bool> stopping_{false};
  std::thread load_;
};

// A member acknowledged that the backend was gone and retired a name that no router knew.
TEST_F(DepartureProcessTest, BackendGetsRequestsAfterItSignedOffAtMembersThatAllRestarted) {
  kill_and_start(fleet_->names_of("control"));
  const TimePoint started = monotonic_now();
  const TimePoint acknowledged = sign_off(members());
  expect_nothing_after(std::max(acknowledged + kDrainTime, started + kContactTime));
}

// The same at a member that was killed alone.
TEST_F(DepartureProcessTest, BackendGetsRequestsAfterItSignedOffAtAMemberThatRestartedAlone) {
  const std::string leader = fleet_->leader();
  const std::vector<std::string> names = fleet_->names_of("control");
  const size_t follower = names[0] == leader ? 1 : 0;
  kill_and_start({names[follower]});
  expect_nothing_after(sign_off({members()[follower]}) + kDrainTime);
}

// The same at a former leader.
TEST_F(DepartureProcessTest, BackendGetsRequestsAfterItSignedOffAtALeaderThatRestarted) {
  const std::string leader = fleet_->leader();
  const std::vector<std::string> names = fleet_->names_of("control");
  const auto position = std::find(names.begin(), names.end(), leader) - names.begin();
  kill_and_start({leader});
  expect_nothing_after(sign_off({members()[static_cast<size_t>(position)]}) + kDrainTime);
}

// A heartbeat that was on its way made a backend ready again that had signed off.
TEST_F(DepartureProcessTest, LateHeartbeatMakesABackendReadyThatSignedOffAtRestartedMembers) {
  kill_and_start(fleet_->names_of("control"));
  const TimePoint started = monotonic_now();
  const TimePoint acknowledged = sign_off(members());
  for (int beat = 0; beat < 5; ++beat) {
    for (const Endpoint& member : members()) {
      send_heartbeat(member);
    }
    sleep_for(kHeartbeatInterval);
  }
  expect_nothing_after(std::max(acknowledged + kDrainTime, started + kContactTime));
}

// An acknowledgement given just before all members are killed holds.
TEST_F(DepartureProcessTest, AcknowledgedDepartureIsLostWhenAllMembersAreKilled) {
  sign_off(members());
  kill_and_start(fleet_->names_of("control"));
  const TimePoint started = monotonic_now();
  for (const Endpoint& member : members()) {
    send_heartbeat(member);
  }
  expect_nothing_after(started + kContactTime);
}

}  // namespace
}  // namespace stoat::tools
