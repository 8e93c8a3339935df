/// Backends that fall over when they have to turn more than a few requests away in a second.
#include <deque>
#include <mutex>
#include <thread>

#include "src/fleet/incarnation.h"
#include "tests/support/small_fleet.h"

namespace stoat {
namespace {

using standins::ReceivedRequest;
using standins::Script;
using standins::ScriptedEngine;
using Clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

/// A backend of some slots and no queue, which falls over for a while.
class BrittleBackend {
 public:
  static constexpr size_t kSlots = 8;
  static constexpr size_t kMaxRejectionsPerSecond = 5;
  static constexpr milliseconds kRunTime{200};
  static constexpr milliseconds kDownTime{2000};

  explicit BrittleBackend(bool brittle)
      : brittle_(brittle), engine_([this](const ReceivedRequest& seen) { return run(seen); }) {}
  ScriptedEngine& engine() { return engine_; }
  size_t falls() const { return falls_; }
  size_t runs() const { return runs_; }
  void set_brittle(bool brittle) { brittle_ = brittle; }
  bool down() const {
    const std::lock_guard<std::mutex> lock(mutex_);
    return Clock::now() < down_until_;
  }

 private:
  Script run(const ReceivedRequest& seen) {
    const std::string headers =
        test::engine_headers(seen) +
        (brittle_ ? "X-Brittle: " + std::to_string(kMaxRejectionsPerSecond) + "\r\n" : "");
    {
      const std::lock_guard<std::mutex> lock(mutex_);
      const auto now = Clock::now();
      if (now < down_until_) {
        return {standins::reset_step()};
      }
      if (running_ >= kSlots) {
        if (falls_over(now)) {
          return {standins::reset_step()};
        }
        return {standins::send_step(standins::full_response(503, headers + "X-Not-Run: 1\r\n", "full"))};
      }
      ++running_;
    }
    std::this_thread::sleep_for(kRunTime);
    const std::lock_guard<std::mutex> lock(mutex_);
    --running_;
    if (Clock::now() < down_until_) {
      return {standins::reset_step()};
    }
    ++runs_;
    return {standins::send_step(standins::full_response(200, headers, "body"))};
  }
  bool falls_over(Clock::time_point now) {
    std::erase_if(rejections_, [now](Clock::time_point at) { return now - at > std::chrono::seconds(1); });
    rejections_.push_back(now);
    if (!brittle_ || rejections_.size() <= kMaxRejectionsPerSecond) {
      return false;
    }
    rejections_.clear();
    down_until_ = now + kDownTime;
    ++falls_;
    return true;
  }

  std::atomic<bool> brittle_;
  mutable std::mutex mutex_;
  size_t running_ = 0;
  std::vector<Clock::time_point> rejections_;
  Clock::time_point down_until_{};
  std::atomic<size_t> falls_{0};
  std::atomic<size_t> runs_{0};
  ScriptedEngine engine_;
};

/// Some routers and three brittle backends. A backend that has fallen over comes back as a new incarnation.
class BrittleFleet : public test::SmallFleet {
 protected:
  static constexpr size_t kBackends = 3;
  /// Falls that are allowed in one time in which backends are brittle: two, and a tenth of the backends.
  static constexpr size_t kMaxFalls = 2 + kBackends / 10;

  explicit BrittleFleet(size_t routers) : routers_(routers) {}
  void SetUp() override {
    ASSERT_TRUE(configure(make_configuration(1)));
    ports_ = {router_port_};
    while (ports_.size() < routers_) {
      ports_.push_back(add_router());
    }
    for (size_t number = 0; number < kBackends; ++number) {
      backends_.push_back(std::make_unique<BrittleBackend>(true));
      add_engine(id_of(number), "calls", backends_.back()->engine());
    }
    heartbeats_ = std::thread([this] {
      constexpr milliseconds kHeartbeatInterval{500};
      while (!stopping_) {
        name_new_incarnations();
        send_engine_heartbeats();
        std::this_thread::sleep_for(kHeartbeatInterval);
      }
    });
  }
  void TearDown() override {
    stopping_ = true;
    if (heartbeats_.joinable()) {
      heartbeats_.join();
    }
    RecordProperty("falls", static_cast<int>(falls()));
    RecordProperty("runs", static_cast<int>(runs()));
  }
  /// The id of a backend's current incarnation.
  std::string id_of(size_t number) const {
    return fleet::incarnation_id("brittle" + std::to_string(number), 1 + backends_[number]->falls());
  }
  /// Gives each backend that is back after a fall a new id.
  void name_new_incarnations() {
    for (size_t number = 0; number < backends_.size(); ++number) {
      if (!backends_[number]->down()) {
        records_[number].id = id_of(number);
      }
    }
  }
  /// Sends `load` times what the backends can run, evenly over the routers.
  void send_load(double load, milliseconds span) {
    constexpr double kPerClient = 5;  // requests a second
    const double per_second = load * 1000.0 * BrittleBackend::kSlots * kBackends /
                              static_cast<double>(BrittleBackend::kRunTime.count());
    const auto clients = static_cast<size_t>(per_second / kPerClient);
    const auto begin = Clock::now();
    std::vector<std::thread> threads;
    for (size_t client = 0; client < clients; ++client) {
      threads.emplace_back([this, client, clients, begin, span] {
        const milliseconds interval(static_cast<int64_t>(1000 / kPerClient));
        auto at = begin + client * interval / clients;
        for (size_t number = 0; at < begin + span; ++number, at += interval) {
          std::this_thread::sleep_until(at);
          test::RawClient caller(ports_[client % ports_.size()]);
          caller.send(request("GET", "/safe/", "b" + std::to_string(client) + "-" + std::to_string(number),
                              "Connection: close\r\n"));
          caller.read_all();
        }
      });
    }
    for (std::thread& thread : threads) {
      thread.join();
    }
  }
  /// Lets all routers hear from the backends that they are brittle.
  void warm_up() {
    constexpr milliseconds kWarmUp{1500};
    send_load(0.3, kWarmUp);
    runs_before_ = runs();
  }
  size_t falls() const {
    size_t total = 0;
    for (const auto& backend : backends_) {
      total += backend->falls();
    }
    return total;
  }
  size_t runs() const {
    size_t total = 0;
    for (const auto& backend : backends_) {
      total += backend->runs();
    }
    return total - runs_before_;
  }

