// RouterCore's answers to single messages.
#include "src/router/router_core.h"

#include <gtest/gtest.h>

#include "src/common/hash.h"
#include "src/control/prompt_namespace.h"

namespace stoat::router {
namespace {

constexpr SidecarId kSidecar = 1;

class RouterCoreTest : public testing::Test {
 protected:
  RouterCoreTest() : core_(options(), 1, TimePoint(1), &metrics_) {
    control::Configuration configuration;
    configuration.version = 1;
    configuration.models["model"] = control::Model{"model", "v1", ""};
    configuration.backends["engine"] = control::Backend{
        "engine", control::BackendKind::kEngine, "model", "127.0.0.1:1", "region/zone", false};
    core_.on_configuration(configuration, TimePoint(1));
    core_.take_actions();
  }

  static RouterOptions options() {
    RouterOptions options;
    options.name = "router";
    options.zone = "region/zone";
    return options;
  }

  static wire::SubmitRequest request() {
    wire::SubmitRequest submit;
    submit.request_id = 7;
    submit.attempt = 1;
    submit.tenant = "tenant";
    submit.serves = "model";
    submit.prompt = "hello";
    submit.max_tokens = 4;
    submit.deadline_left_ms = 1000;
    return submit;
  }

  /// The end that the router has sent, if any.
  std::optional<wire::RequestFinished> take_end() {
    std::optional<wire::RequestFinished> end;
    for (const RouterAction& action : core_.take_actions()) {
      if (const auto* send = std::get_if<SendToSidecar>(&action)) {
        if (const auto* finished = std::get_if<wire::RequestFinished>(&send->message.value)) {
          end = *finished;
        }
      }
    }
    return end;
  }

  /// The control call by which the router asked for a claim; 0 when it did not.
  uint64_t take_claim_call() {
    uint64_t claim_call = 0;
    for (const RouterAction& action : core_.take_actions()) {
      if (const auto* call = std::get_if<CallControl>(&action)) {
        claim_call = call->call_id;
      }
    }
    return claim_call;
  }

  /// The last call to a back end that the router has asked for, if any.
  std::optional<StartCall> take_call() {
    std::optional<StartCall> last;
    for (const RouterAction& action : core_.take_actions()) {
      if (const auto* call = std::get_if<StartCall>(&action)) {
        last = *call;
      }
    }
    return last;
  }

