/// A simulation of routers, the leaders of the control plane, and one backend with a rate limit, in simulated
/// time. Messages are delayed and lost, the leader changes, and routers restart and freeze. Every request
/// sent to the backend is recorded.
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

/// Settings of the simulation.
struct PermitFleetOptions {
  size_t routers = 7;
  double limit = 1.2;                 ///< of the backend, in requests per second from all routers together
  double demand = 4;                  ///< requests per second for the backend that arrive at each router
  Duration max_message_delay = 20ms;  ///< maximum delay of a message
  double loss = 0;                    ///< probability that a message is lost
  uint64_t seed = 1;
};

/// The simulated routers, leader and rate-limited backend, and the times of all requests sent to the backend.
class PermitFleet {
 public:
  /// Length of the window in which sent requests are counted.
  static constexpr Duration kWindow = 4s;

  explicit PermitFleet(const PermitFleetOptions& options) : options_(options), random_(options.seed) {
    change_leader();
    for (size_t index = 0; index < options.routers; ++index) {
      routers_.emplace_back();
      restart_router(index);
    }
  }

  void run_for(Duration duration) {
    for (const TimePoint end = now_ + duration; now_ < end;) {
      step();
    }
  }
  /// Restarts a router. It receives the limit from the control plane with its first update.
  void restart_router(size_t index) {
    Router& router = routers_[index];
    router.limits = std::make_unique<admission::BackendLimits>();
    router.limits->apply_shared_limit({"b", options_.limit}, now_);
    router.next_request_at = now_ + from_seconds(random_.exponential(1 / options_.demand));
    ++router.start_count;
  }
  /// Suspends a router for a time. It then processes the answers that arrived meanwhile.
  void freeze_router(size_t index, Duration duration) { routers_[index].frozen_until = now_ + duration; }
  /// Makes another member the leader immediately. The previous leader is cut off from the other members, but
  /// continues to grant permits for kPermitLease.
  void change_leader() {
    if (!leaders_.empty()) {
      leaders_.back().grants_until = now_ + admission::kPermitLease;
    }
    leaders_.emplace_back();
    leaders_.back().issuer.start_leading(now_);
  }

  /// Returns the maximum number of requests sent within any window so far.
  size_t max_in_window() const { return max_in_window_; }
  /// Returns the total number of requests sent.
  size_t sent() const { return total_sent_; }
  /// Returns the number of permit requests that reached a current or previous leader.
  size_t received_permit_requests() const { return permit_requests_; }

 private:
  static constexpr Duration kStep = 5ms;
  /// A member that is or was the leader.
  struct Leader {
    admission::PermitIssuer issuer;
    TimePoint grants_until = TimePoint::max();
  };
  struct Router {
    std::unique_ptr<admission::BackendLimits> limits;
    TimePoint next_request_at{0};  ///< when the next request for the backend arrives
    TimePoint frozen_until{0};
    uint64_t start_count = 0;  ///< number of starts so far; answers to an earlier start are dropped
    std::deque<fleet::PermitResponse> received_answers;
  };

  /// Delivers a message after a random delay by running `action`, unless the message is lost.
  void send_message(std::function<void()> action) {
    if (!random_.chance(options_.loss)) {
      const Duration delay = Duration(random_.between(1000, options_.max_message_delay.count()));
      in_flight_.add(now_ + delay, std::move(action));
    }
  }
  void step() {
    now_ += kStep;
    in_flight_.run_due(now_);
    for (size_t index = 0; index < routers_.size(); ++index) {
      if (now_ >= routers_[index].frozen_until) {
        run_router(index);
      }
    }
  }
  void run_router(size_t index) {
    Router& router = routers_[index];
    for (; !router.received_answers.empty(); router.received_answers.pop_front()) {
      router.limits->on_permit_answer(router.received_answers.front(), now_);
    }
    for (; router.next_request_at <= now_;
         router.next_request_at += from_seconds(random_.exponential(1 / options_.demand))) {
      if (router.limits->consume_permit("b", now_)) {
        record_send();
      } else if (router.limits->note_unmet_request("b", now_)) {
        request_permits(index);
      }
    }
  }
  void request_permits(size_t index) {
    const fleet::PermitRequest permit_request = routers_[index].limits->take_permit_request(now_);
    // Some routers still send to a previous leader.
    const size_t leader_index = random_.chance(0.5) ? leaders_.size() - 1 : random_.below(leaders_.size());
    const uint64_t start_count = routers_[index].start_count;
    send_message([this, index, permit_request, leader_index, start_count] {
      ++permit_requests_;
      fleet::PermitResponse answer{permit_request.number, {}};
      for (const fleet::PermitRequestItem& wanted : permit_request.items) {
        if (now_ <= leaders_[leader_index].grants_until) {
          const auto grant =
              leaders_[leader_index].issuer.issue(wanted.backend, wanted.per_second, wanted.count, now_);
          answer.grants.push_back({wanted.backend, grant.count, to_milliseconds(grant.wait + 1ms - 1us)});
        }
      }
      send_message([this, index, answer, start_count] {
        if (routers_[index].start_count == start_count) {
          routers_[index].received_answers.push_back(answer);
        }
      });
    });
  }
  void record_send() {
    ++total_sent_;
    recent_sends_.push_back(now_);
    while (recent_sends_.front() <= now_ - kWindow) {
      recent_sends_.pop_front();
    }
    max_in_window_ = std::max(max_in_window_, recent_sends_.size());
  }

  PermitFleetOptions options_;
  Random random_;
  TimePoint now_{1s};
  std::vector<Leader> leaders_;  ///< the last one is the current leader
  std::vector<Router> routers_;
  DelayedActions in_flight_;
  std::deque<TimePoint> recent_sends_;  ///< times of the requests sent within the last window
  size_t max_in_window_ = 0;
  size_t total_sent_ = 0;
  size_t permit_requests_ = 0;
};

}  // namespace stoat::test
