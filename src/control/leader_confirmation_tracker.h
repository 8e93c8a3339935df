/// How a follower learns when the leader was last confirmed by a quorum, so that it can tell its routers:
/// their right to honour keys depends on it. The age is counted from when the question was sent, never from
/// when the answer came.
#pragma once

#include <cstdint>
#include <map>
#include <optional>

#include "src/common/time.h"
#include "src/fleet/fleet_messages.h"

namespace stoat::control {

/// At `at`, or later, a quorum confirmed the leader, and no configuration above `version` was in force.
struct LeaderConfirmation {
  TimePoint at{0};
  uint64_t version = 0;
};

/// See the head of this file. Free of I/O.
class LeaderConfirmationTracker {
 public:
  /// A question to be sent to the leader now.
  fleet::ConfirmationRequest ask(TimePoint now) {
    asked_[++last_number_] = now;
    if (asked_.size() > kMaxOpen) {
      asked_.erase(asked_.begin());
    }
    return {last_number_};
  }
  /// Takes the leader's answer. Answers to questions that are not known any more are dropped.
  void on_answer(const fleet::ConfirmationResponse& answer) {
    const auto asked = asked_.find(answer.number);
    if (asked == asked_.end()) {
      return;
    }
    const TimePoint at = asked->second - Duration(1000 * answer.quorum_age_ms);
    asked_.erase(asked_.begin(), std::next(asked));
    if (answer.quorum_age_ms >= 0 && (!newest_ || at > newest_->at)) {
      newest_ = LeaderConfirmation{at, answer.configuration_version};
    }
  }
  /// The newest confirmation known.
  const std::optional<LeaderConfirmation>& newest() const { return newest_; }

 private:
  /// Questions without an answer that are kept; one is sent each 100 ms.
  static constexpr size_t kMaxOpen = 32;
  std::map<uint64_t, TimePoint> asked_;  ///< by number
  uint64_t last_number_ = 0;
  std::optional<LeaderConfirmation> newest_;
};

}  // namespace stoat::control
