/// A service moved to another version in a whole small fleet: an operator's order, engines of two versions, a
/// router, callers, and what becomes of it. Times are some seconds, since that is what orders have.
#include "tests/support/small_fleet.h"

namespace stoat {
namespace {

using standins::Script;
using standins::ScriptedEngine;
using standins::SeenRequest;
using standins::send_step;
using standins::wait_step;
using standins::whole_answer;
using test::run_on;

constexpr int64_t kDurationMs = 6000;
constexpr std::chrono::milliseconds kBetweenRequests{4};
/// Engines tell their state so often.
constexpr Duration kHeartbeat = 300ms;

class RolloutFleetTest : public test::SmallFleet {
 protected:
  ~RolloutFleetTest() override { stop_callers(); }

  /// An engine that answers with its version. Each `fail_one_in`th answer is an error; 0: none.
  void start_engine(const std::string& version, size_t fail_one_in = 0,
                    std::chrono::milliseconds delay = std::chrono::milliseconds(2)) {
    auto answered = std::make_shared<std::atomic<size_t>>(0);
    engines_.push_back(std::make_unique<ScriptedEngine>([=](const SeenRequest& request) -> Script {
      const std::string headers = own(request.header("X-Request-Id"));
      const bool fails = fail_one_in > 0 && ++*answered % fail_one_in == 0;
      return {wait_step(delay), send_step(whole_answer(fails ? 500 : 200, headers, version))};
    }));
    auto record = std::make_shared<fleet::BackendRecord>();
    record->id = version + "-" + std::to_string(engines_.size());
    record->service = "calls";
    record->address = engines_.back()->address();
    record->zone = "z1";
    record->slots = 8;
    record->software = version;
    run_on(control_loop_, [this, record] {
      const auto beat = [this, record] {
        ++record->sequence;
        control_->heartbeat(*record);
      };
      beat();
      control_loop_.every(kHeartbeat, beat);
      return true;
    });
    ASSERT_TRUE(wait_for([&] { return router_->knows_backend(record->id); }));
  }
  std::optional<control::ResultCode> order(const std::string& version) {
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
  /// Sends requests one after the other until told to stop, and counts the answers.
  void start_callers() {
    for (int caller = 0; caller < 3; ++caller) {
      callers_.emplace_back([this, caller] {
        for (int number = 0; !stop_; ++number) {
          const std::string id = "q" + std::to_string(caller) + "-" + std::to_string(number);
          const std::string answer = ask("GET", "/safe/x", id);
          ++(test::status_of(answer) == "HTTP/1.1 200" ? good_ : other_);
          std::this_thread::sleep_for(kBetweenRequests);
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
  /// Waits until the rollout is at a phase; the time since the order, or a negative one.
  int64_t wait_for_phase(fleet::RolloutPhase wanted) {
    const auto begin = std::chrono::steady_clock::now();
    const auto since = [&] {
      return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now() - begin)
          .count();
    };
    while (since() < kDurationMs + 3000) {
      if (phase() == wanted) {
        return since();
      }
      std::this_thread::sleep_for(std::chrono::milliseconds(20));
    }
    return -1;
  }
  size_t seen(size_t engine) const { return engines_[engine]->requests().size(); }
  void prepare() {
    auto configuration = make_configuration(1);
    ASSERT_TRUE(configure(configuration));
    start_engine("v1");
    start_engine("v1");
  }

  std::vector<std::unique_ptr<ScriptedEngine>> engines_;
  std::vector<std::thread> callers_;
  std::atomic<bool> stop_{false};
  std::atomic<size_t> good_{0};
  std::atomic<size_t> other_{0};
};

TEST_F(RolloutFleetTest, AGoodVersionGetsAShareThenAllAndIsCompletedInTime) {
  prepare();
  start_callers();
  ASSERT_EQ(order("v2"), control::ResultCode::kOk);
  start_engine("v2");
  start_engine("v2");
  const int64_t took = wait_for_phase(fleet::RolloutPhase::kCompleted);
  EXPECT_GT(took, kDurationMs / 2) << "it is on trial as long as it can be";
  EXPECT_LT(took, kDurationMs);
  const size_t old_ones = seen(0) + seen(1);
  std::this_thread::sleep_for(std::chrono::milliseconds(300));
  EXPECT_EQ(seen(0) + seen(1), old_ones) << "they may stop at once";
  stop_callers();
  EXPECT_GT(good_, 100U);
  EXPECT_EQ(other_, 0U);
  EXPECT_EQ(order("v2"), control::ResultCode::kOk);
  EXPECT_EQ(phase(), fleet::RolloutPhase::kCompleted);
}

TEST_F(RolloutFleetTest, ABadVersionIsTakenBackAndGetsNothingAfterwards) {
  prepare();
  start_callers();
  ASSERT_EQ(order("v2"), control::ResultCode::kOk);
  EXPECT_EQ(order("v3"), control::ResultCode::kRolloutInProgress);
  start_engine("v2", 2);
  start_engine("v2", 2);
  const int64_t took = wait_for_phase(fleet::RolloutPhase::kRolledBack);
  EXPECT_GT(took, 0);
  EXPECT_LT(took, kDurationMs);
  const size_t new_ones = seen(2) + seen(3);
  const size_t all = new_ones + seen(0) + seen(1);
  EXPECT_LT(static_cast<double>(new_ones), 0.1 * static_cast<double>(all) + 50);
  std::this_thread::sleep_for(std::chrono::milliseconds(500));
  EXPECT_EQ(seen(2) + seen(3), new_ones);
  stop_callers();
  EXPECT_EQ(other_, 0U) << "the other version answers what the new one fails";
}

TEST_F(RolloutFleetTest, ASlowVersionIsTakenBack) {
  prepare();
  start_callers();
  ASSERT_EQ(order("v2"), control::ResultCode::kOk);
  start_engine("v2", 0, std::chrono::milliseconds(120));
  start_engine("v2", 0, std::chrono::milliseconds(120));
  EXPECT_GT(wait_for_phase(fleet::RolloutPhase::kRolledBack), 0);
  stop_callers();
  EXPECT_EQ(other_, 0U);
}

TEST_F(RolloutFleetTest, EnginesThatNeverComeLeaveEverythingAsItWas) {
  prepare();
  start_callers();
  ASSERT_EQ(order("v2"), control::ResultCode::kOk);
  const int64_t took = wait_for_phase(fleet::RolloutPhase::kRolledBack);
  EXPECT_GT(took, 0);
  EXPECT_LT(took, kDurationMs);
  stop_callers();
  EXPECT_EQ(other_, 0U);
}

TEST_F(RolloutFleetTest, WithoutAnOrderEnginesOfAllVersionsServe) {
  prepare();
  start_engine("v2");
  start_callers();
  std::this_thread::sleep_for(std::chrono::milliseconds(600));
  stop_callers();
  EXPECT_GT(seen(0), 10U);
  EXPECT_GT(seen(2), 10U);
}

}  // namespace
}  // namespace stoat
