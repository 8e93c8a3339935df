// Named failures of the request path, each placed by hand in the simulator.
#include <gtest/gtest.h>

#include "src/common/hash.h"
#include "tests/simulation/fleet_scenario_fixture.h"

namespace stoat::simulation {
namespace {

using tools::PlannedRequest;
using tools::RequestClass;
using wire::FailureReason;
using wire::Outcome;

class FleetScenario : public FleetScenarioFixture {};

// Cache entries.

TEST_F(FleetScenario, AnEngineThatCameBackEmptyIsNotTakenForItsFormerSelf) {
  start();
  expect_complete(simulation_->send(question("owner-1", "first")));
  simulation_->run_for(1s);
  for (size_t engine = 0; engine < simulation_->engine_count(); ++engine) {
    simulation_->crash_engine(engine);
    simulation_->start_engine(engine);
  }
  const size_t sent = simulation_->send(question("owner-1", "second"));
  expect_complete(sent);
  EXPECT_EQ(record(sent).result.cached_tokens, 0U);
}

TEST_F(FleetScenario, AnotherTenantsBlocksAreNeverUsed) {
  start();
  for (int time = 0; time < 4; ++time) {
    expect_complete(simulation_->send(question("owner-1", "same text")));
  }
  simulation_->run_for(1s);
  const size_t other = simulation_->send(question("owner-2", "same text"));
  expect_complete(other);
  EXPECT_EQ(record(other).result.cached_tokens, 0U);
  const size_t own = simulation_->send(question("owner-1", "same text"));
  expect_complete(own);
  EXPECT_GT(record(own).result.cached_tokens, 0U);
}

TEST_F(FleetScenario, AChangeOfWeightsUnderLoadServesEachRequestFromOneVersion) {
  FleetSimulationOptions options = quiet_options();
  options.workload.duration = 12s;
  start(options);
  simulation_->run_for(3s);
  simulation_->order_weights("v2");
  simulation_->run_for(9s);
  for (size_t engine = 0; engine < simulation_->engine_count(); ++engine) {
    EXPECT_EQ(simulation_->engine(engine).weights_version(), "v2");
  }
  // The ledger check in TearDown finds any block computed under v1 and reused under v2.
}

TEST_F(FleetScenario, LostFeedEventsAreNoticedAndHealedBySnapshots) {
  FleetSimulationOptions options = quiet_options();
  options.engine.feed.gap_probability = 0.2;
  options.workload.duration = 10s;
  start(options);
  simulation_->run_for(10s);
  // Once the load is over and the last snapshots are in, routers know each engine's blocks again.
  simulation_->run_for(8s);
  size_t known = 0;
  size_t held = 0;
  for (size_t router = 0; router < simulation_->router_count(); ++router) {
    known += simulation_->router(router).index().block_count();
  }
  for (size_t engine = 0; engine < simulation_->engine_count(); ++engine) {
    held += simulation_->engine(engine).prefix_cache().size();
  }
  EXPECT_GT(known, 0U);
  EXPECT_LE(known, held) << "routers believe in blocks that no engine holds";
}

// Streams.

TEST_F(FleetScenario, AStreamGoesOnThroughAnotherRouterWhenItsOwnIsKilled) {
  start();
  const size_t sent = send_until_streaming(question("owner-1", "q"));
  simulation_->crash_router(static_cast<size_t>(simulation_->router_of(sent)));
  expect_complete(sent);
  EXPECT_EQ(simulation_->checks().runs_of_request(record(sent).request_id), 1U) << "resumed, not run again";
}

TEST_F(FleetScenario, AStreamGoesOnElsewhereWhenItsEngineIsKilled) {
  start();
  const size_t sent = send_until_streaming(question("owner-1", "q"));
  simulation_->crash_engine(static_cast<size_t>(simulation_->engine_of(sent)));
  expect_complete(sent);
}

TEST_F(FleetScenario, AStreamGoesOnWhenItsRouterFreezesAndLateAnswersAreDropped) {
  start();
  const size_t sent = send_until_streaming(question("owner-1", "q"));
  const auto frozen = static_cast<size_t>(simulation_->router_of(sent));
  simulation_->freeze_router(frozen);
  simulation_->run_for(2500ms);
  simulation_->thaw_router(frozen);  // what it kept comes now, late and crossed
  expect_complete(sent);
}

TEST_F(FleetScenario, ARequestSentToAFrozenRouterIsServedByAnother) {
  start();
  const PlannedRequest request = question("owner-1", "q");
  const size_t first = simulation_->send(request);
  simulation_->run_for(30ms);
  const int router = simulation_->router_of(first);
  ASSERT_GE(router, 0);
  expect_complete(first);
  simulation_->freeze_router(static_cast<size_t>(router));
  const size_t second = simulation_->send(request);
  expect_complete(second);
  simulation_->thaw_router(static_cast<size_t>(router));
}

TEST_F(FleetScenario, AFrozenEngineIsLeftAndItsRepeatableRequestsGoOnElsewhere) {
  start();
  const size_t sent = send_until_streaming(question("owner-1", "q"));
  const auto frozen = static_cast<size_t>(simulation_->engine_of(sent));
  simulation_->freeze_engine(frozen);
  expect_complete(sent);
  simulation_->thaw_engine(frozen);
}

// Restarts.

TEST_F(FleetScenario, RoutersThatRestartInAHerdServeAtOnceAlsoWithoutControl) {
  start();
  expect_complete(simulation_->send(question("owner-1", "first")));
  simulation_->set_control_available(false);
  for (size_t router = 0; router < simulation_->router_count(); ++router) {
    simulation_->crash_router(router);
  }
  for (size_t router = 0; router < simulation_->router_count(); ++router) {
    simulation_->start_router(router);
  }
  const size_t sent = simulation_->send(question("owner-1", "second"));
  expect_complete(sent);
  EXPECT_LT(record(sent).first_piece - record(sent).intended, Duration(1500ms));
}

// At most once.

TEST_F(FleetScenario, ABidWhoseEngineDiesIsUnknownAndNeverRunsAgain) {
  start();
  const size_t sent = send_until_streaming(bid("a"));
  simulation_->crash_engine(static_cast<size_t>(simulation_->engine_of(sent)));
  ASSERT_TRUE(simulation_->run_until_ended(sent));
  EXPECT_EQ(record(sent).result.outcome, Outcome::kUnknown);
  const size_t resent = simulation_->send(bid("a"), 1);
  ASSERT_TRUE(simulation_->run_until_ended(resent));
  EXPECT_EQ(record(resent).result.outcome, Outcome::kUnknown);
  EXPECT_EQ(simulation_->checks().runs_of_key("a"), 1U);
}

TEST_F(FleetScenario, ABidWhoseRouterDiesIsReadOnFromItsEngine) {
  start();
  const size_t sent = send_until_streaming(bid("a"));
  simulation_->crash_router(static_cast<size_t>(simulation_->router_of(sent)));
  expect_complete(sent);
  EXPECT_EQ(simulation_->checks().runs_of_key("a"), 1U);
}

TEST_F(FleetScenario, AResentBidGetsTheFirstAnswer) {
  start();
  const size_t first = simulation_->send(bid("a"));
  expect_complete(first);
  simulation_->run_for(200ms);
  const size_t again = simulation_->send(bid("a"), 1);
  expect_complete(again);
  EXPECT_EQ(record(again).text, record(first).text);
  EXPECT_EQ(simulation_->checks().runs_of_key("a"), 1U);
}

TEST_F(FleetScenario, AResendWhileTheFirstRunsDoesNotRun) {
  start();
  const size_t first = send_until_streaming(bid("a"));
  const size_t again = simulation_->send(bid("a"), 1);
  ASSERT_TRUE(simulation_->run_until_ended(again));
  EXPECT_EQ(record(again).result.reason, FailureReason::kClaimHeld);
  expect_complete(first);
  EXPECT_EQ(simulation_->checks().runs_of_key("a"), 1U);
}

TEST_F(FleetScenario, AKeyThatBelongsToAnotherRequestIsAConflict) {
  start();
  expect_complete(simulation_->send(bid("a")));
  PlannedRequest other = bid("a");
  other.prompt += " but another price";
  const size_t sent = simulation_->send(other);
  ASSERT_TRUE(simulation_->run_until_ended(sent));
  EXPECT_EQ(record(sent).result.reason, FailureReason::kClaimConflict);
}

TEST_F(FleetScenario, ALostClaimAnswerDoesNotRunABidTwiceOrLoseIt) {
  start();
  simulation_->lose_next_control_answers(1);
  const size_t sent = simulation_->send(bid("a"));
  expect_complete(sent);
  EXPECT_EQ(simulation_->checks().runs_of_key("a"), 1U);
}

TEST_F(FleetScenario, ABidWhoseClaimAnswersStayAwayForItsQueueTimeIsNotRunAndCanBeSentAgain) {
  start();
  simulation_->lose_next_control_answers(3);
  const size_t sent = simulation_->send(bid("a"));
  ASSERT_TRUE(simulation_->run_until_ended(sent));
  EXPECT_EQ(record(sent).result.outcome, Outcome::kNotRun);
  simulation_->run_for(4s);
  expect_complete(simulation_->send(bid("a")));
  EXPECT_EQ(simulation_->checks().runs_of_key("a"), 1U);
}

TEST_F(FleetScenario, WithoutAQuorumABidIsRefusedAsNotRunAndCanBeSentAgain) {
  start();
  simulation_->set_control_available(false);
  const size_t sent = simulation_->send(bid("a"));
  ASSERT_TRUE(simulation_->run_until_ended(sent));
  EXPECT_EQ(record(sent).result.outcome, Outcome::kNotRun);
  EXPECT_GT(record(sent).result.retry_after_ms, 0);
  EXPECT_LT(record(sent).ended - record(sent).intended, Duration(4s)) << "not held to its deadline";
  simulation_->set_control_available(true);
  simulation_->run_for(2s);
  expect_complete(simulation_->send(bid("a")));
  EXPECT_EQ(simulation_->checks().runs_of_key("a"), 1U);
}

TEST_F(FleetScenario, ABidSentToAFrozenRouterThatWakesRunsOnce) {
  start();
  const size_t probe = simulation_->send(bid("probe"));
  simulation_->run_for(40ms);
  const int router = simulation_->router_of(probe);
  ASSERT_GE(router, 0);
  expect_complete(probe);
  simulation_->freeze_router(static_cast<size_t>(router));
  const size_t sent = simulation_->send(bid("a"));
  simulation_->run_for(3s);
  simulation_->thaw_router(static_cast<size_t>(router));
  simulation_->run_for(3s);
  EXPECT_TRUE(record(sent).finished);
  EXPECT_LE(simulation_->checks().runs_of_key("a"), 1U);
}

TEST_F(FleetScenario, AnExtractionRunsAtMostOnceWhenItsRouterDies) {
  start();
  PlannedRequest request;
  request.request_class = RequestClass::kPlainWork;
  request.tenant = "owner-1";
  request.serves = "bidgate";
  request.prompt = "{}";
  request.repeatable = false;
  request.idempotency_key = "extract";
  for (int wait = 2; wait < 30; wait += 3) {
    request.idempotency_key = "extract-" + std::to_string(wait);
    const size_t sent = simulation_->send(request);
    simulation_->run_for(Duration(1000 * wait));
    const int router = simulation_->router_of(sent);
    if (router >= 0) {
      simulation_->crash_router(static_cast<size_t>(router));
      simulation_->start_router(static_cast<size_t>(router));
    }
    ASSERT_TRUE(simulation_->run_until_ended(sent));
    EXPECT_LE(simulation_->checks().runs_of_key(request.idempotency_key), 1U);
    simulation_->run_for(2s);
  }
}

// Leaving and stopping.

TEST_F(FleetScenario, ALeavingEngineOfThePlatformsListGetsNoNewWork) {
  FleetSimulationOptions options = quiet_options();
  options.workload.duration = 10s;
  start(options);
  simulation_->run_for(2s);
  simulation_->leave_engine_by_platform(1);
  simulation_->run_for(8s);  // TearDown finds work given more than 3 s later
}

TEST_F(FleetScenario, AnEngineThatSaysItLeavesGetsNoNewWork) {
  FleetSimulationOptions options = quiet_options();
  options.workload.duration = 10s;
  start(options);
  simulation_->run_for(2s);
  simulation_->engine(1).set_leaving(true);
  simulation_->checks().on_leaving(simulation_->now(), "engine-1");
  simulation_->run_for(8s);
}

TEST_F(FleetScenario, APlannedStopOfEveryRouterInTurnCutsNoRequest) {
  FleetSimulationOptions options = quiet_options();
  options.workload.duration = 15s;
  start(options);
  for (size_t router = 0; router < simulation_->router_count(); ++router) {
    simulation_->run_for(1s);
    simulation_->stop_router(router);
    simulation_->run_for(3s);
    ASSERT_FALSE(simulation_->router_runs(router)) << "it has nothing left to do";
    simulation_->start_router(router);
  }
  const FleetReport report = simulation_->run();
  EXPECT_EQ(report.complete, report.requests);
}

TEST_F(FleetScenario, WorkOfACallerThatWentAwayIsCancelledWithinASecond) {
  start();
  PlannedRequest request = question("owner-1", "q");
  request.max_tokens = 5000;
  const size_t sent = send_until_streaming(request);
  const auto engine = static_cast<size_t>(simulation_->engine_of(sent));
  EXPECT_EQ(simulation_->engine(engine).unfinished(), 1U);
  simulation_->set_caller_gone(sent);
  simulation_->run_for(1s);
  EXPECT_EQ(simulation_->engine(engine).unfinished(), 0U);
}

// Hot prefixes.

TEST_F(FleetScenario, AHotPrefixIsSpreadOverMoreRoutersAndGatheredAgain) {
  FleetSimulationOptions options = quiet_options();
  options.router.hot_requests_per_second = 20;
  start(options);
  const auto routers_used = [&](Duration span, Duration between) {
    std::set<int> used;
    for (Duration ran{0}; ran < span; ran += between) {
      PlannedRequest request = question("owner-1", std::to_string(ran.count()));
      request.max_tokens = 2;
      const size_t sent = simulation_->send(request);
      simulation_->run_for(6ms);
      used.insert(simulation_->router_of(sent));
      simulation_->run_for(between - 6ms);
    }
    used.erase(-1);
    return used.size();
  };
  EXPECT_EQ(routers_used(1s, 200ms), 1U) << "cool: one owner";
  routers_used(4s, 10ms);  // 100 a second: more than three routers may carry at 20 each
  EXPECT_EQ(routers_used(2s, 10ms), 3U) << "hot: all three routers";
  routers_used(16s, 400ms);
  EXPECT_EQ(routers_used(3s, 200ms), 1U) << "cool again";
}

TEST_F(FleetScenario, ANewOwnerOfAHotPrefixKnowsWhereItsBlocksAre) {
  FleetSimulationOptions options = quiet_options();
  options.router.hot_requests_per_second = 20;
  start(options);
  for (int number = 0; number < 500; ++number) {
    PlannedRequest request = question("owner-1", std::to_string(number));
    request.max_tokens = 2;
    simulation_->send(request);
    simulation_->run_for(10ms);
  }
  size_t know_it = 0;
  for (size_t router = 0; router < simulation_->router_count(); ++router) {
    know_it += simulation_->router(router).index().block_count() > 10;
  }
  EXPECT_EQ(know_it, 3U);
}

// Refusals.

TEST_F(FleetScenario, WithoutAnyEngineARefusalComesWithRetryAfterAndIsNotRun) {
  start();
  for (size_t engine = 0; engine < simulation_->engine_count(); ++engine) {
    simulation_->crash_engine(engine);
  }
  const size_t sent = simulation_->send(question("owner-1", "q"));
  ASSERT_TRUE(simulation_->run_until_ended(sent));
  EXPECT_EQ(record(sent).result.outcome, Outcome::kNotRun);
  EXPECT_GT(record(sent).result.retry_after_ms, 0);
}

TEST_F(FleetScenario, ACeilingHoldsOverTheWholeFleet) {
  FleetSimulationOptions options = quiet_options();
  control::PolicyRow row;
  row.name = "owner-1";
  row.requests_per_second = 10;
  options.table.rows.push_back(row);
  start(options);
  // 40 requests a second, each with another prefix, so that all routers get some.
  size_t sent_count = 0;
  for (int tick = 0; tick < 400; ++tick) {
    PlannedRequest request = question("owner-1", "");
    request.prompt = "prefix " + std::to_string(tick) + " " + request.prompt;
    request.max_tokens = 4;
    simulation_->send(request, static_cast<size_t>(tick % 2));
    ++sent_count;
    simulation_->run_for(25ms);
  }
  const FleetReport report = simulation_->finish();
  // 10 a second for 10 s, plus the bursts that the buckets allow.
  EXPECT_LE(report.complete, 125U);
  EXPECT_GE(report.complete, 60U) << "the ceiling is also to be usable";
  EXPECT_EQ(report.complete + report.not_run, sent_count);
}

TEST_F(FleetScenario, ABidThatWasRefusedNeverRunsLaterAtARouterThatWakes) {
  start();
  const size_t probe = send_until_streaming(question("owner-1", "who owns this prefix?"));
  const auto owner = static_cast<size_t>(simulation_->router_of(probe));
  expect_complete(probe);
  const auto set_leaving = [&](bool leaving) {
    for (size_t engine = 0; engine < simulation_->engine_count(); ++engine) {
      simulation_->engine(engine).set_leaving(leaving);
    }
    simulation_->run_for(1s);
  };
  set_leaving(true);
  simulation_->freeze_router(owner);
  const size_t sent = simulation_->send(bid("bid-1"));
  ASSERT_TRUE(simulation_->run_until_ended(sent));
  ASSERT_EQ(record(sent).result.outcome, Outcome::kNotRun);
  set_leaving(false);
  simulation_->thaw_router(owner);
  simulation_->run_for(5s);
  EXPECT_EQ(simulation_->checks().runs_of_key("bid-1"), 0U);
}

}  // namespace
}  // namespace stoat::simulation
