/// A retry budget over a sliding window: a share of the requests in the window, plus a fixed part. Each
/// router enforces its part of the fleet's budget without coordination.
#pragma once

#include <array>
#include <cstdint>

#include "src/common/time.h"

namespace stoat::delivery {

/// The retry budget of the whole fleet.
struct RetryBudgetOptions {
  double ratio = 0.2;  ///< retries per request in the window
  double slack = 50;   ///< retries allowed in addition, over all routers
  Duration window = 10s;
  double safety_factor = 0.75;  ///< the share of the budget that is used
};

/// Estimates the number of routers that share the fixed part of the budget, erring on the high side: after a
/// restart of the fleet, the control plane learns of one router after the other, and retries of routers that
/// no longer exist still count until they leave the window.
class RouterCountEstimate {
 public:
  /// `settle`: time for which a lower count must be reported before it applies. 0: counts apply at once, and
  /// the initial count is 1.
  explicit RouterCountEstimate(Duration settle)
      : settle_(settle), count_(settle > Duration(0) ? kAssumedRouters : 1) {}
  /// The control plane reports `count` routers. A lower count applies once no higher one was reported for the
  /// settle time.
  void note(uint32_t count, TimePoint now) {
    if (since_ == TimePoint(0)) {
      since_ = now;
    }
    if (count >= count_ || now - since_ >= settle_) {
      count_ = count;
      since_ = now;
    }
  }
  uint32_t count() const { return count_; }

 private:
  /// The initial count, so high that the share of the fixed part is close to 0.
  static constexpr uint32_t kAssumedRouters = 1000;

  Duration settle_;
  uint32_t count_;
  TimePoint since_{0};
};

/// Counts the requests and retries of one service in a sliding window, and decides whether another retry is
/// allowed. There is one instance for each service.
class RetryBudget {
 public:
  explicit RetryBudget(const RetryBudgetOptions& options) : options_(options) {}

  void on_request(TimePoint now) { ++bucket(now).requests; }
  /// Takes one retry from the budget; false if it is used up. `routers`: number that share the fixed part.
  bool take(TimePoint now, uint32_t routers) {
    Bucket& present = bucket(now);
    uint64_t requests = 0;
    uint64_t retries = 0;
    for (const Bucket& entry : buckets_) {
      requests += entry.requests;
      retries += entry.retries;
    }
    const double bound =
        options_.safety_factor * (options_.ratio * static_cast<double>(requests) +
                                  options_.slack / static_cast<double>(routers == 0 ? 1 : routers));
    if (static_cast<double>(retries + 1) > bound) {
      return false;
    }
    ++present.retries;
    return true;
  }

 private:
  static constexpr size_t kBuckets = 10;
  struct Bucket {
    int64_t slot = -1;
    uint64_t requests = 0;
    uint64_t retries = 0;
  };
  Bucket& bucket(TimePoint now) {
    const int64_t width = options_.window.count() / static_cast<int64_t>(kBuckets);
    const int64_t slot = now.count() / width;
    for (Bucket& entry : buckets_) {
      if (entry.slot <= slot - static_cast<int64_t>(kBuckets)) {
        entry = Bucket{};
      }
    }
    Bucket& present = buckets_[static_cast<size_t>(slot) % kBuckets];
    if (present.slot != slot) {
      present = Bucket{slot, 0, 0};
    }
    return present;
  }

  RetryBudgetOptions options_;
  std::array<Bucket, kBuckets> buckets_{};
};

}  // namespace stoat::delivery
