#include "src/placement/nearest_placement.h"

#include <algorithm>
#include <cmath>
#include <optional>

namespace stoat::placement {

namespace {

/// Weight of the newest response in the moving average of the call duration.
constexpr double kNewestWeight = 0.05;
/// The number of other routers' requests is known with a delay of about 100 ms, so the fuller an engine is,
/// the more likely its last slots are taken when the request arrives. With this exponent, an engine with a
/// third of its slots taken counts as nearly free.
constexpr double kFullRiskPower = 4;

}  // namespace

void CallDuration::observe(double taken_ms) { ms_ += kNewestWeight * (std::max(0.0, taken_ms) - ms_); }

double expected_wait_ms(uint32_t outstanding, uint32_t slots, double mean_call_ms) {
  const double slot_count = std::max(1U, slots);
  const double next_free_ms = mean_call_ms / slot_count;
  if (outstanding >= slot_count) {
    return (outstanding - slot_count + 1) * next_free_ms;
  }
  return std::pow(outstanding / slot_count, kFullRiskPower) * next_free_ms;
}

size_t choose_nearest(const std::vector<EngineView>& engines, double mean_call_ms,
                      const DistanceCosts& distance_costs, uint64_t random) {
  std::optional<size_t> best;
  double best_ms = 0;
  for (size_t step = 0; step < engines.size(); ++step) {
    const size_t position = (step + random) % engines.size();
    const EngineView& engine = engines[position];
    if (!engine.candidate) {
      continue;
    }
    const double expected_ms =
        distance_costs.ms(engine.distance) + expected_wait_ms(engine.outstanding, engine.slots, mean_call_ms);
    if (!best || expected_ms < best_ms) {
      best = position;
      best_ms = expected_ms;
    }
  }
  return best.value_or(0);
}

}  // namespace stoat::placement
