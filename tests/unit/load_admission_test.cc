/// Queueing, sending and refusing requests when the load exceeds what a service's engines can take.
#include "src/admission/load_admission.h"

#include <gtest/gtest.h>

#include <limits>
#include <map>
#include <memory>
#include <set>
#include <string>

#include "src/admission/request_queue.h"
#include "src/common/random.h"
#include "src/placement/first_event_model.h"
#include "tests/support/fake_engine.h"

namespace stoat::admission {
namespace {

using test::FakeEngine;
using test::FakeRequestTimes;

constexpr Duration kObjective = 600ms;
constexpr Duration kDeadline = 4s;

Duration from_ms(double milliseconds) { return from_seconds(milliseconds / 1000); }

/// A class of requests, as in a load profile.
struct RequestKind {
  std::string tenant;
  uint32_t urgency = 0;
  double per_second = 0;
  double tokens = 0;
  double answer_ms = 0;
  Duration deadline = kDeadline;
};

/// The results for the requests of one kind.
struct Outcome {
  int asked = 0;
  int answered = 0;  ///< first event before the deadline
  int refused = 0;
  int refused_early = 0;     ///< while less than half of the slots were taken
  int within_objective = 0;  ///< first event within the objective
  Duration max_hold{0};
};

/// Simulates arrivals of several kinds of requests at routers that share engines. Each router knows its own
/// requests immediately, and those of the other routers with a delay.
class Replay {
 public:
  Replay(size_t engines, std::vector<RequestKind> kinds, uint64_t seed, size_t routers = 1,
         AdmissionThresholds limits = {})
      : kinds_(std::move(kinds)), random_(seed), limits_(limits), routers_(routers) {
    for (size_t engine = 0; engine < engines; ++engine) {
      engines_.emplace_back(kSlots, kTokensPerMs);
    }
    for (Router& router : routers_) {
      router.own.resize(engines);
      router.others.resize(engines);
    }
    for (int sample = 0; sample < 400; ++sample) {
      speed_.observe_run(kRunMs);
      speed_.observe_first_event({0, 5000, 15 + 5000 / kTokensPerMs});
    }
  }

  std::vector<Outcome> play(double until_ms) {
    served_.resize(kinds_.size());
    for (; now_ms_ < until_ms; ++now_ms_) {
      if (static_cast<int64_t>(now_ms_) % kReportIntervalMs == 0) {
        report_loads();
      }
      for (size_t kind = 0; kind < kinds_.size(); ++kind) {
        if (random_.chance(kinds_[kind].per_second / 1000)) {
          arrive(routers_[random_.below(routers_.size())], kind);
        }
      }
      for (Router& router : routers_) {
        recheck_waiting(router);
      }
    }
    return served_;
  }
  size_t still_waiting() const {
    size_t sum = 0;
    for (const Router& router : routers_) {
      sum += router.waiting.size();
    }
    return sum;
  }

  static constexpr size_t kSlots = 16;
  static constexpr double kTokensPerMs = 93;
  static constexpr double kRunMs = 300;

 private:
  /// Interval of load reports. A report becomes known when the next one is made.
  static constexpr int64_t kReportIntervalMs = 100;

  struct HeldRequest {
    size_t kind = 0;
    RequestTimes times;
    double tokens = 0;
    uint64_t number = 0;
  };
  struct Router {
    RequestQueue queue;
    std::map<uint64_t, std::shared_ptr<HeldRequest>> waiting;
    std::vector<std::multiset<double>> own;  ///< end times of own requests, by engine
    /// Number of requests of the other routers, by engine, as in the last received report.
    std::vector<double> others;
    std::vector<double> next_report;  ///< the same, as in the report not yet received
  };

