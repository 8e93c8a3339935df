#include "src/placement/nearest_placement.h"

#include <algorithm>
#include <cmath>
#include <optional>

namespace stoat::placement {

namespace {

/// Weight of the newest answer in the mean time of work.
constexpr double kNewestWeight = 0.05;
/// What is known of other routers' requests is some 100 ms old: the fuller an engine, the likelier its last
/// slots are taken when the request arrives. With this power a third of the slots taken counts for little.
constexpr double kFullRiskPower = 4;

}  // namespace

void CallDuration::observe(double taken_ms) { ms_ += kNewestWeight * (std::max(0.0, taken_ms) - ms_); }

double expected_wait_ms(uint32_t outstanding, uint32_t slots, double work_ms) {
  const double places = std::max(1U, slots);
  const double next_free_ms = work_ms / places;
  if (outstanding >= places) {
    return (outstanding - places + 1) * next_free_ms;
  }
  return std::pow(outstanding / places, kFullRiskPower) * next_free_ms;
}

size_t choose_nearest(const std::vector<EngineView>& engines, double work_ms, const WayCosts& ways,
                      uint64_t random) {
  std::optional<size_t> best;
  double best_ms = 0;
  for (size_t step = 0; step < engines.size(); ++step) {
    const size_t position = (step + random) % engines.size();
    const EngineView& engine = engines[position];
    if (!engine.candidate) {
      continue;
    }
    const double expected_ms =
        ways.ms(engine.distance) + expected_wait_ms(engine.outstanding, engine.slots, work_ms);
    if (!best || expected_ms < best_ms) {
      best = position;
      best_ms = expected_ms;
    }
  }
  return best.value_or(0);
}

}  // namespace stoat::placement
