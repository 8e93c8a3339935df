#include "src/rollout/router_confirmations.h"

#include <algorithm>

namespace stoat::rollout {

namespace {

/// Time to wait for a router whose connection was closed: it reconnects to send its next status, within
/// 400 ms, or has ended.
constexpr Duration kReconnectGrace = 1s;

}  // namespace

void RouterConfirmations::record_applied(const std::string& router,
                                         const std::vector<fleet::AppliedRollout>& applied, TimePoint now) {
  RouterReport& known = routers_[router];
  known.reported_at = now;
  known.closed_at = Duration::max();
  known.applied = applied;
}

void RouterConfirmations::on_connection_closed(const std::string& router, TimePoint now) {
  const auto known = routers_.find(router);
  if (known != routers_.end()) {
    known->second.closed_at = std::min(known->second.closed_at, now);
  }
}

RolloutConfirmation RouterConfirmations::confirmation_of(uint64_t rollout, uint64_t step, TimePoint now) {
  std::erase_if(routers_, [&](const auto& entry) {
    const RouterReport& known = entry.second;
    const bool ended = known.closed_at < now && now - known.closed_at > kReconnectGrace;
    return ended || now - known.reported_at > isolation_limit_;
  });
  RolloutConfirmation summary;
  for (const auto& [name, known] : routers_) {
    const auto applied =
        std::find_if(known.applied.begin(), known.applied.end(),
                     [&](const fleet::AppliedRollout& entry) { return entry.id == rollout; });
    if (applied == known.applied.end() || applied->step < step) {
      summary.all_applied = false;
      ++summary.missing;
      continue;
    }
    summary.others_running += applied->others_running;
    summary.target_running += applied->target_running;
  }
  return summary;
}

}  // namespace stoat::rollout
