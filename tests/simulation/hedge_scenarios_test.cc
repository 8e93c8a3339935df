// Second runs of requests whose first token is late.
#include "tests/simulation/fleet_scenario_fixture.h"

namespace stoat::simulation {
namespace {

using wire::Outcome;

class HedgeScenario : public FleetScenarioFixture {
 protected:
  /// Starts the fleet, lets the shared prefix settle on an engine, and freezes that engine.
  size_t freeze_the_engine_of_the_prefix() {
    start();
    const size_t probe = send_until_streaming(question("owner-1", "warm"));
    const auto engine = static_cast<size_t>(simulation_->engine_of(probe));
    expect_complete(probe);
    simulation_->run_for(1s);
    simulation_->freeze_engine(engine);
    return engine;
  }
};

TEST_F(HedgeScenario, AQuestionAtAFrozenEngineIsHedgedAndTheLosersWorkIsCancelled) {
  const size_t engine = freeze_the_engine_of_the_prefix();
  const size_t sent = simulation_->send(question("owner-1", "late"));
  ASSERT_TRUE(simulation_->run_until_ended(sent, 2s)) << "waited for the frozen engine";
  EXPECT_EQ(record(sent).result.outcome, Outcome::kComplete);
  EXPECT_EQ(simulation_->checks().runs_of_request(record(sent).request_id), 1U)
      << "the frozen one has not begun";
  simulation_->thaw_engine(engine);
  simulation_->run_for(1s);
  EXPECT_EQ(simulation_->engine(engine).unfinished(), 0U) << "generates for nobody";
}

TEST_F(HedgeScenario, ABidAtAFrozenEngineIsNeverHedged) {
  const size_t engine = freeze_the_engine_of_the_prefix();
  const size_t sent = simulation_->send(bid("bid-1"));
  simulation_->run_for(3s);
  EXPECT_FALSE(record(sent).finished);
  EXPECT_EQ(simulation_->checks().runs_of_key("bid-1"), 0U);
  simulation_->thaw_engine(engine);
  expect_complete(sent);
  EXPECT_EQ(simulation_->checks().runs_of_key("bid-1"), 1U);
}

}  // namespace
}  // namespace stoat::simulation
