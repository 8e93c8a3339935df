/// Leases of the slots of brittle backends: routers and leaders in simulated time, with delayed messages.
#include <gtest/gtest.h>

#include <algorithm>
#include <deque>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "src/admission/slot_issuer.h"
#include "src/admission/slot_leases.h"
#include "src/common/random.h"
#include "tests/support/delayed_actions.h"

namespace stoat {
namespace {

using admission::SlotIssuer;
using admission::SlotLeases;

/// Routers that send requests to brittle backends under leases, and their leaders.
class SlotFleet {
 public:
  struct Options {
    size_t routers = 12;
    size_t backends = 3;
    uint32_t slots = 8;       ///< of each backend
    uint32_t real_slots = 8;  ///< that a backend really has
    double load = 1.5;        ///< requests that arrive, of what the backends can run
    Duration run_time = 200ms;
    Duration max_message_delay = 20ms;
    uint64_t seed = 1;
  };
  explicit SlotFleet(const Options& options) : options_(options), random_(options.seed) {
    running_.resize(options.backends);
    elect(TimePoint(0));
    for (size_t index = 0; index < options.routers; ++index) {
      routers_.push_back(std::make_unique<Router>());
    }
  }
  void run_for(Duration span) {
    const double per_second = options_.load * static_cast<double>(options_.slots * options_.backends) /
                              to_seconds(options_.run_time);
    for (const TimePoint end = now_ + span; now_ < end; now_ += kStep) {
      actions_.run_due(now_);
      while (next_arrival_ <= now_) {
        arrive(random_.below(options_.routers));
        next_arrival_ += from_seconds(random_.exponential(1 / per_second));
      }
      if (now_ % admission::kSlotReportInterval < kStep) {
        periodic();
      }
    }
  }
  /// Another member becomes the leader.
  void change_leader() { elect(now_); }
  /// Restarts a router. Its requests are cancelled at the backends.
  void restart_router(size_t index) {
    for (auto& running : running_) {
      std::erase(running, routers_[index].get());
    }
    routers_[index] = std::make_unique<Router>();
    routers_[index]->start_id = ++last_start_id_;
  }

  size_t ran() const { return ran_; }
  size_t rejections() const { return rejections_.size(); }
  /// The most rejections by one backend within a second.
  size_t most_rejections() const {
    size_t most = 0;
    for (auto first = rejections_.begin(); first != rejections_.end(); ++first) {
      most = std::max<size_t>(most, std::count_if(first, rejections_.end(), [&](const auto& later) {
                                return later.second == first->second && later.first - first->first <= 1s;
                              }));
    }
    return most;
  }

 private:
  static constexpr Duration kStep = 1ms;
  static constexpr Duration kMaxWait = 100ms;
  struct Router {
    uint64_t start_id = 1;
    SlotLeases leases;
    std::map<std::string, uint32_t> in_use;
  };

  void elect(TimePoint now) {
    leader_ = std::make_shared<SlotIssuer>([slots = options_.slots](const std::string&) {
      return SlotIssuer::BackendInfo{slots, "s"};
    });
    leader_->start_leading(now + Duration(1));
  }
  Duration delay() {
    return Duration(static_cast<int64_t>(random_.uniform_real() *
                                         static_cast<double>(options_.max_message_delay.count())));
  }
  static std::string name(size_t backend) { return "b" + std::to_string(backend); }

  void arrive(size_t index) {
    Router* router = routers_[index].get();
    admission::LeaseRequest request;
    request.wait_until = now_ + kMaxWait;
    const size_t first = random_.below(options_.backends);
    for (size_t offset = 0; offset < options_.backends; ++offset) {
      request.backends.push_back(name((first + offset) % options_.backends));
    }
    auto id = std::make_shared<uint64_t>(0);
    const uint64_t start_id = router->start_id;
    *id = router->leases.add_request(std::move(request), [this, index, id] { use(index, *id); });
    report(index);
    actions_.add(now_ + kMaxWait, [this, index, id, start_id] {
      if (routers_[index]->start_id == start_id) {
        routers_[index]->leases.remove_request(*id);
        report(index);
      }
    });
  }
  void use(size_t index, uint64_t id) {
    Router* router = routers_[index].get();
    const std::string backend = router->leases.outcome(id).backend;
    router->leases.remove_request(id);
    if (backend.empty()) {
      return;
    }
    const size_t number = std::stoul(backend.substr(1));
    if (running_[number].size() >= options_.real_slots) {
      rejections_.emplace_back(now_, number);
      router->leases.note_rejection(backend);
      report(index);
      return;
    }
    ++router->in_use[backend];
    running_[number].push_back(router);
    const uint64_t start_id = router->start_id;
    actions_.add(now_ + options_.run_time,
                 [this, index, number, start_id] { end_run(index, number, start_id); });
  }
  void end_run(size_t index, size_t number, uint64_t start_id) {
    Router* router = routers_[index].get();
    if (router->start_id != start_id) {
      return;
    }
    ++ran_;
    running_[number].erase(std::find(running_[number].begin(), running_[number].end(), router));
    --router->in_use[name(number)];
    report(index);
  }
  void report(size_t index) {
    Router& router = *routers_[index];
    std::vector<fleet::SlotUse> in_use;
    for (const auto& [backend, slots] : router.in_use) {
      if (slots > 0) {
        in_use.push_back({backend, slots});
      }
    }
    fleet::SlotReport message = router.leases.take_report(in_use, now_);
    message.router = std::to_string(index);
    message.start_id = router.start_id;
    TimePoint& last = last_delivery_[index];
    last = std::max(last, now_ + delay());
    actions_.add(last, [this, message, leader = leader_] {
      if (leader == leader_) {
        leader->on_report(message, now_);
        answer(message.answer_wanted ? message.router : "");
      }
    });
  }
  void answer(const std::string& waiting) {
    for (const auto& answered : leader_->take_answers(waiting, now_)) {
      const size_t index = std::stoul(answered.first);
      const fleet::SlotAnswer message = answered.second;
      TimePoint& last = last_answer_[index];
      last = std::max(last, now_ + delay());
      actions_.add(last, [this, index, message] {
        if (routers_[index]->start_id == message.start_id &&
            routers_[index]->leases.on_answer(message, now_)) {
          report(index);
        }
      });
    }
  }
  void periodic() {
    leader_->expire(now_);
    answer("");
    for (size_t index = 0; index < routers_.size(); ++index) {
      report(index);
    }
  }

