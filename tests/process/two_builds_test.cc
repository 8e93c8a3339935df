// Fleets of real processes of two builds, while machines are replaced one after the other.
#include <algorithm>

#include "platform/loopback_programs.h"
#include "tests/process/fleet_process_test.h"
#include "tools/upgrade_run.h"

namespace stoat::tools {
namespace {

/// Maximum fraction of the probes at settled routers that may go unserved.
constexpr double kAllowedLoss = 0.01;

class TwoBuildsTest : public FleetProcessTest {
 protected:
  void SetUp() override { start_fleet(test::production_program_directory()); }

  void start_fleet(const std::string& first_bin_folder) {
    ASSERT_FALSE(test::production_program_directory().empty()) << "run scripts/build-production first";
    options_.programs = platform::loopback_programs();
    options_.first_bin_folder = first_bin_folder;
    options_.control_members = 3;
    options_.routers = 3;
    options_.engines = 1;
    options_.control_settings = {"entries_per_snapshot=10"};  // so that snapshots are read and sent too
    FleetProcessTest::SetUp();
  }

  /// Replaces these processes in this order.
  UpgradePlan plan(const std::vector<std::string>& order, const std::string& bin_folder) const {
    UpgradePlan plan;
    for (const std::string& process : order) {
      plan.replacements.push_back({process, bin_folder});
    }
    return plan;
  }

  void expect_no_violation(const UpgradePlan& plan) {
    const UpgradeResult result = run_upgrade(*processes_, *fleet_, plan);
    for (const std::string& violation : result.violations) {
      ADD_FAILURE() << violation << "; logs in " << work_folder_;
    }
    EXPECT_TRUE(result.has_newest_configuration) << "of version " << result.acknowledged_version;
    EXPECT_GT(result.probes, 0U);
    if (plan.configuration_interval > Duration(0)) {
      EXPECT_GT(result.version_checks, 0U);
    }
    EXPECT_GE(static_cast<double>(result.served), (1 - kAllowedLoss) * static_cast<double>(result.probes));
    RecordProperty("probes", static_cast<int>(result.probes));
    RecordProperty("checks", static_cast<int>(result.version_checks));
    RecordProperty("served", static_cast<int>(result.served));
  }

  const std::vector<std::string> members_first_ = {"control-1", "control-2", "control-3",
                                                   "router-1",  "router-2",  "router-3"};
};

// Routers of the production build kept an old configuration once members of this build had taken over.
TEST_F(TwoBuildsTest, RoutersGetConfigurationsWhileMembersAreReplaced) {
  expect_no_violation(plan(members_first_, test::program_directory()));
}

// Routers of this build did not hear of back ends from members of the production build.
TEST_F(TwoBuildsTest, RoutersServeBeforeMembersAreReplaced) {
  expect_no_violation(plan({"router-1", "router-2", "router-3", "control-1", "control-2", "control-3"},
                           test::program_directory()));
}

// Leaders of both builds in one group, with routers of both.
TEST_F(TwoBuildsTest, MembersAndRoutersAreReplacedInTurn) {
  expect_no_violation(plan({"control-3", "router-1", "control-2", "router-2", "control-1", "router-3"},
                           test::program_directory()));
}

// A router of this build beside two members of production, and the reverse, got no back ends.
TEST_F(TwoBuildsTest, AFleetThatStaysHalfReplacedObeysItsConfiguration) {
  UpgradePlan half = plan({"control-1", "router-1"}, test::program_directory());
  half.time_after = 10s;
  expect_no_violation(half);
}

// The configuration that had been acknowledged was gone once all members had been replaced.
TEST_F(TwoBuildsTest, AConfigurationOutlivesTheReplacementOfAllMembers) {
  UpgradePlan quiet = plan(members_first_, test::program_directory());
  quiet.configuration_interval = Duration(0);
  expect_no_violation(quiet);
}

// Kills, stops and pauses while each restarted process is of either build; seeded, with the schedule of its
// seed.
TEST(TwoBuildsSoakTest, GuaranteesHoldWhileProcessesOfBothBuildsComeAndGo) {
  const CommandOutput soak = run_command(
      test::program_directory() +
      "/stoat-chaos --set first_seed=1 --set seeds=3 --set duration_s=8 --set 'programs=\"" +
      test::program_directory() + "\"' --set 'other_programs=\"" + test::production_program_directory() +
      "\"' --set 'configuration=\"" + demo_configuration() + "\"'");
  EXPECT_EQ(soak.status, 0) << soak.text;
}

class OneBuildTest : public TwoBuildsTest {
 protected:
  void SetUp() override { start_fleet(""); }
};

// The control run: what is asked of two builds holds for one.
TEST_F(OneBuildTest, NothingIsLostWhileAllProcessesAreReplaced) {
  expect_no_violation(plan(members_first_, test::program_directory()));
}

class ReturnToProductionTest : public TwoBuildsTest {
 protected:
  void SetUp() override { start_fleet(""); }
};

// Members of production passed over what members of this build had written.
TEST_F(ReturnToProductionTest, ConfigurationsAreObeyedOnTheWayBack) {
  expect_no_violation(plan(members_first_, test::production_program_directory()));
}

}  // namespace
}  // namespace stoat::tools
