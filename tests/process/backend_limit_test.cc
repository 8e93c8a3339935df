/// Real processes: three routers, and two backends of which one states a rate limit. The limit must hold
/// while the leader of the control plane is killed and a router is restarted.
#include "tests/process/fleet_process_test.h"

namespace stoat::tools {
namespace {

class BackendLimitProcessTest : public FleetProcessTest {
 protected:
  static constexpr double kLimit = 2;  ///< requests a second

  void SetUp() override {
    options_.routers = 3;
    options_.limited_services = 1;
    options_.rate_limit = kLimit;
    FleetProcessTest::SetUp();
  }
};

TEST_F(BackendLimitProcessTest, LimitHoldsThroughALeaderChangeAndARouterRestart) {
  constexpr int kSeconds = 14;
  const std::string leader = fleet_->leader();
  const std::vector<RequestRecord> records =
      send(std::chrono::seconds(kSeconds), {{4s, [&] { processes_->kill(leader); }},
                                            {6s, [&] { processes_->start(leader); }},
                                            {8s, [&] { processes_->kill("router-3"); }},
                                            {9s, [&] { processes_->start("router-3"); }}});
  expect_guarantees(records);
  const size_t runs = fleet_->runs_at("service-1").size();
  // Requests that the routers send before all of them know the limit, within some 200 ms of the first
  // response.
  constexpr size_t kSentBeforeLimitIsKnown = 10;
  EXPECT_LE(runs, kLimit * kSeconds + kSentBeforeLimitIsKnown);
  EXPECT_GE(runs, kSeconds / 2) << "the limited back end got fewer requests than it accepts";
  EXPECT_GT(fleet_->runs_at("service-2").size(), runs)
      << "the unlimited back end did not get the other requests";
}

}  // namespace
}  // namespace stoat::tools
