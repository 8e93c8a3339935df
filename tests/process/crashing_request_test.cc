/// Real processes: three routers, and backends that crash under one request. The number of crashes must stay
/// bounded while the leader of the control plane is killed.
#include "src/http/blocking.h"
#include "tests/process/fleet_process_test.h"

namespace stoat::tools {
namespace {

class CrashingRequestProcessTest : public FleetProcessTest {
 protected:
  void SetUp() override {
    options_.routers = 3;
    options_.services = 6;
    options_.crash_on = "crash";
    FleetProcessTest::SetUp();
  }
  /// Sends a request that must not be executed twice to the router chosen by `number`, and returns the
  /// response status.
  int send_call(size_t number, const std::string& body) {
    const LoadTarget target = fleet_->target();
    const dispatch::HeaderNames names;
    http::ClientRequest request;
    request.endpoint = target.routers[number % target.routers.size()];
    request.method = "POST";
    request.path = "/order/";
    request.headers = {{"Host", target.host},
                       {names.request_id, body + std::to_string(number)},
                       {names.credential, names.credential_scheme + " " + target.key}};
    request.body = body;
    return http::fetch(request).status;
  }
};

TEST_F(CrashingRequestProcessTest, CrashesUnderOneRequestStayBoundedThroughALeaderChange) {
  constexpr int kUnavailable = 503;
  constexpr size_t kMaxCrashes = 3;
  const std::string leader = fleet_->leader();
  int last = 0;
  for (size_t number = 0; number < 24; ++number) {
    last = send_call(number, "crash");
    std::this_thread::sleep_for(std::chrono::milliseconds(300));
    if (number == 1) {
      processes_->kill(leader);
    }
    if (number == 4) {
      processes_->start(leader);
    }
  }
  EXPECT_EQ(last, kUnavailable);
  EXPECT_EQ(fleet_->runs().size(), kMaxCrashes);
  constexpr size_t kOthers = 12;
  size_t served = 0;
  for (size_t number = 0; number < kOthers; ++number) {
    served += send_call(number, "sound") == 200 ? 1 : 0;
  }
  EXPECT_EQ(served, kOthers);
}

// Backends crashed again under a request that was quarantined before all processes were killed.
TEST_F(CrashingRequestProcessTest, QuarantinedRequestCrashesBackendsAgainAfterAllProcessesWereKilled) {
  constexpr int kUnavailable = 503;
  constexpr size_t kMaxCrashes = 3;
  constexpr size_t kRequests = 12;
  constexpr auto kPause = std::chrono::milliseconds(300);
  size_t number = 0;
  while (fleet_->runs().size() < kMaxCrashes && number < 2 * kRequests) {
    send_call(number++, "crash");
    std::this_thread::sleep_for(kPause);
  }
  ASSERT_EQ(send_call(number++, "crash"), kUnavailable);
  ASSERT_EQ(fleet_->runs().size(), kMaxCrashes);
  std::vector<std::string> names = fleet_->names_of("control");
  const std::vector<std::string> routers = fleet_->names_of("router");
  names.insert(names.end(), routers.begin(), routers.end());
  for (const std::string& name : names) {
    processes_->kill(name);
  }
  for (const std::string& name : names) {
    processes_->start(name);
  }
  ASSERT_TRUE(LoopbackFleet::wait_until([&] { return send_call(number++, "sound") == 200; }, 10s));
  for (size_t sent = 0; sent < kRequests; ++sent) {
    EXPECT_EQ(send_call(number++, "crash"), kUnavailable);
    std::this_thread::sleep_for(kPause);
  }
  std::multiset<std::string> runs = fleet_->runs();
  std::erase_if(runs, [](const std::string& id) { return id.rfind("sound", 0) == 0; });
  EXPECT_EQ(runs.size(), kMaxCrashes);
}

}  // namespace
}  // namespace stoat::tools
