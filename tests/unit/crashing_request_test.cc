/// Requests under which back ends crash, and that come again under other ids.
#include <deque>

#include "tests/support/small_fleet.h"

namespace stoat {
namespace {

using standins::Script;
using standins::ScriptedEngine;
using standins::SeenRequest;
using test::status_of;
using Clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

/// Routers have so long to learn of the third crash from one another.
constexpr std::chrono::seconds kContact{3};
constexpr size_t kThirdCrash = 3;
/// Back ends that may still be reached after that.
constexpr size_t kMostLater = 3;

/// Back ends of "calls" that crash under each request with one body, and are back under another id a little
/// later.
class CrashingRequestTest : public test::SmallFleet {
 protected:
  static constexpr size_t kRouters = 3;
  static constexpr size_t kEngines = 6;
  static constexpr const char* kCrashing = "crashing";

  void SetUp() override {
    ASSERT_TRUE(configure(make_configuration(1)));
    ports_ = {router_port_};
    while (ports_.size() < kRouters) {
      ports_.push_back(add_router());
    }
    while (engines_.size() < kEngines) {
      start_engine();
    }
  }
  /// Starts one more back end.
  void start_engine() {
    engines_.push_back(std::make_unique<ScriptedEngine>([this](const SeenRequest& seen) -> Script {
      if (seen.body != kCrashing) {
        return test::succeed(seen);
      }
      const std::lock_guard<std::mutex> lock(mutex_);
      crashes_.push_back(Clock::now());
      return {standins::crash_step()};
    }));
    ids_.push_back("engine" + std::to_string(engines_.size()));
    add_engine(ids_.back(), "calls", *engines_.back());
  }
  /// Lets those that live send heartbeats, and puts another in the place of each one that has crashed.
  void keep_engines() {
    for (size_t number = 0; number < engines_.size(); ++number) {
      if (engines_[number] != nullptr && engines_[number]->crashed()) {
        std::erase_if(records_, [&](const auto& record) { return record.id == ids_[number]; });
        engines_[number].reset();
        start_engine();
      }
    }
    beat();
  }
  std::string send_to_router(size_t router, const std::string& id, const std::string& body) {
    test::RawClient client(ports_[router]);
    client.send(request("POST", "/safe/", id,
                        "Content-Length: " + std::to_string(body.size()) + "\r\nConnection: close\r\n") +
                body);
    return client.read_all();
  }
  std::vector<Clock::time_point> crashes() const {
    const std::lock_guard<std::mutex> lock(mutex_);
    return crashes_;
  }

  std::vector<uint16_t> ports_;
  mutable std::mutex mutex_;
  std::vector<Clock::time_point> crashes_;
  std::deque<std::unique_ptr<ScriptedEngine>> engines_;
  std::vector<std::string> ids_;  ///< of `engines_`
};

TEST_F(CrashingRequestTest, ARequestThatCrashedThreeBackEndsReachesFewOthers) {
  constexpr milliseconds kBetween{300};
  constexpr std::chrono::seconds kSpan{8};
  std::string last;
  const auto end = Clock::now() + kSpan;
  for (size_t number = 0; Clock::now() < end; ++number) {
    last = send_to_router(number % kRouters, "crashing" + std::to_string(number), kCrashing);
    std::this_thread::sleep_for(kBetween);
    keep_engines();
  }
  const std::vector<Clock::time_point> times = crashes();
  ASSERT_GE(times.size(), kThirdCrash);
  const auto bound_from = times[kThirdCrash - 1] + kContact;
  const auto later = std::count_if(times.begin(), times.end(), [&](auto at) { return at > bound_from; });
  EXPECT_LE(static_cast<size_t>(later), kMostLater);
  EXPECT_EQ(status_of(last), "HTTP/1.1 503") << last;  // it has not run
  EXPECT_NE(last.find("Retry-After: "), std::string::npos) << last;
  ports_.push_back(add_router());
  EXPECT_EQ(status_of(send_to_router(kRouters, "later router", kCrashing)), "HTTP/1.1 503");
  EXPECT_EQ(crashes().size(), times.size());
  for (size_t router = 0; router <= kRouters; ++router) {
    EXPECT_EQ(status_of(send_to_router(router, "other" + std::to_string(router), "other")), "HTTP/1.1 200");
  }
}

TEST_F(CrashingRequestTest, ABackEndThatBreaksRequestsOffAMomentBeforeItIsGoneCountsAsCrashed) {
  constexpr milliseconds kMoment{20};
  std::deque<ScriptedEngine> engines;
  for (auto& engine : engines_) {
    engine.reset();
  }
  records_.clear();
  for (size_t number = 0; number < kThirdCrash; ++number) {
    engines.emplace_back([](const SeenRequest&) -> Script { return {standins::reset_step()}; });
    add_engine("late" + std::to_string(number), "calls", engines.back());
    for (size_t tries = 0; tries < 60 && engines.back().requests().empty(); ++tries) {
      send_to_router(0, "once" + std::to_string(number) + "-" + std::to_string(tries), kCrashing);
    }
    std::this_thread::sleep_for(kMoment);
    engines.back().crash();
    std::this_thread::sleep_for(milliseconds(400));
  }
  const std::string answer = send_to_router(0, "after", kCrashing);
  EXPECT_NE(answer.find("back ends crashed under the request"), std::string::npos) << answer;
}

TEST_F(CrashingRequestTest, ARequestWhoseConnectionsBreakIsNotTakenForOneThatCrashesBackEnds) {
  for (auto& engine : engines_) {
    engine.reset();
  }
  std::atomic<bool> breaking{true};
  std::deque<ScriptedEngine> breakers;
  for (size_t number = 0; number < 4; ++number) {
    breakers.emplace_back([&breaking](const SeenRequest& seen) -> Script {
      return breaking ? Script{standins::reset_step()} : test::succeed(seen);
    });
    add_engine("breaker" + std::to_string(number), "calls", breakers.back());
  }
  for (size_t number = 0; number < 6; ++number) {
    send_to_router(0, "broken" + std::to_string(number), "body");
  }
  breaking = false;
  std::string answer;
  for (size_t tries = 0; tries < 40 && status_of(answer) != "HTTP/1.1 200"; ++tries) {
    answer = send_to_router(0, "again" + std::to_string(tries), "body");
    std::this_thread::sleep_for(milliseconds(100));  // some are ejected for a while for their failures
  }
  EXPECT_EQ(status_of(answer), "HTTP/1.1 200") << answer;
}

}  // namespace
}  // namespace stoat
