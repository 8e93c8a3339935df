/// Routers, the leader of control, and one back end with a limit, in simulated time: messages are delayed and
/// lost, the leader changes, routers restart and freeze. Every send is noted.
#pragma once

#include <algorithm>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "src/admission/backend_limits.h"
#include "src/admission/permit_issuer.h"
#include "src/common/random.h"
#include "tests/support/delayed_actions.h"

namespace stoat::test {

/// Settings of a simulated fleet.
struct PermitFleetOptions {
  size_t routers = 7;
  double limit = 1.2;          ///< requests a second from all routers
  double demand = 4;           ///< requests a second at each router that would go to the back end
  Duration most_delay = 20ms;  ///< of a message
  double loss = 0;             ///< chance that a message is lost
  uint64_t seed = 1;
};

/// See the head of this file.
class PermitFleet {
 public:
  static constexpr Duration kWindow = 4s;

  explicit PermitFleet(const PermitFleetOptions& options) : options_(options), random_(options.seed) {
    change_leader();
    for (size_t index = 0; index < options.routers; ++index) {
      routers_.emplace_back();
      restart_router(index);
    }
  }

  void run_for(Duration span) {
    for (const TimePoint end = now_ + span; now_ < end;) {
      step();
    }
  }
  /// A router starts anew, and is told the limit with its first feed.
  void restart_router(size_t index) {
    Router& router = routers_[index];
    router.limits = std::make_unique<admission::BackendLimits>();
    router.limits->apply_shared_limit({"b", options_.limit}, now_);
    router.next_request = now_ + from_seconds(random_.exponential(1 / options_.demand));
    ++router.start;
  }
  /// A router does nothing, and reads what came in meanwhile when it goes on.
  void freeze_router(size_t index, Duration span) { routers_[index].frozen_until = now_ + span; }
  /// Another member leads at once. The former leader, cut off, still answers for as long as it may.
  void change_leader() {
    if (!leaders_.empty()) {
      leaders_.back().grants_until = now_ + admission::kPermitLease;
    }
    leaders_.emplace_back();
    leaders_.back().book.begin(now_);
  }

  /// The most sends in any window so far.
  size_t most_in_window() const { return most_; }
  size_t sent() const { return total_; }
  /// Questions that came to leaders.
  size_t questions() const { return questions_; }

 private:
  static constexpr Duration kStep = 5ms;
  struct Leader {
    admission::PermitIssuer book;
    TimePoint grants_until = TimePoint::max();
  };
  struct Router {
    std::unique_ptr<admission::BackendLimits> limits;
    TimePoint next_request{0};
    TimePoint frozen_until{0};
    uint64_t start = 0;
    std::deque<fleet::PermitResponse> inbox;
  };

  void later(std::function<void()> action) {
    if (!random_.chance(options_.loss)) {
      const Duration delay = Duration(random_.between(1000, options_.most_delay.count()));
      in_flight_.add(now_ + delay, std::move(action));
    }
  }
  void step() {
    now_ += kStep;
    in_flight_.run_due(now_);
    for (size_t index = 0; index < routers_.size(); ++index) {
      if (now_ >= routers_[index].frozen_until) {
        serve(index);
      }
    }
  }
  void serve(size_t index) {
    Router& router = routers_[index];
    for (; !router.inbox.empty(); router.inbox.pop_front()) {
      router.limits->on_answer(router.inbox.front(), now_);
    }
    for (; router.next_request <= now_;
         router.next_request += from_seconds(random_.exponential(1 / options_.demand))) {
      if (router.limits->spend("b", now_)) {
        note_send();
      } else if (router.limits->want("b", now_)) {
        ask(index);
      }
    }
  }
  void ask(size_t index) {
    const fleet::PermitRequest question = routers_[index].limits->take_permit_request(now_);
    // Some routers still take a former leader for the present one.
    const size_t leader = random_.chance(0.5) ? leaders_.size() - 1 : random_.below(leaders_.size());
    const uint64_t start = routers_[index].start;
    later([this, index, question, leader, start] {
      ++questions_;
      fleet::PermitResponse answer{question.number, {}};
      for (const fleet::PermitRequestItem& wish : question.wishes) {
        if (now_ <= leaders_[leader].grants_until) {
          const auto grant = leaders_[leader].book.ask(wish.backend, wish.per_second, wish.count, now_);
          answer.terms.push_back({wish.backend, grant.count, to_milliseconds(grant.wait + 1ms - 1us)});
        }
      }
      later([this, index, answer, start] {
        if (routers_[index].start == start) {
          routers_[index].inbox.push_back(answer);
        }
      });
    });
  }
  void note_send() {
    ++total_;
    sends_.push_back(now_);
    while (sends_.front() <= now_ - kWindow) {
      sends_.pop_front();
    }
    most_ = std::max(most_, sends_.size());
  }

  PermitFleetOptions options_;
  Random random_;
  TimePoint now_{1s};
  std::vector<Leader> leaders_;
  std::vector<Router> routers_;
  DelayedActions in_flight_;
  std::deque<TimePoint> sends_;  ///< of the last window
  size_t most_ = 0;
  size_t total_ = 0;
  size_t questions_ = 0;
};

}  // namespace stoat::test
