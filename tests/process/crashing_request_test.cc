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

}  // namespace
}  // namespace stoat::tools
