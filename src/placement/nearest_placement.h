/// Chooses the engine for a call without a prompt: the one that is expected to answer first, by the way there
/// and the wait for one of its slots. Load spills to engines farther away only once that is sooner.
#pragma once

#include <cstdint>
#include <vector>

#include "src/placement/prompt_placement.h"

namespace stoat::placement {

/// How long the calls of a service take at an engine with a free slot, learned from answers.
class CallDuration {
 public:
  void observe(double taken_ms);
  double ms() const { return ms_; }

 private:
  double ms_ = 50;  ///< until answers tell
};

/// The wait for a slot that is expected at an engine, in milliseconds.
double expected_wait_ms(uint32_t outstanding, uint32_t slots, double work_ms);

/// The candidate with the shortest way and wait, at random among equals; 0 when there is none.
size_t choose_nearest(const std::vector<EngineView>& engines, double work_ms, const WayCosts& ways,
                      uint64_t random);

}  // namespace stoat::placement
