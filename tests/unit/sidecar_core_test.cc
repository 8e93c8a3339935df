// SidecarCore's answers to single messages.
#include "src/sidecar/sidecar_core.h"

#include <gtest/gtest.h>

namespace stoat::sidecar {
namespace {

class SidecarCoreTest : public testing::Test {
 protected:
  SidecarCoreTest() : core_(options(), 1, &metrics_) {
    control::Configuration configuration;
    configuration.version = 1;
    core_.on_configuration(configuration);
    core_.on_routers({{"router-1", "router", "127.0.0.1:1", "region/zone", 1, 0, false},
                      {"router-2", "router", "127.0.0.1:2", "region/zone", 2, 0, false}});
  }

  static SidecarOptions options() {
    SidecarOptions options;
    options.zone = "region/zone";
    return options;
  }

  /// Sends a request and returns what went to a router.
  wire::SubmitRequest send(bool repeatable) {
    CallerRequest caller;
    caller.tenant = "tenant";
    caller.serves = "model";
    caller.prompt = "hello";
    caller.repeatable = repeatable;
    core_.on_caller(1, caller, TimePoint(1));
    return last_submit();
  }

  wire::SubmitRequest last_submit() {
    wire::SubmitRequest submit;
    pieces_.clear();
    for (const SidecarAction& action : core_.take_actions()) {
      if (const auto* to_router = std::get_if<SendToRouter>(&action)) {
        if (const auto* sent = std::get_if<wire::SubmitRequest>(&to_router->message.value)) {
          submit = *sent;
          router_ = to_router->router;
        }
      } else if (const auto* piece = std::get_if<PieceToCaller>(&action)) {
        pieces_ += piece->text;
      } else if (const auto* end = std::get_if<EndToCaller>(&action)) {
        end_ = end->finished;
      }
    }
    return submit;
  }

  void piece(uint64_t request_id, uint32_t attempt, uint32_t index, const std::string& text) {
    core_.on_router_message(router_, wire::StreamPiece{request_id, attempt, index, text}, TimePoint(2));
  }

  Metrics metrics_;
  SidecarCore core_;
  std::string router_;
  std::string pieces_;
  std::optional<wire::RequestFinished> end_;
};

TEST_F(SidecarCoreTest, APieceOfAnEarlierAttemptNeverReachesTheCaller) {
  const wire::SubmitRequest first = send(true);
  core_.on_router_lost(router_, TimePoint(2));
  const wire::SubmitRequest second = last_submit();
  ASSERT_EQ(second.attempt, first.attempt + 1);
  piece(first.request_id, first.attempt, 0, "late");
  last_submit();
  EXPECT_EQ(pieces_, "");
  piece(first.request_id, second.attempt, 0, "right");
  last_submit();
  EXPECT_EQ(pieces_, "right");
}

TEST_F(SidecarCoreTest, AStreamWithAMissingPieceIsResumedNotPassedOn) {
  const wire::SubmitRequest submit = send(true);
  piece(submit.request_id, submit.attempt, 0, "a");
  piece(submit.request_id, submit.attempt, 2, "c");
  const wire::SubmitRequest again = last_submit();
  EXPECT_EQ(pieces_, "a");
  EXPECT_EQ(again.next_index, 1U);
}

TEST_F(SidecarCoreTest, AStreamThatEndsTooEarlyIsNotCalledComplete) {
  const wire::SubmitRequest submit = send(true);
  piece(submit.request_id, submit.attempt, 0, "a");
  wire::RequestFinished finished;
  finished.request_id = submit.request_id;
  finished.attempt = submit.attempt;
  finished.piece_count = 2;
  core_.on_router_message(router_, finished, TimePoint(2));
  last_submit();
  EXPECT_FALSE(end_.has_value());
}

TEST_F(SidecarCoreTest, ARequestThatMustNotBeRepeatedGetsAKeyOfItsOwn) {
  EXPECT_FALSE(send(false).idempotency_key.empty());
}

TEST_F(SidecarCoreTest, ARouterOfAnotherRegionIsNeverChosenWhileTheOwnRegionHasOne) {
  core_.on_routers({{"far-1", "router", "127.0.0.1:1", "elsewhere/zone", 1, 0, false},
                    {"far-2", "router", "127.0.0.1:2", "elsewhere/zone", 2, 0, false},
                    {"near", "router", "127.0.0.1:3", "region/zone", 3, 0, false}});
  for (int request = 0; request < 50; ++request) {
    EXPECT_NE(send(true).request_id, 0U);
    EXPECT_EQ(router_, "near");
  }
}

TEST_F(SidecarCoreTest, ARouterOfAnotherRegionIsChosenWhenTheOwnRegionHasNone) {
  core_.on_routers({{"far", "router", "127.0.0.1:1", "elsewhere/zone", 1, 0, false}});
  EXPECT_NE(send(true).request_id, 0U);
  EXPECT_EQ(router_, "far");
}

TEST_F(SidecarCoreTest, ARequestGoesToTheRegionThatServesItsModel) {
  control::Configuration configuration;
  configuration.version = 2;
  configuration.backends["engine"] = {
      "engine", control::BackendKind::kEngine, "model", "127.0.0.1:9", "elsewhere/zone", false};
  core_.on_configuration(configuration);
  core_.on_routers({{"far", "router", "127.0.0.1:1", "elsewhere/zone", 1, 0, false},
                    {"near", "router", "127.0.0.1:3", "region/zone", 3, 0, false}});
  EXPECT_NE(send(true).request_id, 0U);
  EXPECT_EQ(router_, "far");
}

}  // namespace
}  // namespace stoat::sidecar
