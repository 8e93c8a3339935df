/// Determines when callers that were refused because of load are asked to retry: spread out at the rate at
/// which the service can take requests, and earlier for callers with less time left.
///
/// If a service that refuses many callers gave all of them the same delay, they would return together and be
/// refused again. Each tenant has its own queue of expected retries and an equal share of the rate, so a
/// tenant whose callers retry immediately and often only lengthens its own queue.
#pragma once

#include <map>
#include <string>

#include "src/common/random.h"
#include "src/common/time.h"

namespace stoat::admission {

/// A refused request.
struct RefusedRequest {
  std::string tenant;
  Duration time_left{0};     ///< until its deadline
  Duration time_to_room{0};  ///< until an engine is expected to have room for it
};

/// Assigns each refused caller the delay after which to retry. A router has one instance per service.
class RetryScheduler {
 public:
  /// `max_delay`: upper bound on the delay given to any caller.
  explicit RetryScheduler(Duration max_delay) : max_delay_(max_delay) {}

  /// Returns the delay after which the caller is asked to retry. `per_second`: the rate of requests that the
  /// service takes from this router.
  Duration schedule_retry(const RefusedRequest& request, double per_second, Random& random, TimePoint now);

 private:
  /// The callers of one tenant that are expected to retry.
  struct RetryQueue {
    double length = 0;
    double mean_time_left_s = 0;
    TimePoint updated_at{0};
  };
  void drain(double per_second, TimePoint now);

  Duration max_delay_;
  std::map<std::string, RetryQueue> retry_queues_;  ///< tenants with expected retries only
};

}  // namespace stoat::admission