  TimePoint now() const { return from_ms(now_ms_); }
  double own_outstanding(Router& router, size_t engine) const {
    auto& ends = router.own[engine];
    ends.erase(ends.begin(), ends.upper_bound(now_ms_));
    return static_cast<double>(ends.size());
  }
  void report_loads() {
    for (Router& router : routers_) {
      if (!router.next_report.empty()) {
        router.others = router.next_report;
      }
      router.next_report.clear();
      for (size_t engine = 0; engine < engines_.size(); ++engine) {
        const auto total = static_cast<double>(engines_[engine].outstanding(now_ms_));
        router.next_report.push_back(total - own_outstanding(router, engine));
      }
    }
  }
  placement::EngineQueue view(Router& router, size_t engine) {
    placement::EngineQueue queue;
    queue.slots = kSlots;
    queue.own_outstanding = static_cast<uint32_t>(own_outstanding(router, engine));
    queue.others_outstanding = static_cast<uint32_t>(router.others[engine]);
    queue.waiting_tokens = static_cast<uint64_t>(engines_[engine].waiting_tokens(now_ms_));
    return queue;
  }
  ServiceOutlook outlook(Router& router, double tokens) {
    ServiceOutlook best{Duration::max(), Duration::max(), Duration(0), 0};
    double taken = 0;
    for (size_t engine = 0; engine < engines_.size(); ++engine) {
      const placement::EngineQueue queue = view(router, engine);
      const auto forecast = placement::expect_first_event(speed_, {}, queue, static_cast<uint64_t>(tokens));
      taken += queue.own_outstanding + queue.others_outstanding;
      if (from_ms(forecast.wait_ms()) < best.wait) {
        best.wait = from_ms(forecast.wait_ms());
        best.answer = from_ms(forecast.prefill_ms + forecast.base_ms);
      }
    }
    best.long_answer = from_ms(speed_.long_answer_ms());
    best.taken_share = taken / static_cast<double>(kSlots * engines_.size());
    return best;
  }
  AdmissionVerdict ask(Router& router, const HeldRequest& request) {
    return decide(request.times, outlook(router, request.tokens), limits_, now());
  }
  void arrive(Router& router, size_t kind) {
    ++served_[kind].asked;
    auto request = std::make_shared<HeldRequest>();
    request->kind = kind;
    request->times = {now(), now() + kinds_[kind].deadline};
    request->tokens = std::min(random_.exponential(kinds_[kind].tokens), 10 * kinds_[kind].tokens);
    speed_.record_expected_answer(speed_.idle_ms(static_cast<uint64_t>(request->tokens)));
    const AdmissionVerdict verdict = ask(router, *request);
    if (verdict == AdmissionVerdict::kRefuse) {
      refuse(router, *request);
    } else if (verdict == AdmissionVerdict::kSend && router.queue.none_as_urgent(kinds_[kind].urgency)) {
      send(router, *request);
    } else {
      hold(router, request);
    }
  }
  void hold(Router& router, const std::shared_ptr<HeldRequest>& request) {
    const RequestKind& kind = kinds_[request->kind];
    const QueuedRequest queued{kind.tenant, kind.urgency, request->times.deadline,
                               kind.answer_ms + request->tokens / kTokensPerMs};
    const auto has_room = [this, &router, request] {
      return ask(router, *request) == AdmissionVerdict::kSend;
    };
    const auto leave = [this, &router, request] {
      router.waiting.erase(request->number);
      send(router, *request);
    };
    request->number = router.queue.push(queued, {has_room, leave});
    router.waiting[request->number] = request;
  }
  void recheck_waiting(Router& router) {
    router.queue.send_ready();
    const auto held = router.waiting;
    for (const auto& [number, request] : held) {
      if (now() >= wait_limit(request->times, limits_)) {
        router.queue.cancel(number);
        router.waiting.erase(number);
        ask(router, *request) == AdmissionVerdict::kRefuse ? refuse(router, *request)
                                                           : send(router, *request);
      }
    }
  }
  void refuse(Router& router, const HeldRequest& request) {
    Outcome& served = served_[request.kind];
    ++served.refused;
    served.refused_early += outlook(router, 0).taken_share < 0.5 ? 1 : 0;
  }
  void send(Router& router, const HeldRequest& request) {
    Outcome& served = served_[request.kind];
    served.max_hold = std::max(served.max_hold, now() - request.times.arrived);
    size_t best = 0;
    double best_ms = std::numeric_limits<double>::max();
    for (size_t step = 0, first = random_.below(engines_.size()); step < engines_.size(); ++step) {
      const size_t engine = (first + step) % engines_.size();
      const placement::EngineQueue queue = view(router, engine);
      const double wait_ms = placement::expect_first_event(speed_, {}, queue, 0).wait_ms() +
                             queue.own_outstanding + queue.others_outstanding;
      best = wait_ms < best_ms ? engine : best;
      best_ms = std::min(wait_ms, best_ms);
    }
    const double answer_ms = random_.exponential(kinds_[request.kind].answer_ms);
    const FakeRequestTimes run = engines_[best].enqueue(now_ms_, request.tokens, answer_ms);
    router.own[best].insert(run.end_ms);
    const Duration took = from_ms(run.first_event_ms) - request.times.arrived;
    served.answered += took <= kinds_[request.kind].deadline ? 1 : 0;
    served.within_objective += took <= kObjective ? 1 : 0;
  }

