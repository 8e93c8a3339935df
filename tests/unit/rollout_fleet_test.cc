/// Rollouts of a service version in a small fleet: an operator's order, engines of two versions, a router and
/// callers. The tests run for several seconds because orders have deadlines of seconds.
#include "tests/support/small_fleet.h"

namespace stoat {
namespace {

using standins::full_response;
using standins::ReceivedRequest;
using standins::Script;
using standins::ScriptedEngine;
using standins::send_step;
using standins::wait_step;
using test::run_on;

constexpr int64_t kDurationMs = 6000;
constexpr std::chrono::milliseconds kRequestInterval{4};
/// Interval between the heartbeats of an engine.
constexpr Duration kHeartbeat = 300ms;

class RolloutFleetTest : public test::SmallFleet {
 protected:
  ~RolloutFleetTest() override { stop_callers(); }

  /// Starts an engine that answers with its version. Every `fail_one_in`th answer is an error; 0: none.
  void start_engine(const std::string& version, size_t fail_one_in = 0,
                    std::chrono::milliseconds delay = std::chrono::milliseconds(2)) {
    auto answered = std::make_shared<std::atomic<size_t>>(0);
    engines_.push_back(std::make_unique<ScriptedEngine>([=](const ReceivedRequest& request) -> Script {
      const std::string headers = engine_headers_for(request.header("X-Request-Id"));
      const bool fails = fail_one_in > 0 && ++*answered % fail_one_in == 0;
      return {wait_step(delay), send_step(full_response(fails ? 500 : 200, headers, version))};
    }));
    auto record = std::make_shared<fleet::BackendRecord>();
    record->id = version + "-" + std::to_string(engines_.size());
    record->service = "calls";
    record->address = engines_.back()->address();
    record->zone = "z1";
    record->slots = 8;
    record->software = version;
    run_on(control_loop_, [this, record] {
      const auto send_heartbeat = [this, record] {
        ++record->sequence;
        control_->receive_heartbeat(*record);
      };
      send_heartbeat();
      control_loop_.every(kHeartbeat, send_heartbeat);
      return true;
    });
    ASSERT_TRUE(wait_for([&] { return router_->knows_backend(record->id); }));
  }
  std::optional<control::ResultCode> submit_order(const std::string& version) {
    auto result = std::make_shared<std::promise<std::optional<control::ResultCode>>>();
    auto future = result->get_future();
    control_loop_.post([this, version, result] {
      control_->order_rollout({"calls", version, kDurationMs, 0, {}}, [result](const auto& taken) {
        result->set_value(taken ? std::optional(taken->code) : std::nullopt);
      });
    });
    return future.get();
  }
  fleet::RolloutPhase phase() {
    auto result = std::make_shared<std::promise<fleet::RolloutPhase>>();
    auto future = result->get_future();
    control_loop_.post([this, result] {
      control_->read_rollout("calls", [result](const auto& found) {
        const bool known = found && !found->empty();
        result->set_value(known ? found->front().phase : fleet::RolloutPhase::kWaiting);
      });
    });
    return future.get();
  }
  /// Starts callers that each send one request after the other until stopped, and counts the answers.
  void start_callers() {
    for (int caller = 0; caller < 3; ++caller) {
      callers_.emplace_back([this, caller] {
        for (int number = 0; !stop_; ++number) {
          const std::string id = "q" + std::to_string(caller) + "-" + std::to_string(number);
          const std::string answer = send_request("GET", "/safe/x", id);
          ++(test::status_of(answer) == "HTTP/1.1 200" ? succeeded_ : failed_);
          std::this_thread::sleep_for(kRequestInterval);
        }
      });
    }
  }
  void stop_callers() {
    stop_ = true;
    for (std::thread& caller : callers_) {
      caller.join();
    }
    callers_.clear();
  }
  /// Waits until the rollout reaches a phase. Returns the waiting time in milliseconds, or -1 if it never
  /// does.
  int64_t wait_for_phase(fleet::RolloutPhase expected) {
    const auto begin = std::chrono::steady_clock::now();
    const auto elapsed = [&] {
      return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now() - begin)
          .count();
    };
    while (elapsed() < kDurationMs + 3000) {
      if (phase() == expected) {
        return elapsed();
      }
      std::this_thread::sleep_for(std::chrono::milliseconds(20));
    }
    return -1;
  }
  size_t requests_at(size_t engine) const { return engines_[engine]->requests().size(); }
  void start_old_version() {
    auto configuration = make_configuration(1);
    ASSERT_TRUE(configure(configuration));
    start_engine("v1");
    start_engine("v1");
  }

