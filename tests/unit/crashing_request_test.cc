/// Quarantine of requests that crash backends and are sent again under other ids.
#include <deque>
#include <map>

#include "tests/support/small_fleet.h"

namespace stoat {
namespace {

using standins::ReceivedRequest;
using standins::Script;
using standins::ScriptedEngine;
using test::status_of;
using Clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

/// Time within which all routers must learn of the third crash.
constexpr std::chrono::seconds kCrashPropagationTime{3};
constexpr size_t kThirdCrash = 3;
/// Crashes that are tolerated after that.
constexpr size_t kMaxLaterCrashes = 3;

/// Three routers and six backends of the service "calls". A backend crashes under each request with the
/// body kCrashing, and is replaced by one with another id a little later.
class CrashingRequestTest : public test::SmallFleet {
 protected:
  static constexpr size_t kRouters = 3;
  static constexpr size_t kEngines = 6;
  static constexpr const char* kCrashing = "crashing";
  static constexpr milliseconds kNoAnswerWait{5000};  ///< before a crashed backend resets a connection

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
  /// Starts one more backend.
  void start_engine() {
    const size_t number = engines_.size();
    engines_.push_back(
        std::make_unique<ScriptedEngine>([this, number](const ReceivedRequest& seen) -> Script {
          const std::lock_guard<std::mutex> lock(mutex_);
          if (listener_close_times_.count(number) > 0) {
            return {standins::wait_step(kNoAnswerWait), standins::reset_step()};
          }
          if (seen.body != kCrashing) {
            return test::succeed(seen);
          }
          crashes_.push_back(Clock::now());
          if (listener_close_delay_ == milliseconds(0)) {
            return {standins::wait_step(crash_delay_), standins::crash_step()};
          }
          listener_close_times_[number] = Clock::now() + listener_close_delay_;
          return {standins::reset_step()};
        }));
    ids_.push_back("engine" + std::to_string(engines_.size()));
    add_engine(ids_.back(), "calls", *engines_.back());
  }
  /// Closes the listeners of crashed backends whose close time has passed.
  void close_due_listeners() {
    const std::lock_guard<std::mutex> lock(mutex_);
    for (const auto& [number, closes_at] : listener_close_times_) {
      if (engines_[number] != nullptr && Clock::now() >= closes_at) {
        engines_[number]->crash();
      }
    }
  }
  /// Sends the heartbeats of live backends, and replaces each crashed one.
  void replace_crashed_engines() {
    close_due_listeners();
    for (size_t number = 0; number < engines_.size(); ++number) {
      if (engines_[number] != nullptr && engines_[number]->crashed()) {
        std::erase_if(records_, [&](const auto& record) { return record.id == ids_[number]; });
        engines_[number].reset();
        start_engine();
      }
    }
    send_engine_heartbeats();
  }
  std::string send_to_router(size_t router, const std::string& id, const std::string& body) {
    test::RawClient client(ports_[router]);
    client.send(request("POST", "/safe/", id,
                        "Content-Length: " + std::to_string(body.size()) + "\r\nConnection: close\r\n") +
                body);
    return client.read_all();
  }
  /// Sends the crashing request to the routers in turn, at this interval, and returns the last response.
  std::string send_crashing_for(std::chrono::seconds span, milliseconds interval) {
    std::string last;
    const auto end = Clock::now() + span;
    for (size_t number = 0; Clock::now() < end; ++number) {
      last = send_to_router(number % kRouters, "crashing" + std::to_string(number), kCrashing);
      std::this_thread::sleep_for(interval);
      replace_crashed_engines();
    }
    return last;
  }
  std::vector<Clock::time_point> crashes() const {
    const std::lock_guard<std::mutex> lock(mutex_);
    return crashes_;
  }

