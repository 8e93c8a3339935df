#include "src/placement/pause_watch.h"

#include <algorithm>

namespace stoat::placement {

namespace {

/// Shares of late streams between which short prompts are kept apart more and more, in thousandths.
constexpr double kHardlyAny = 5;
constexpr double kTooMany = 30;

}  // namespace

double lane_strength(uint32_t late_permille) {
  return std::clamp((static_cast<double>(late_permille) - kHardlyAny) / (kTooMany - kHardlyAny), 0.0, 1.0);
}

}  // namespace stoat::placement
