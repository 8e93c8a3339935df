/// What routers have said of the orders that they keep to, and when each was heard. Free of I/O.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "src/common/time.h"
#include "src/fleet/service_rollout.h"

namespace stoat::rollout {

/// The routers' word on one order.
struct RolloutConfirmation {
  bool all_applied = true;  ///< each router that may serve keeps to the step asked for, or to a later one
  size_t missing = 0;       ///< routers that do not, as far as is known
  uint64_t others_running = 0;
  uint64_t target_running = 0;
};

/// See the head of this file.
class RouterConfirmations {
 public:
  /// `alone_time`: for how long a router that reaches no member may still serve.
  explicit RouterConfirmations(Duration alone_time) : alone_time_(alone_time) {}

  void note(const std::string& router, const std::vector<fleet::AppliedRollout>& applied, TimePoint now);
  /// The router has ended, or its connection has: it is back soon or not at all.
  void on_connection_closed(const std::string& router, TimePoint now);
  /// The word of all routers on an order's step. Routers that are out of touch for good don't count.
  RolloutConfirmation confirmation_of(uint64_t rollout, uint64_t step, TimePoint now);

 private:
  struct Known {
    TimePoint heard{0};
    TimePoint closed{Duration::max()};
    std::vector<fleet::AppliedRollout> applied;
  };
  Duration alone_time_;
  std::map<std::string, Known> routers_;  ///< by name
};

}  // namespace stoat::rollout