  Metrics metrics_;
  RouterCore core_;
};

TEST_F(RouterCoreTest, ADrainingRouterRefusesANewRequestAsNotRun) {
  core_.start_draining();
  core_.on_submit(kSidecar, request(), TimePoint(2));
  const auto end = take_end();
  ASSERT_TRUE(end.has_value());
  EXPECT_EQ(end->outcome, wire::Outcome::kNotRun);
}

TEST_F(RouterCoreTest, ARefusalIsNeverCalledNotRunOnceAnotherRouterMayHaveRunIt) {
  core_.start_draining();
  wire::SubmitRequest submit = request();
  submit.may_have_run = true;
  core_.on_submit(kSidecar, submit, TimePoint(2));
  const auto end = take_end();
  ASSERT_TRUE(end.has_value());
  EXPECT_EQ(end->outcome, wire::Outcome::kUnknown);
}

TEST_F(RouterCoreTest, AnUnknownModelIsRefusedAtOnce) {
  wire::SubmitRequest submit = request();
  submit.serves = "other";
  core_.on_submit(kSidecar, submit, TimePoint(2));
  const auto end = take_end();
  ASSERT_TRUE(end.has_value());
  EXPECT_EQ(end->reason, wire::FailureReason::kUnknownModel);
}

TEST_F(RouterCoreTest, ARequestThatMustNotBeRepeatedWaitsForItsClaim) {
  wire::SubmitRequest submit = request();
  submit.repeatable = false;
  submit.idempotency_key = "bid";
  core_.on_submit(kSidecar, submit, TimePoint(2));
  uint64_t claim_call = 0;
  for (const RouterAction& action : core_.take_actions()) {
    EXPECT_FALSE(std::holds_alternative<StartCall>(action)) << "dispatched without a claim";
    if (const auto* call = std::get_if<CallControl>(&action)) {
      claim_call = call->call_id;
    }
  }
  ASSERT_NE(claim_call, 0U);
  core_.on_control_answer(claim_call, control::CommandResult{}, TimePoint(3));
  bool dispatched = false;
  for (const RouterAction& action : core_.take_actions()) {
    dispatched |= std::holds_alternative<StartCall>(action);
  }
  EXPECT_TRUE(dispatched);
}

TEST_F(RouterCoreTest, AStreamThatBrokeAfterItsSidecarWasLostIsLeftToWhoeverResumedIt) {
  wire::EngineLoad load;
  load.engine = "engine";
  load.incarnation = 9;
  core_.on_router_message(wire::LoadDigest{"home", {load}}, TimePoint(2));
  core_.on_submit(kSidecar, request(), TimePoint(2));
  const auto call = take_call();
  const CallId call_id = call ? call->call_id : 0;
  ASSERT_NE(call_id, 0U);
  core_.on_sidecar_gone(kSidecar, TimePoint(3));
  core_.on_call_end(call_id, CallResult{}, TimePoint(4));  // broken
  core_.tick(TimePoint(0) + 5s);
  for (const RouterAction& action : core_.take_actions()) {
    EXPECT_FALSE(std::holds_alternative<StartCall>(action)) << "takes the stream back";
    const auto* stop = std::get_if<StopCall>(&action);
    EXPECT_FALSE(stop != nullptr && stop->stop_engine) << "cancels another router's stream";
  }
}

TEST_F(RouterCoreTest, AClaimWhoseStreamWasTakenOverIsLeftToTheOtherRouterForTenSeconds) {
  wire::SubmitRequest submit = request();
  submit.repeatable = false;
  submit.idempotency_key = "bid";
  core_.on_submit(kSidecar, submit, TimePoint(2));
  const uint64_t claim_call = take_claim_call();
  core_.on_control_answer(claim_call, control::CommandResult{}, TimePoint(3));
  const auto call = take_call();
  const CallId call_id = call ? call->call_id : 0;
  core_.on_sidecar_gone(kSidecar, TimePoint(4));
  core_.on_call_end(call_id, CallResult{}, TimePoint(5));  // broken
  const auto ends_claim = [&] {
    for (const RouterAction& action : core_.take_actions()) {
      if (std::holds_alternative<CallControl>(action)) {
        return true;
      }
    }
    return false;
  };
  core_.tick(TimePoint(5) + 5s);
  EXPECT_FALSE(ends_claim()) << "the router that resumed the stream settles it";
  core_.tick(TimePoint(5) + 11s);
  EXPECT_TRUE(ends_claim()) << "nobody did";
}

TEST_F(RouterCoreTest, ARouterThatLeavesMovesOnlyTheBlocksThatItOwned) {
  const auto node = [](const std::string& name) {
    return wire::Node{name, "router", "127.0.0.1:1", "region/zone", 1, 0, false};
  };
  std::vector<wire::Node> nodes{node("router")};
  // Names are taken so that this router stays home to the engine.
  for (int number = 0; nodes.size() < 10; ++number) {
    const std::string name = "other-" + std::to_string(number);
    if (rendezvous_first(hash_bytes("engine"), {"router", name}) == "router") {
      nodes.push_back(node(name));
    }
  }
  core_.on_routers({nodes.front()}, TimePoint(2));
  cache::FeedSnapshot snapshot;
  snapshot.incarnation = 3;
  snapshot.sequence = 1;
  for (uint64_t block = 1; block <= 1000; ++block) {
    snapshot.blocks.emplace_back(hash_bytes(std::to_string(block)), 0);
  }
  core_.on_feed_snapshot("engine", snapshot, TimePoint(2));
  core_.on_routers(nodes, TimePoint(3));
  core_.take_actions();
  ASSERT_EQ(core_.followed_engines(), 1U);
  nodes.pop_back();
  core_.on_routers(nodes, TimePoint(4));
  size_t sent = 0;
  for (const RouterAction& action : core_.take_actions()) {
    if (const auto* send = std::get_if<SendToRouter>(&action)) {
      if (const auto* changes = std::get_if<wire::BlockChanges>(&send->message.value)) {
        sent += changes->size();
      }
    }
  }
  EXPECT_GT(sent, 20U);
  EXPECT_LT(sent, 250U) << "about a tenth of the blocks had the router that left as owner";
}

TEST_F(RouterCoreTest, AResendThatMayHaveRunElsewhereIsNotCalledNotRunWhenItsClaimFails) {
  wire::SubmitRequest submit = request();
  submit.repeatable = false;
  submit.idempotency_key = "bid";
  core_.on_submit(kSidecar, submit, TimePoint(2));
  const uint64_t claim_call = take_claim_call();
  // The router was frozen meanwhile; its sidecar has tried others before it came back here.
  submit.attempt = 4;
  submit.may_have_run = true;
  core_.on_submit(kSidecar, submit, TimePoint(3));
  core_.on_control_answer(claim_call, std::nullopt, TimePoint(4));
  const auto end = take_end();
  ASSERT_TRUE(end.has_value());
  EXPECT_EQ(end->outcome, wire::Outcome::kUnknown);
}

TEST_F(RouterCoreTest, AStreamWhoseLastPieceWasDeliveredIsCompleteWithoutAnotherRun) {
  wire::SubmitRequest submit = request();
  submit.attempt = 2;
  submit.may_have_run = true;
  submit.next_index = submit.max_tokens;
  submit.delivered = "all of it";
  submit.resume = {wire::ResumePoint{"engine", 9, 5, 0}};
  core_.on_submit(kSidecar, submit, TimePoint(2));
  const auto resume = take_call();
  ASSERT_TRUE(resume.has_value());
  CallResult unknown;
  unknown.end = CallEnd::kUnknownStream;
  core_.on_call_end(resume->call_id, unknown, TimePoint(3));
  std::optional<wire::RequestFinished> end;
  for (const RouterAction& action : core_.take_actions()) {
    EXPECT_FALSE(std::holds_alternative<StartCall>(action)) << "generates more than was asked for";
    if (const auto* send = std::get_if<SendToSidecar>(&action)) {
      if (const auto* finished = std::get_if<wire::RequestFinished>(&send->message.value)) {
        end = *finished;
      }
    }
  }
  ASSERT_TRUE(end.has_value());
  EXPECT_EQ(end->outcome, wire::Outcome::kComplete);
  EXPECT_EQ(end->piece_count, submit.max_tokens);
}

TEST_F(RouterCoreTest, ARefusalAfterAnEngineThatMayHaveRunItIsNotCalledNotRun) {
  control::Configuration configuration = core_.configuration();
  configuration.version = 2;
  configuration.backends["other"] =
      control::Backend{"other", control::BackendKind::kEngine, "model", "127.0.0.1:2", "region/zone", false};
  core_.on_configuration(configuration, TimePoint(2));
  core_.on_submit(kSidecar, request(), TimePoint(3));
  auto call = take_call();
  ASSERT_TRUE(call.has_value());
  core_.on_call_end(call->call_id, CallResult{}, TimePoint(4));  // broken: may have run
  CallResult refused;
  refused.end = CallEnd::kRefused;
  refused.refusal = "loading";
  std::optional<wire::RequestFinished> end;
  for (int64_t at = 5; at < 40 && !end; ++at) {
    std::vector<CallId> open;
    for (const RouterAction& action : core_.take_actions()) {
      if (const auto* started = std::get_if<StartCall>(&action)) {
        open.push_back(started->call_id);
      } else if (const auto* send = std::get_if<SendToSidecar>(&action)) {
        if (const auto* finished = std::get_if<wire::RequestFinished>(&send->message.value)) {
          end = *finished;
        }
      }
    }
    for (const CallId call_id : open) {
      core_.on_call_end(call_id, refused, TimePoint(0) + at * 1s);
    }
    core_.tick(TimePoint(0) + at * 1s);
  }
  ASSERT_TRUE(end.has_value());
  EXPECT_NE(end->outcome, wire::Outcome::kNotRun);
}

TEST_F(RouterCoreTest, AQueuedRequestFollowsAChangeOfWeights) {
  control::Configuration configuration = core_.configuration();
  configuration.version = 2;
  configuration.backends["engine"].draining = true;
  core_.on_configuration(configuration, TimePoint(2));
  core_.on_submit(kSidecar, request(), TimePoint(3));
  ASSERT_FALSE(take_call().has_value());
  configuration.version = 3;
  configuration.backends["engine"].draining = false;
  configuration.models["model"].weights_version = "v2";
  core_.on_configuration(configuration, TimePoint(4));
  const auto call = take_call();
  ASSERT_TRUE(call.has_value());
  EXPECT_EQ(call->expected_weights, "v2");
  const cache::Namespace expected =
      control::prompt_namespace(configuration, "tenant", "model", options().block_tokens);
  EXPECT_EQ(call->cache_seed, cache::namespace_seed(expected)) << "blocks of the older weights would match";
}

TEST_F(RouterCoreTest, ALowerConfigurationIsNotTaken) {
  control::Configuration older;
  older.version = 0;
  core_.on_configuration(older, TimePoint(2));
  EXPECT_EQ(core_.configuration().version, 1U);
}

}  // namespace
}  // namespace stoat::router