  std::vector<RequestKind> kinds_;
  Random random_;
  AdmissionThresholds limits_;
  double now_ms_ = 0;
  std::vector<FakeEngine> engines_;
  placement::ServiceSpeed speed_;
  std::vector<Router> routers_;
  std::vector<Outcome> served_;
};

double share(int part, int whole) { return static_cast<double>(part) / whole; }

/// Each engine, with 16 slots, completes about 53 such requests per second.
std::vector<RequestKind> mixed_load(double per_second) {
  return {{"t1", 1, per_second * 0.04, 3720, 250}, {"t2", 0, per_second * 0.96, 291, 250}};
}

TEST(LoadReplay, NothingWaitsOrIsRefusedBelowCapacity) {
  Replay replay(4, mixed_load(100), 1);
  for (const Outcome& served : replay.play(10000)) {
    EXPECT_EQ(served.answered, served.asked);
    EXPECT_EQ(served.max_hold, Duration(0));
  }
}

TEST(LoadReplay, RequestsAboveCapacityAreAnsweredInTimeOrRefusedAtOnce) {
  Replay replay(4, mixed_load(400), 2);
  const auto all = replay.play(30000);
  for (const Outcome& served : all) {
    EXPECT_GE(served.answered + served.refused + static_cast<int>(replay.still_waiting()),
              served.asked * 0.97);
    EXPECT_LE(served.max_hold, AdmissionThresholds{}.max_router_wait + 1ms);
    EXPECT_EQ(served.refused_early, 0);
    EXPECT_GT(served.answered, served.asked * 0.4);
  }
  // The slots are used: only the excess is refused.
  EXPECT_GT(share(all[0].answered + all[1].answered, all[0].asked + all[1].asked), 0.45);
}

/// Forty routers, none of which knows what the others have just sent, at the full capacity of twelve engines.
TEST(LoadReplay, WaitingCostsNothingWhenRoutersHaveStaleLoads) {
  const std::vector<RequestKind> kinds = {{"t1", 0, 28, 3720, 250}, {"t2", 1, 672, 291, 250}};
  AdmissionThresholds never_wait;
  never_wait.max_useful_engine_queue = Duration::max();
  const auto sent = Replay(12, kinds, 2, 40, never_wait).play(10000);
  const auto waited = Replay(12, kinds, 2, 40).play(10000);
  for (size_t kind = 0; kind < kinds.size(); ++kind) {
    EXPECT_EQ(waited[kind].refused, 0);
    EXPECT_GT(share(waited[kind].within_objective, waited[kind].asked),
              share(sent[kind].within_objective, sent[kind].asked) - 0.03);
  }
}

TEST(LoadReplay, LongPromptsAreServedAboutAsOftenAsShortOnes) {
  Replay replay(4, {{"t1", 0, 10, 20000, 250}, {"t1", 0, 200, 291, 250}}, 3);
  const auto all = replay.play(30000);
  EXPECT_GT(share(all[0].answered, all[0].asked), 0.5 * share(all[1].answered, all[1].asked));
}

TEST(LoadReplay, BurstOfOneTenantDoesNotStarveAnother) {
  Replay replay(4, {{"heavy", 0, 600, 291, 250}, {"light", 0, 20, 291, 250}}, 4);
  const auto all = replay.play(30000);
  EXPECT_GE(share(all[1].answered, all[1].asked), 0.9 * share(all[0].answered, all[0].asked));
}

TEST(LoadAdmission, RefusesOnlyRequestsThatWouldMissTheirDeadline) {
  const RequestTimes request{TimePoint(0), kDeadline};
  const AdmissionThresholds limits;
  EXPECT_EQ(decide(request, {3s, 900ms, 50ms, 2.0}, limits, 10ms), AdmissionVerdict::kWait);
  EXPECT_EQ(decide(request, {3s, 1100ms, 50ms, 2.0}, limits, 10ms), AdmissionVerdict::kRefuse);
  EXPECT_EQ(decide(request, {3600ms, 20ms, 380ms, 2.0}, limits, 10ms), AdmissionVerdict::kWait);
  EXPECT_EQ(decide(request, {3600ms, 20ms, 400ms, 2.0}, limits, 10ms), AdmissionVerdict::kRefuse);
  EXPECT_EQ(decide(request, {3600ms, 20ms, 400ms, 0.49}, limits, 10ms), AdmissionVerdict::kSend);
  EXPECT_EQ(decide(request, {150ms, 250ms, 50ms, 2.0}, limits, 10ms), AdmissionVerdict::kSend);
}

TEST(LoadAdmission, HoldsRequestsForAtMostOneReportInterval) {
  const RequestTimes request{TimePoint(0), kDeadline};
  const AdmissionThresholds limits;
  EXPECT_EQ(decide(request, {1s, 200ms, 50ms, 1.5}, limits, 99ms), AdmissionVerdict::kWait);
  EXPECT_EQ(decide(request, {1s, 200ms, 50ms, 1.5}, limits, 100ms), AdmissionVerdict::kSend);
  EXPECT_EQ(wait_limit({TimePoint(0), 60ms}, limits), TimePoint(60ms))
      << "a request never waits beyond its deadline";
}

/// Pushes requests and records the order in which they are sent.
class RequestQueueTest : public ::testing::Test {
 protected:
  void push(const std::string& name, const QueuedRequest& request) {
    numbers_[name] = queue_.push(request, {[this] { return room_ > 0; },
                                           [this, name] {
                                             --room_;
                                             sent_ += name + " ";
                                           }});
  }
  std::string send(int room) {
    room_ = room;
    sent_.clear();
    queue_.send_ready();
    return sent_;
  }
  RequestQueue queue_;
  std::map<std::string, uint64_t> numbers_;
  int room_ = 0;
  std::string sent_;
};

TEST_F(RequestQueueTest, MoreUrgentRequestsAreAlwaysSentFirst) {
  push("idle-tenant", {"b", 3, 1s, 10});
  push("urgent-late", {"a", 0, 9s, 1000});
  push("urgent-soon", {"a", 0, 2s, 1000});
  EXPECT_FALSE(queue_.none_as_urgent(3));
  EXPECT_EQ(send(1), "urgent-soon ");
  push("urgent-new", {"a", 0, 1s, 1000});
  EXPECT_EQ(send(3), "urgent-new urgent-late idle-tenant ");
  EXPECT_TRUE(queue_.none_as_urgent(9));
}

TEST_F(RequestQueueTest, LessUrgentWaitingRequestsDoNotBlockANewRequest) {
  push("low", {"a", 4, 1s, 10});
  EXPECT_TRUE(queue_.none_as_urgent(3));
  EXPECT_FALSE(queue_.none_as_urgent(4));
}

TEST_F(RequestQueueTest, TenantsShareBySlotTimeNotByRequestCount) {
  for (int number = 0; number < 12; ++number) {
    push("long", {"long", 0, 1s, 300});
    push("short", {"short", 0, 1s, 100});
  }
  const std::string sent = send(8);
  int shorts = 0;
  for (size_t at = sent.find("short"); at != std::string::npos; at = sent.find("short", at + 1)) {
    ++shorts;
  }
  EXPECT_EQ(shorts, 6);
}

TEST_F(RequestQueueTest, RequestThatLeavesIsNotSent) {
  push("gone", {"a", 0, 1s, 10});
  push("stays", {"a", 0, 2s, 10});
  queue_.cancel(numbers_["gone"]);
  EXPECT_EQ(send(5), "stays ");
  EXPECT_EQ(queue_.size(), 0U);
}

}  // namespace
}  // namespace stoat::admission