  std::vector<std::unique_ptr<ScriptedEngine>> engines_;
  std::vector<std::thread> callers_;
  std::atomic<bool> stop_{false};
  std::atomic<size_t> succeeded_{0};
  std::atomic<size_t> failed_{0};
};

TEST_F(RolloutFleetTest, GoodVersionIsTriedAndCompletedBeforeTheDeadline) {
  start_old_version();
  start_callers();
  ASSERT_EQ(submit_order("v2"), control::ResultCode::kOk);
  start_engine("v2");
  start_engine("v2");
  const int64_t elapsed_ms = wait_for_phase(fleet::RolloutPhase::kCompleted);
  EXPECT_GT(elapsed_ms, kDurationMs / 2) << "the trial should last as long as possible";
  EXPECT_LT(elapsed_ms, kDurationMs);
  const size_t old_version_requests = requests_at(0) + requests_at(1);
  std::this_thread::sleep_for(std::chrono::milliseconds(300));
  EXPECT_EQ(requests_at(0) + requests_at(1), old_version_requests)
      << "the old engines got requests after completion";
  stop_callers();
  EXPECT_GT(succeeded_, 100U);
  EXPECT_EQ(failed_, 0U);
  EXPECT_EQ(submit_order("v2"), control::ResultCode::kOk);
  EXPECT_EQ(phase(), fleet::RolloutPhase::kCompleted);
}

TEST_F(RolloutFleetTest, FailingVersionIsRolledBack) {
  start_old_version();
  start_callers();
  ASSERT_EQ(submit_order("v2"), control::ResultCode::kOk);
  EXPECT_EQ(submit_order("v3"), control::ResultCode::kRolloutInProgress);
  start_engine("v2", 2);
  start_engine("v2", 2);
  const int64_t elapsed_ms = wait_for_phase(fleet::RolloutPhase::kRolledBack);
  EXPECT_GT(elapsed_ms, 0);
  EXPECT_LT(elapsed_ms, kDurationMs);
  const size_t new_version_requests = requests_at(2) + requests_at(3);
  const size_t all = new_version_requests + requests_at(0) + requests_at(1);
  EXPECT_LT(static_cast<double>(new_version_requests), 0.1 * static_cast<double>(all) + 50);
  std::this_thread::sleep_for(std::chrono::milliseconds(500));
  EXPECT_EQ(requests_at(2) + requests_at(3), new_version_requests);
  stop_callers();
  EXPECT_EQ(failed_, 0U) << "failed requests should be retried at the old version";
}

TEST_F(RolloutFleetTest, SlowVersionIsRolledBack) {
  start_old_version();
  start_callers();
  ASSERT_EQ(submit_order("v2"), control::ResultCode::kOk);
  start_engine("v2", 0, std::chrono::milliseconds(120));
  start_engine("v2", 0, std::chrono::milliseconds(120));
  EXPECT_GT(wait_for_phase(fleet::RolloutPhase::kRolledBack), 0);
  stop_callers();
  EXPECT_EQ(failed_, 0U);
}

TEST_F(RolloutFleetTest, RollsBackWithoutEnginesOfTheVersion) {
  start_old_version();
  start_callers();
  ASSERT_EQ(submit_order("v2"), control::ResultCode::kOk);
  const int64_t elapsed_ms = wait_for_phase(fleet::RolloutPhase::kRolledBack);
  EXPECT_GT(elapsed_ms, 0);
  EXPECT_LT(elapsed_ms, kDurationMs);
  stop_callers();
  EXPECT_EQ(failed_, 0U);
}

TEST_F(RolloutFleetTest, AllVersionsServeWithoutAnOrder) {
  start_old_version();
  start_engine("v2");
  start_callers();
  std::this_thread::sleep_for(std::chrono::milliseconds(600));
  stop_callers();
  EXPECT_GT(requests_at(0), 10U);
  EXPECT_GT(requests_at(2), 10U);
}

// Members and routers of an earlier build do not know rollouts: they skip the order and send as before.
TEST_F(RolloutFleetTest, AnOrderIsRefusedWhileARouterOfAnEarlierBuildIsHeard) {
  start_old_version();
  start_callers();
  EventLoop loop;
  Endpoint member;
  ASSERT_TRUE(parse_endpoint(to_string(router_settings_.link.seeds.front()), member));
  const auto earlier_router = wire::Channel::connect(
      loop, member, [&](const std::shared_ptr<wire::Channel>&, const wire::Message&) { loop.stop(); },
      [](const std::shared_ptr<wire::Channel>&) {});
  fleet::RouterStatus status;
  status.router.name = "earlier";
  status.sequence = 1;
  earlier_router->send(status);
  loop.run();
  EXPECT_EQ(submit_order("v2"), std::nullopt);
  earlier_router->close();
  EXPECT_TRUE(wait_for([this] { return submit_order("v2") == control::ResultCode::kOk; }));
  stop_callers();
}

}  // namespace
}  // namespace stoat
