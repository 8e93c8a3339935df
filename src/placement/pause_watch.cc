#include "src/placement/pause_watch.h"

#include <algorithm>

namespace stoat::placement {

namespace {

/// Weight of one stream: some 200 count, which a router sees within half a minute.
constexpr double kWeight = 0.005;
/// Shares of late streams between which short prompts are kept apart more and more.
constexpr double kHardlyAny = 0.005;
constexpr double kTooMany = 0.03;

}  // namespace

void PauseWatch::observe(Duration longest_pause, Duration allowed) {
  const double late = longest_pause > allowed ? 1.0 : 0.0;
  late_share_ += kWeight * (late - late_share_);
}

double PauseWatch::lane_strength() const {
  return std::clamp((late_share_ - kHardlyAny) / (kTooMany - kHardlyAny), 0.0, 1.0);
}

}  // namespace stoat::placement
