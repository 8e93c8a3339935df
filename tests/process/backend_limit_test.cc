/// Real processes: three routers, and a back end of two that names a limit while the leader of control is
/// killed and a router is started anew.
#include "tests/process/served_programs.h"

namespace stoat::tools {
namespace {

class BackendLimitProcessTest : public ServedPrograms {
 protected:
  static constexpr double kLimit = 2;  ///< requests a second

  void SetUp() override {
    options_.routers = 3;
    options_.limited_services = 1;
    options_.rate_limit = kLimit;
    ServedPrograms::SetUp();
  }
};

TEST_F(BackendLimitProcessTest, TheLimitHoldsThroughAChangeOfLeaderAndARestartOfARouter) {
  constexpr int kSeconds = 14;
  const std::string leader = fleet_->leader();
  const std::vector<RequestRecord> records =
      send(std::chrono::seconds(kSeconds), {{4s, [&] { processes_->kill(leader); }},
                                            {6s, [&] { processes_->start(leader); }},
                                            {8s, [&] { processes_->kill("router-3"); }},
                                            {9s, [&] { processes_->start("router-3"); }}});
  expect_promises(records);
  const size_t runs = fleet_->runs_at("service-1").size();
  // What each router sends until the limit has come to all, within some 200 ms of its first answer.
  constexpr size_t kBeforeItIsKnown = 10;
  EXPECT_LE(runs, kLimit * kSeconds + kBeforeItIsKnown);
  EXPECT_GE(runs, kSeconds / 2) << "what it takes is not used";
  EXPECT_GT(fleet_->runs_at("service-2").size(), runs) << "the other one takes the rest";
}

}  // namespace
}  // namespace stoat::tools
