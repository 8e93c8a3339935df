// Real processes under faults drawn from a seed, alone and together; links cut in silence; judged by what
// must always hold, never by timing. `stoat-chaos` runs the same for as many seeds and as long as asked.
#include "tests/process/fleet_fixture.h"
#include "tools/chaos_run.h"

namespace stoat::tools {
namespace {

class Chaos : public FleetTest {
 protected:
  void run_seed(const std::string& workload, uint64_t seed) {
    ChaosSettings chaos;
    chaos.seed = seed;
    chaos.duration = 12s;
    chaos.workload = small_fleet(workload).workload;
    chaos.workload.requests_per_second = 25;
    start(chaos_fleet(chaos.workload));
    const ChaosReport report = run_chaos(*fleet_, chaos);
    for (const std::string& violation : report.violations) {
      ADD_FAILURE() << violation << "; replay: stoat-chaos --set workload='\"" << workload
                    << "\"' --set duration_s=12 --set requests_per_second=25 --set first_seed=" << seed;
    }
    EXPECT_GT(report.events.size(), 4U);
  }
};

TEST_F(Chaos, DerwentKeepsItsPromisesUnderRandomFaults) { run_seed("derwent", 1); }
TEST_F(Chaos, KavelwindKeepsItsPromisesUnderRandomFaults) { run_seed("kavelwind", 2); }

TEST_F(Chaos, AControlLeaderCutOffInSilenceIsLeftAndChangesGoOn) {
  LocalFleetSettings settings = small_fleet("kavelwind");
  settings.cuttable_links = true;
  start(settings);
  const std::string cut_off = fleet_->leader();
  fleet_->links().set_cut(cut_off, LinkCut::kBoth);
  const auto another_leads = [&] {
    for (const std::string& name : fleet_->names_with_prefix("control-")) {
      const nlohmann::json status = fleet_->get(name, "/status");
      if (name != cut_off && status.is_object() && status.value("leads", false)) {
        return true;
      }
    }
    return false;
  };
  ASSERT_TRUE(LocalFleet::wait_until(another_leads, 20s));
  const CommandOutput changed = stoatctl("tenant add late --api-key k --wait");
  EXPECT_EQ(changed.status, 0) << changed.text;
  expect_promises(run_load(3s));
  fleet_->links().set_cut(cut_off, LinkCut::kNone);
  const auto caught_up = [&] {
    const nlohmann::json mine = fleet_->get(cut_off, "/status");
    return mine.is_object() && mine["version"] >= 2;
  };
  EXPECT_TRUE(LocalFleet::wait_until(caught_up, 20s));
}

}  // namespace
}  // namespace stoat::tools