  /// Expects that the backends run most of what they can while more is asked for.
  void expect_used() {
    constexpr milliseconds kSpan{5000};
    constexpr double kMinUse = 0.8;
    warm_up();
    send_load(1.5, kSpan);
    const double can_run = static_cast<double>(kSpan.count()) / BrittleBackend::kRunTime.count() *
                           BrittleBackend::kSlots * kBackends;
    EXPECT_GE(static_cast<double>(runs()), kMinUse * can_run) << runs() << " of " << can_run;
  }

  const size_t routers_;
  std::atomic<bool> stopping_{false};
  std::thread heartbeats_;
  std::vector<uint16_t> ports_;
  size_t runs_before_ = 0;  ///< during the warm-up
  std::deque<std::unique_ptr<BrittleBackend>> backends_;
};

class BrittleBackendTest : public BrittleFleet {
 protected:
  BrittleBackendTest() : BrittleFleet(3) {}
};

/// More routers than a backend has slots.
class ManyRoutersBrittleBackendTest : public BrittleFleet {
 protected:
  ManyRoutersBrittleBackendTest() : BrittleFleet(12) {}
};

TEST_F(BrittleBackendTest, BackendsFallOverUnderMoreLoadThanTheyCanRun) {
  constexpr milliseconds kSpan{4000};
  warm_up();
  send_load(1.5, kSpan);
  EXPECT_LE(falls(), kMaxFalls);
}

TEST_F(BrittleBackendTest, BackendsIdleUnderMoreLoadThanTheyCanRun) { expect_used(); }

TEST_F(BrittleBackendTest, BackendsFallOverInBursts) {
  constexpr milliseconds kBurst{600};
  constexpr milliseconds kCalm{1500};
  warm_up();
  for (int round = 0; round < 3; ++round) {
    send_load(0.6, kCalm);
    send_load(3, kBurst);
  }
  EXPECT_LE(falls(), kMaxFalls);
}

TEST_F(ManyRoutersBrittleBackendTest, BackendsFallOverUnderMoreLoadThanTheyCanRun) {
  constexpr milliseconds kSpan{5000};
  warm_up();
  send_load(1.5, kSpan);
  EXPECT_LE(falls(), kMaxFalls);
}

TEST_F(ManyRoutersBrittleBackendTest, BackendsFallOverUnderLessLoadThanTheyCanRun) {
  constexpr milliseconds kSpan{5000};
  warm_up();
  send_load(0.85, kSpan);
  EXPECT_LE(falls(), kMaxFalls);
}

TEST_F(ManyRoutersBrittleBackendTest, BackendsIdleUnderMoreLoadThanTheyCanRun) { expect_used(); }

TEST_F(BrittleBackendTest, BackendsThatWereBrittleStayIdle) {
  constexpr milliseconds kSpan{3000};
  constexpr size_t kMinRuns = 4;  // of some 12 for each backend
  warm_up();
  for (const auto& backend : backends_) {
    backend->set_brittle(false);
  }
  std::vector<size_t> before;
  for (const auto& backend : backends_) {
    before.push_back(backend->runs());
  }
  send_load(0.1, kSpan);
  for (size_t number = 0; number < backends_.size(); ++number) {
    EXPECT_GE(backends_[number]->runs() - before[number], kMinRuns) << number;
  }
}

}  // namespace
}  // namespace stoat
