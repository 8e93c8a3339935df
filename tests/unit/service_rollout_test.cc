/// Service rollouts: commands in the replicated state, version selection at routers, and answer counts.
#include <gtest/gtest.h>

#include "platform/names.h"
#include "src/control/fleet_bodies.h"
#include "src/control/state_machine.h"
#include "src/rollout/answer_aggregator.h"
#include "src/rollout/router_confirmations.h"
#include "src/rollout/service_versions.h"
#include "tests/support/rollouts.h"

namespace stoat {
namespace {

using control::ResultCode;
using fleet::RolloutPhase;
using fleet::ServiceRollout;

class RolloutStateTest : public ::testing::Test {
 protected:
  RolloutStateTest() {
    fleet::PutConfiguration put;
    put.configuration.version = 1;
    put.configuration.services.resize(2);
    put.configuration.services[0].name = "s";
    put.configuration.services[1].name = "store";
    put.configuration.services[1].store_address = "127.0.0.1:1";
    state_.apply(put);
  }
  ResultCode order(const std::string& version, int64_t at_ms = 1000, const std::string& service = "s") {
    return state_.apply(fleet::StartServiceRollout{service, version, 12000, at_ms, {"v1"}}).code;
  }
  const ServiceRollout& rollout() const { return state_.fleet().rollouts().at("s"); }
  void step(RolloutPhase phase, double share) {
    state_.apply(fleet::StepServiceRollout{"s", rollout().id, rollout().step, phase, share, false, "test"});
  }
  control::StateMachine state_;
};

TEST_F(RolloutStateTest, RepeatedOrderIsIdempotent) {
  EXPECT_EQ(order("v2"), ResultCode::kOk);
  step(RolloutPhase::kTrial, 0.07);
  const ServiceRollout before = rollout();
  EXPECT_EQ(order("v2", 3000), ResultCode::kOk) << "a retry after a lost acknowledgement";
  EXPECT_EQ(rollout(), before);
}

TEST_F(RolloutStateTest, ConflictingOrderIsRefusedDuringARollout) {
  EXPECT_EQ(order("v2"), ResultCode::kOk);
  EXPECT_EQ(order("v3"), ResultCode::kRolloutInProgress);
  EXPECT_EQ(rollout().target_version, "v2");
}

TEST_F(RolloutStateTest, RolledBackVersionMayBeOrderedAgainAfterTheRetryWindow) {
  order("v2", 1000);
  const uint64_t first = rollout().id;
  step(RolloutPhase::kRolledBack, 0);
  EXPECT_EQ(order("v2", 4000), ResultCode::kOk);
  EXPECT_EQ(rollout().id, first) << "a retry after a lost acknowledgement starts no new rollout";
  EXPECT_EQ(rollout().phase, RolloutPhase::kRolledBack);
  EXPECT_EQ(order("v2", 1000 + fleet::kRepeatedOrderWindowMs), ResultCode::kOk);
  EXPECT_GT(rollout().id, first);
  EXPECT_EQ(rollout().phase, RolloutPhase::kWaiting);
}

TEST_F(RolloutStateTest, OrderingTheActiveVersionIsANoOp) {
  order("v2");
  step(RolloutPhase::kCompleted, 1);
  EXPECT_EQ(order("v2", 900000), ResultCode::kOk);
  EXPECT_EQ(rollout().phase, RolloutPhase::kCompleted);
  EXPECT_EQ(order("v1", 900000), ResultCode::kOk);
  EXPECT_EQ(rollout().phase, RolloutPhase::kWaiting);
}

TEST_F(RolloutStateTest, ServicesWithoutBackendsAreRefused) {
  EXPECT_EQ(order("v2", 1000, "nobody"), ResultCode::kInvalid);
  EXPECT_EQ(order("v2", 1000, "store"), ResultCode::kInvalid);
}

TEST_F(RolloutStateTest, StaleStepIsIgnored) {
  order("v2");
  const fleet::StepServiceRollout late{"s", rollout().id, rollout().step, RolloutPhase::kTrial, 0.07, false,
                                       ""};
  step(RolloutPhase::kRollingBack, 0);
  state_.apply(late);
  EXPECT_EQ(rollout().phase, RolloutPhase::kRollingBack)
      << "a late step of the former leader must have no effect";
  step(RolloutPhase::kRolledBack, 0);
  step(RolloutPhase::kTrial, 0.07);
  EXPECT_EQ(rollout().phase, RolloutPhase::kRolledBack) << "the rollout is final";
}

TEST_F(RolloutStateTest, SurvivesARestart) {
  order("v2");
  step(RolloutPhase::kSwitching, 1);
  control::StateMachine restored;
  ASSERT_TRUE(restored.load(state_.save()));
  EXPECT_EQ(restored.fleet().rollouts().at("s"), rollout());
}

TEST(RolloutBodies, ParsesAnOrderAndReportsAllErrors) {
  Findings none;
  const auto order = control::read_rollout_order(R"({"service":"s","target_version":"v2","duration_s":12})",
                                                 platform::body_names(), none);
  EXPECT_TRUE(none.empty());
  EXPECT_EQ(order.duration_ms, 12000);
  EXPECT_EQ(order.target_version, "v2");
  for (const char* duration : {"0", "-1", "\"x\"", "null"}) {
    Findings findings;
    control::read_rollout_order(std::string(R"({"target_version":"","duration_s":)") + duration + "}",
                                platform::body_names(), findings);
    EXPECT_EQ(findings.list().size(), 3U) << duration;
  }
  Findings broken;
  control::read_rollout_order("[", platform::body_names(), broken);
  EXPECT_FALSE(broken.empty());
}

TEST(RolloutBodies, ReportsTheState) {
  ServiceRollout rollout;
  rollout.target_version = "v2";
  EXPECT_EQ(control::rollout_body(rollout, platform::body_names()),
            R"({"state":"running","target_version":"v2"})");
  rollout.phase = RolloutPhase::kRollingBack;
  EXPECT_EQ(control::rollout_body(rollout, platform::body_names()),
            R"({"state":"running","target_version":"v2"})");
  rollout.phase = RolloutPhase::kRolledBack;
  EXPECT_EQ(control::rollout_body(rollout, platform::body_names()),
            R"({"state":"rolled_back","target_version":"v2"})");
  rollout.phase = RolloutPhase::kCompleted;
  EXPECT_EQ(control::rollout_body(rollout, platform::body_names()),
            R"({"state":"completed","target_version":"v2"})");
}

using test::make_rollout;

TEST(ServiceVersions, AllVersionsRankEqualWithoutAnOrder) {
  rollout::ServiceVersions versions;
  EXPECT_EQ(versions.limits("s", false).rank("v1"), versions.limits("s", false).rank("v2"));
  EXPECT_FALSE(versions.draw("s", "r", 0, 1s));
}

TEST(ServiceVersions, RolledBackVersionIsNeverUsed) {
  rollout::ServiceVersions versions;
  versions.store_newer({make_rollout(RolloutPhase::kRolledBack)});
  EXPECT_EQ(versions.limits("s", true).rank("v2"), rollout::VersionLimits::kNever);
  EXPECT_EQ(versions.limits("s", true).rank("v1"), 0);
}

TEST(ServiceVersions, UnorderedVersionIsOnlyAFallback) {
  rollout::ServiceVersions versions;
  versions.store_newer({make_rollout(RolloutPhase::kRolledBack)});
  EXPECT_GT(versions.limits("s", false).rank("v3"), versions.limits("s", false).rank("v1"));
  versions.store_newer({make_rollout(RolloutPhase::kCompleted, 2)});
  EXPECT_GT(versions.limits("s", false).rank("v3"), versions.limits("s", false).rank("v2"));
  EXPECT_NE(versions.limits("s", false).rank("v3"), rollout::VersionLimits::kNever);
}

TEST(ServiceVersions, OnlySampledRequestsGoToAVersionOnTrial) {
  rollout::ServiceVersions versions;
  versions.store_newer({make_rollout(RolloutPhase::kTrial)});
  versions.confirm(10s);
  EXPECT_EQ(versions.limits("s", false).rank("v2"), rollout::VersionLimits::kNever)
      << "even if all other backends have crashed: the fleet-wide exposure bound still applies";
  EXPECT_EQ(versions.limits("s", true).rank("v2"), 0);
  EXPECT_NE(versions.limits("s", true).rank("v1"), rollout::VersionLimits::kNever);
  EXPECT_TRUE(versions.draw("s", "r", 0.01, 10s));
  EXPECT_FALSE(versions.draw("s", "r", 0.99, 10s));
}

TEST(ServiceVersions, RouterWithoutConfirmationSendsNothingToAVersionOnTrial) {
  rollout::ServiceVersions versions;
  versions.store_newer({make_rollout(RolloutPhase::kTrial)});
  versions.confirm(10s);
  EXPECT_TRUE(versions.draw("s", "r", 0.01, 11s));
  EXPECT_FALSE(versions.draw("s", "r", 0.01, 13s)) << "the version may have been rolled back";
  versions.confirm(13s);
  EXPECT_TRUE(versions.draw("s", "r", 0.01, 13s));
}

TEST(ServiceVersions, LateOlderStepIsIgnored) {
  rollout::ServiceVersions versions;
  EXPECT_TRUE(versions.store_newer({make_rollout(RolloutPhase::kRollingBack, 3)}));
  EXPECT_FALSE(versions.store_newer({make_rollout(RolloutPhase::kTrial, 2)}));
  EXPECT_EQ(versions.find("s")->phase, RolloutPhase::kRollingBack);
}

TEST(ServiceVersions, RouteSharesAverageToTheTotalShare) {
  const std::vector<std::vector<double>> mixes = {{1}, {0.5, 0.5}, {0.94, 0.05, 0.01}, {0.999, 0.001}};
  for (const auto& mix : mixes) {
    double sum = 0;
    for (const double part : mix) {
      sum += part * rollout::trial_share_of_route(0.07, part, mix.size());
    }
    EXPECT_LE(sum, 0.07 + 1e-9);
    EXPECT_GT(rollout::trial_share_of_route(0.07, mix.back(), mix.size()), 0.0699)
        << "rare routes must be tested as well";
  }
}

TEST(ServiceVersions, SampleIsTheSameAtAllRoutersAndSizedForFullLoad) {
  std::vector<std::string> ids;
  ids.reserve(45);
  for (int index = 0; index < 45; ++index) {
    ids.push_back("i-" + std::to_string(index));
  }
  const ServiceRollout rollout = make_rollout(RolloutPhase::kTrial);
  const auto sample = rollout::sampled_backends(ids, rollout);
  EXPECT_EQ(sample.size(), 4U);  // 0.07 of 45, rounded up
  std::reverse(ids.begin(), ids.end());
  EXPECT_EQ(rollout::sampled_backends(ids, rollout), sample);
  ServiceRollout spread = rollout;
  spread.all_backends = true;
  EXPECT_EQ(rollout::sampled_backends(ids, spread).size(), 45U);
}

fleet::AnswerKey key_of(bool target, const std::string& engine = "") { return {5, target, engine, "r", 0}; }

TEST(AnswerCounts, IgnoresRejectedRequestsAndTimesAbandonedOnesOnlyBeyondTheObjective) {
  rollout::AnswerCounter counter;
  rollout::CountedRequest request;
  request.key = key_of(false);
  request.objective = 500ms;
  counter.begin(request, 1s);
  counter.end(request, rollout::SendOutcome::kNotRun, 2s);
  EXPECT_FALSE(counter.has_changes());
  counter.begin(request, 1s);
  counter.end(request, rollout::SendOutcome::kAbandoned, 1200ms);
  const auto early = counter.take_changes();
  ASSERT_EQ(early.size(), 1U);
  EXPECT_EQ(early[0].sums.sent, 1U);
  EXPECT_EQ(early[0].sums.times[rollout::latency_bucket(200ms)], 0U);
  counter.begin(request, 1s);
  counter.end(request, rollout::SendOutcome::kAbandoned, 3s);
  EXPECT_EQ(counter.take_changes()[0].sums.times[rollout::latency_bucket(2s)], 1U);
}

class AnswerBookTest : public ::testing::Test {
 protected:
  static fleet::AnswerCount count(uint64_t sent) {
    fleet::AnswerCount entry;
    entry.key = key_of(true, "e");
    entry.sums.sent = sent;
    return entry;
  }
  static fleet::RouterLoads loads(uint64_t start, bool anew, uint64_t sent) {
    fleet::RouterLoads message;
    message.router = "r1";
    message.start_id = start;
    message.answers_are_complete = anew;
    if (sent > 0) {
      message.answers = {count(sent)};
    }
    return message;
  }
  uint64_t total(const rollout::AnswerAggregator& aggregator) const {
    const auto found = aggregator.totals().find(key_of(true, "e"));
    return found == aggregator.totals().end() ? 0 : found->second.sent;
  }
  rollout::AnswerAggregator aggregator_;
};

TEST_F(AnswerBookTest, LaterMessageMakesUpForALostOne) {
  aggregator_.on_router(loads(1, true, 0));
  aggregator_.on_router(loads(1, false, 2));
  aggregator_.on_router(loads(1, false, 9));  // the message with count 5 was lost
  EXPECT_EQ(total(aggregator_), 9U);
  aggregator_.on_router(loads(1, true, 9));  // its feed restarts
  EXPECT_EQ(total(aggregator_), 9U);
}

TEST_F(AnswerBookTest, RouterFromAnotherMemberIsNotCountedTwice) {
  aggregator_.on_member("m2", 7, {count(10)});  // m2 has counted these already
  aggregator_.on_router(loads(1, true, 10));
  aggregator_.on_router(loads(1, false, 12));
  EXPECT_EQ(total(aggregator_), 12U);
}

TEST_F(AnswerBookTest, RestartedMemberOrRouterCountsFromZero) {
  aggregator_.on_member("m2", 7, {count(10)});
  aggregator_.on_member("m2", 8, {count(3)});
  EXPECT_EQ(total(aggregator_), 13U);
  aggregator_.on_router(loads(1, true, 0));
  aggregator_.on_router(loads(1, false, 4));
  aggregator_.on_router(loads(2, true, 0));
  aggregator_.on_router(loads(2, false, 1));
  EXPECT_EQ(total(aggregator_), 18U);
}

TEST_F(AnswerBookTest, CountsOfFinishedRolloutsAreRemoved) {
  aggregator_.on_member("m2", 7, {count(10)});
  aggregator_.retain_only({});
  EXPECT_TRUE(aggregator_.totals().empty());
}

TEST(RouterConfirmations, EveryServingRouterMustApplyTheStep) {
  rollout::RouterConfirmations confirmations(5s);
  confirmations.record_applied("r1", {{5, 3, 0, 2}}, 10s);
  confirmations.record_applied("r2", {{5, 2, 4, 0}}, 10s);
  EXPECT_FALSE(confirmations.confirmation_of(5, 3, 10s).all_applied);
  confirmations.record_applied("r2", {{5, 3, 1, 0}}, 10s);
  EXPECT_TRUE(confirmations.confirmation_of(5, 3, 10s).all_applied);
  EXPECT_EQ(confirmations.confirmation_of(5, 3, 10s).others_running, 1U);
  confirmations.record_applied("r3", {}, 10s);
  EXPECT_FALSE(confirmations.confirmation_of(5, 3, 10s).all_applied)
      << "r3 has just started and has applied nothing";
}

TEST(RouterConfirmations, EndedOrIsolatedRoutersAreIgnored) {
  rollout::RouterConfirmations confirmations(5s);
  confirmations.record_applied("r1", {{5, 2, 4, 0}}, 10s);
  confirmations.record_applied("r2", {{5, 2, 4, 0}}, 14s);
  confirmations.on_connection_closed("r2", 14s);
  EXPECT_FALSE(confirmations.confirmation_of(5, 3, 14500ms).all_applied);
  EXPECT_FALSE(confirmations.confirmation_of(5, 3, 14900ms).all_applied)
      << "r1 is out of contact but may still serve";
  EXPECT_TRUE(confirmations.confirmation_of(5, 3, 15500ms).all_applied);
}

}  // namespace
}  // namespace stoat
