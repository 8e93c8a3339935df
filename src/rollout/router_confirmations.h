/// Tracks which rollout steps each router has applied. Performs no I/O.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "src/common/time.h"
#include "src/fleet/service_rollout.h"

namespace stoat::rollout {

/// Summary of the routers' reports on one rollout.
struct RolloutConfirmation {
  bool all_applied = true;      ///< every router that may still serve has applied the step or a later one
  size_t missing = 0;           ///< number of known routers that have not applied it
  uint64_t others_running = 0;  ///< requests in progress at other versions
  uint64_t target_running = 0;  ///< requests in progress at the target version
};

/// The latest report of each router.
class RouterConfirmations {
 public:
  /// `isolation_limit`: how long a router without contact to any member may keep serving.
  explicit RouterConfirmations(Duration isolation_limit) : isolation_limit_(isolation_limit) {}

  void record_applied(const std::string& router, const std::vector<fleet::AppliedRollout>& applied,
                      TimePoint now);
  /// The router's connection was closed: it either reconnects soon or has ended.
  void on_connection_closed(const std::string& router, TimePoint now);
  /// Summarizes the reports on a step of a rollout. Routers that have ended, or have been out of contact for
  /// longer than the isolation limit, are ignored.
  RolloutConfirmation confirmation_of(uint64_t rollout, uint64_t step, TimePoint now);

 private:
  struct RouterReport {
    TimePoint reported_at{0};
    TimePoint closed_at{Duration::max()};
    std::vector<fleet::AppliedRollout> applied;
  };
  Duration isolation_limit_;
  std::map<std::string, RouterReport> routers_;  ///< by name
};

}  // namespace stoat::rollout
