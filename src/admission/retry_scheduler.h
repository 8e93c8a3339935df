/// When callers that are refused for load are asked to come back: at the rate at which the service can take
/// them, those with less time left sooner.
///
/// Answers a service that refuses many at once: told one constant, all come back together and are refused
/// again. Each tenant has its own line and an equal part of the rate, so that one whose callers come back at
/// once and often makes only its own line longer.
#pragma once

#include <map>
#include <string>

#include "src/common/random.h"
#include "src/common/time.h"

namespace stoat::admission {

/// A request that is refused.
struct RefusedRequest {
  std::string tenant;
  Duration time_left{0};     ///< until its deadline
  Duration time_to_room{0};  ///< until an engine is expected to have room for it
};

/// See the head of this file. One for a service at a router.
class RetryScheduler {
 public:
  /// `longest`: a caller is never asked to wait longer.
  explicit RetryScheduler(Duration longest) : longest_(longest) {}

  /// When the caller is to come back, from now. `per_second`: requests that the service takes from this
  /// router.
  Duration book(const RefusedRequest& request, double per_second, Random& random, TimePoint now);

 private:
  /// The callers of one tenant that have not come back yet.
  struct Line {
    double length = 0;
    double mean_time_left_s = 0;
    TimePoint counted_at{0};
  };
  void shorten(double per_second, TimePoint now);

  Duration longest_;
  std::map<std::string, Line> lines_;  ///< of tenants that have any
};

}  // namespace stoat::admission
