/// How a follower learns when a quorum last confirmed the leader. The follower passes the confirmation on to
/// its routers, which may accept API keys only while the confirmation is recent. The age of a confirmation
/// counts from when the request was sent, never from when the answer arrived.
#pragma once

#include <cstdint>
#include <map>
#include <optional>

#include "src/common/time.h"
#include "src/fleet/fleet_messages.h"

namespace stoat::control {

/// A quorum confirmed the leader at `at` or later, when no configuration above `version` was in force.
struct LeaderConfirmation {
  TimePoint at{0};
  uint64_t version = 0;
};

/// Numbers the requests to the leader and keeps the newest confirmation. Performs no I/O.
class LeaderConfirmationTracker {
 public:
  /// A request to be sent to the leader now.
  fleet::ConfirmationRequest make_request(TimePoint now) {
    request_times_[++last_request_number_] = now;
    if (request_times_.size() > kMaxOpenRequests) {
      request_times_.erase(request_times_.begin());
    }
    return {last_request_number_};
  }
  /// Handles the leader's answer. Answers to unknown requests are ignored.
  void on_answer(const fleet::ConfirmationResponse& answer) {
    const auto request_time = request_times_.find(answer.number);
    if (request_time == request_times_.end()) {
      return;
    }
    const TimePoint confirmed_at = request_time->second - Duration(1000 * answer.quorum_age_ms);
    request_times_.erase(request_times_.begin(), std::next(request_time));
    if (answer.quorum_age_ms >= 0 && (!newest_ || confirmed_at > newest_->at)) {
      newest_ = LeaderConfirmation{confirmed_at, answer.configuration_version};
    }
  }
  /// The newest confirmation; nullopt when there was none yet.
  const std::optional<LeaderConfirmation>& newest() const { return newest_; }

 private:
  /// Maximum number of unanswered requests that are remembered; one is sent every 100 ms.
  static constexpr size_t kMaxOpenRequests = 32;
  std::map<uint64_t, TimePoint> request_times_;  ///< time of sending, by number
  uint64_t last_request_number_ = 0;
  std::optional<LeaderConfirmation> newest_;
};

}  // namespace stoat::control