  std::vector<uint16_t> ports_;
  milliseconds crash_delay_{0};           ///< from the arrival of the request to the crash
  milliseconds listener_close_delay_{0};  ///< how long listeners accept connections after a crash
  mutable std::mutex mutex_;
  std::map<size_t, Clock::time_point> listener_close_times_;  ///< by index in `engines_`
  std::vector<Clock::time_point> crashes_;
  std::deque<std::unique_ptr<ScriptedEngine>> engines_;
  std::vector<std::string> ids_;  ///< of `engines_`
};

TEST_F(CrashingRequestTest, RequestThatCrashedThreeBackEndsReachesFewOthers) {
  constexpr milliseconds kBetween{300};
  constexpr std::chrono::seconds kSpan{8};
  const std::string last = send_crashing_for(kSpan, kBetween);
  const std::vector<Clock::time_point> times = crashes();
  ASSERT_GE(times.size(), kThirdCrash);
  const auto bound_from = times[kThirdCrash - 1] + kCrashPropagationTime;
  const auto later = std::count_if(times.begin(), times.end(), [&](auto at) { return at > bound_from; });
  EXPECT_LE(static_cast<size_t>(later), kMaxLaterCrashes);
  EXPECT_EQ(status_of(last), "HTTP/1.1 503") << last;  // refused by the router without being sent
  EXPECT_NE(last.find("Retry-After: "), std::string::npos) << last;
  ports_.push_back(add_router());
  EXPECT_EQ(status_of(send_to_router(kRouters, "later router", kCrashing)), "HTTP/1.1 503");
  EXPECT_EQ(crashes().size(), times.size());
  for (size_t router = 0; router <= kRouters; ++router) {
    EXPECT_EQ(status_of(send_to_router(router, "other" + std::to_string(router), "other")), "HTTP/1.1 200");
  }
}

// Guards against missing a crash while a probe of the silent backend is still open.
TEST_F(CrashingRequestTest, CrashesDuringAProbeOfASilentBackEndAreCounted) {
  crash_delay_ = milliseconds(1050);  // after the first probe has connected, before it ends
  constexpr size_t kSends = 10;
  std::string last;
  for (size_t number = 0; number < kSends; ++number) {
    last = send_to_router(number % kRouters, "crashing" + std::to_string(number), kCrashing);
    std::this_thread::sleep_for(milliseconds(300));
    replace_crashed_engines();
  }
  const size_t replaced = engines_.size() - kEngines;  // one for each crash
  EXPECT_LE(replaced, kThirdCrash);
  EXPECT_NE(last.find("back ends crashed under the request"), std::string::npos) << last;
}

// Guards against missing a crash while the backend's listener still accepts connections.
TEST_F(CrashingRequestTest, CrashesAreCountedWhileTheListenerStillAcceptsConnections) {
  listener_close_delay_ = milliseconds(700);
  constexpr milliseconds kBetween{350};
  constexpr std::chrono::seconds kSpan{7};
  const std::string last = send_crashing_for(kSpan, kBetween);
  EXPECT_LE(crashes().size(), kThirdCrash);
  EXPECT_EQ(status_of(last), "HTTP/1.1 503") << last;  // refused by the router without being sent
  for (size_t router = 0; router < kRouters; ++router) {
    EXPECT_EQ(status_of(send_to_router(router, "other" + std::to_string(router), "other")), "HTTP/1.1 200");
  }
}

// Guards against refusing a suspect until the next permit when the backend chosen for it does not accept
// connections.
TEST_F(CrashingRequestTest, SuspectIsSentToAnotherBackEndWithTheSamePermitWhenTheConnectionFails) {
  send_to_router(0, "first", kCrashing);  // retried once: two crashes
  ASSERT_EQ(crashes().size(), admission::kSuspectCrashes);
  std::this_thread::sleep_for(milliseconds(400));
  size_t alive = 0;
  for (auto& engine : engines_) {
    alive += engine->crashed() ? 0 : 1;
    if (!engine->crashed() && alive > 1) {
      engine->crash();  // still listed by the routers
    }
  }
  constexpr size_t kMaxTries = 30;
  std::string answer = "back ends crashed under the request";
  for (size_t tries = 0;
       tries < kMaxTries && answer.find("back ends crashed under the request") != std::string::npos;
       ++tries) {
    std::this_thread::sleep_for(milliseconds(200));
    send_engine_heartbeats();  // includes the crashed backends
    answer =
        send_to_router(1, "trial" + std::to_string(tries), kCrashing);  // refused until there is a permit
  }
  EXPECT_EQ(crashes().size(), kThirdCrash) << "the only live back end was not tried";
}

TEST_F(CrashingRequestTest, BackEndThatResetsConnectionsShortlyBeforeItsListenerClosesCountsAsCrashed) {
  constexpr milliseconds kListenerCloseDelay{20};
  std::deque<ScriptedEngine> engines;
  for (auto& engine : engines_) {
    engine.reset();
  }
  records_.clear();
  for (size_t number = 0; number < kThirdCrash; ++number) {
    engines.emplace_back([](const ReceivedRequest&) -> Script { return {standins::reset_step()}; });
    add_engine("late" + std::to_string(number), "calls", engines.back());
    for (size_t tries = 0; tries < 60 && engines.back().requests().empty(); ++tries) {
      send_to_router(0, "once" + std::to_string(number) + "-" + std::to_string(tries), kCrashing);
    }
    std::this_thread::sleep_for(kListenerCloseDelay);
    engines.back().crash();
    std::this_thread::sleep_for(milliseconds(400));
  }
  const std::string answer = send_to_router(0, "after", kCrashing);
  EXPECT_NE(answer.find("back ends crashed under the request"), std::string::npos) << answer;
}

TEST_F(CrashingRequestTest, BrokenConnectionsWithoutCrashesDoNotQuarantineTheRequest) {
  for (auto& engine : engines_) {
    engine.reset();
  }
  std::atomic<bool> breaking{true};
  std::deque<ScriptedEngine> breakers;
  for (size_t number = 0; number < 4; ++number) {
    breakers.emplace_back([&breaking](const ReceivedRequest& seen) -> Script {
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