  const Options options_;
  Random random_;
  TimePoint now_{0};
  TimePoint next_arrival_{0};
  test::DelayedActions actions_;
  std::shared_ptr<SlotIssuer> leader_;
  std::vector<std::unique_ptr<Router>> routers_;
  std::map<size_t, TimePoint> last_delivery_;
  std::map<size_t, TimePoint> last_answer_;
  std::vector<std::vector<Router*>> running_;  ///< by backend
  std::vector<std::pair<TimePoint, size_t>> rejections_;
  uint64_t last_start_id_ = 1;
  size_t ran_ = 0;
};

class SlotLeaseTest : public ::testing::TestWithParam<size_t> {};

TEST_P(SlotLeaseTest, AllRoutersTogetherFillTheSlotsAndNeverExceedThem) {
  SlotFleet::Options options;
  options.routers = GetParam();
  options.backends = 18;
  options.slots = options.real_slots = 4;
  SlotFleet fleet(options);
  constexpr Duration kStart = 3s;
  constexpr Duration kSpan = 10s;
  fleet.run_for(kStart);
  const size_t before = fleet.ran();
  fleet.run_for(kSpan);
  const double can_run = to_seconds(kSpan) / to_seconds(options.run_time) *
                         static_cast<double>(options.slots * options.backends);
  EXPECT_EQ(fleet.rejections(), 0U);
  EXPECT_GE(static_cast<double>(fleet.ran() - before), 0.8 * can_run);
}

INSTANTIATE_TEST_SUITE_P(Routers, SlotLeaseTest, ::testing::Values(6, 30, 79, 300));

TEST(SlotLease, LeaderChangesAndRestartsOfRoutersCauseNoRejections) {
  for (uint64_t seed = 1; seed <= 20; ++seed) {
    SlotFleet::Options options;
    options.seed = seed;
    SlotFleet fleet(options);
    for (size_t round = 0; round < 4; ++round) {
      fleet.run_for(3s);
      fleet.restart_router((seed + round) % options.routers);
      fleet.run_for(1s);
      fleet.change_leader();
    }
    EXPECT_EQ(fleet.rejections(), 0U) << "seed " << seed;
  }
}

TEST(SlotLease, BackendWithLessRoomThanItsSlotsRejectsFew) {
  constexpr size_t kRejectionsAllowed = 5;
  for (uint64_t seed = 1; seed <= 20; ++seed) {
    SlotFleet::Options options;
    options.seed = seed;
    options.routers = 79;
    options.slots = 16;
    options.real_slots = 9;
    SlotFleet fleet(options);
    fleet.run_for(20s);
    EXPECT_LE(fleet.most_rejections(), kRejectionsAllowed) << "seed " << seed;
  }
}

TEST(SlotLease, SlotsOfASilentRouterAreLeasedAgain) {
  SlotIssuer issuer([](const std::string&) { return SlotIssuer::BackendInfo{1, "s"}; });
  const auto report = [](const std::string& router, std::vector<fleet::SlotUse> in_use) {
    fleet::SlotReport message{router, 1, 0, 0, std::move(in_use), {{1, 0, 3000, {"b"}}}, {}, true};
    return message;
  };
  const auto grants_to_other = [&issuer](TimePoint now) {
    return issuer.take_answers("other", now)["other"].grants.size();
  };
  issuer.on_report(report("silent", {{"b", 1}}), 1s);
  issuer.on_report(report("other", {}), 2s);
  EXPECT_EQ(grants_to_other(2s), 0U);
  issuer.expire(1s + admission::kSlotReportTimeout);
  EXPECT_EQ(grants_to_other(1s + admission::kSlotReportTimeout), 1U);
}

TEST(SlotLease, WithoutALeaderRoutersAreToldToFallBack) {
  SlotLeases leases;
  bool called = false;
  const uint64_t request = leases.add_request({0, 1s, {"b"}}, [&called] { called = true; });
  EXPECT_TRUE(leases.grants_expected(0ms));
  leases.take_report({}, 0ms);
  EXPECT_FALSE(leases.grants_expected(600ms)) << "the leader does not answer";
  leases.on_answer({true, 1, 1, {{1, request, "b"}}, {}}, 700ms);
  EXPECT_TRUE(leases.grants_expected(700ms));
  EXPECT_TRUE(called);
  EXPECT_EQ(leases.outcome(request).backend, "b");
  leases.on_answer({}, 800ms);
  EXPECT_FALSE(leases.grants_expected(810ms)) << "the member does not lead";
}

}  // namespace
}  // namespace stoat
