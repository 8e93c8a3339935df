#include "src/rollout/router_confirmations.h"

#include <algorithm>

namespace stoat::rollout {

namespace {

/// A router whose connection has closed is back within its next status (400 ms), or has ended.
constexpr Duration kReturnTime = 1s;

}  // namespace

void RouterConfirmations::note(const std::string& router, const std::vector<fleet::AppliedRollout>& applied,
                               TimePoint now) {
  Known& known = routers_[router];
  known.heard = now;
  known.closed = Duration::max();
  known.applied = applied;
}

void RouterConfirmations::on_connection_closed(const std::string& router, TimePoint now) {
  const auto known = routers_.find(router);
  if (known != routers_.end()) {
    known->second.closed = std::min(known->second.closed, now);
  }
}

RolloutConfirmation RouterConfirmations::confirmation_of(uint64_t rollout, uint64_t step, TimePoint now) {
  std::erase_if(routers_, [&](const auto& entry) {
    const Known& known = entry.second;
    const bool ended = known.closed < now && now - known.closed > kReturnTime;
    return ended || now - known.heard > alone_time_;
  });
  RolloutConfirmation word;
  for (const auto& [name, known] : routers_) {
    const auto applied =
        std::find_if(known.applied.begin(), known.applied.end(),
                     [&](const fleet::AppliedRollout& entry) { return entry.id == rollout; });
    if (applied == known.applied.end() || applied->step < step) {
      word.all_applied = false;
      ++word.missing;
      continue;
    }
    word.others_running += applied->others_running;
    word.target_running += applied->target_running;
  }
  return word;
}

}  // namespace stoat::rollout
