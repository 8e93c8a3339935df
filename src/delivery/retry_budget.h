/// A bound on repeated sends over a sliding window: a share of the requests in it, and a fixed part. Each
/// router keeps within its part of the fleet's bound by itself.
#pragma once

#include <array>
#include <cstdint>

#include "src/common/time.h"

namespace stoat::delivery {

/// The fleet's bound.
struct RetryBudgetOptions {
  double ratio = 0.2;  ///< of the requests of the window
  double slack = 50;   ///< repeats allowed besides, over all routers
  Duration window = 10s;
  double caution = 0.75;  ///< the part of the bound that is used
};

/// The routers that share the fixed part of the bound, taken high rather than low: after a restart of the
/// fleet control hears of one router after the other, and repeats of routers that have gone still count for a
/// window.
class RouterCountEstimate {
 public:
  /// `settle` 0: counts hold at once, and a router that was told none is alone.
  explicit RouterCountEstimate(Duration settle)
      : settle_(settle), count_(settle > Duration(0) ? kManyRouters : 1) {}
  /// Control tells so many routers. A lower count holds once no higher one was told for the settle time.
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
  /// Before anything was told: leaves nothing of the fixed part.
  static constexpr uint32_t kManyRouters = 1000;

  Duration settle_;
  uint32_t count_;
  TimePoint since_{0};
};

/// See the head of this file. One for each service.
class RetryBudget {
 public:
  explicit RetryBudget(const RetryBudgetOptions& options) : options_(options) {}

  void on_request(TimePoint now) { ++bucket(now).requests; }
  /// Takes one repeat when the bound allows it. `routers` share the fixed part.
  bool take(TimePoint now, uint32_t routers) {
    Bucket& present = bucket(now);
    uint64_t requests = 0;
    uint64_t repeats = 0;
    for (const Bucket& entry : buckets_) {
      requests += entry.requests;
      repeats += entry.repeats;
    }
    const double bound =
        options_.caution * (options_.ratio * static_cast<double>(requests) +
                            options_.slack / static_cast<double>(routers == 0 ? 1 : routers));
    if (static_cast<double>(repeats + 1) > bound) {
      return false;
    }
    ++present.repeats;
    return true;
  }

 private:
  static constexpr size_t kBuckets = 10;
  struct Bucket {
    int64_t slot = -1;
    uint64_t requests = 0;
    uint64_t repeats = 0;
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
