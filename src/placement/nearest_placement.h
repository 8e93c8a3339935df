/// Chooses the engine for a call without a prompt: the one expected to answer first, considering its distance
/// and the wait for a slot. Calls go to more distant engines only when that is faster.
#pragma once

#include <cstdint>
#include <vector>

#include "src/placement/prompt_placement.h"

namespace stoat::placement {

/// The mean duration of a service's calls at an engine with a free slot, learned from responses.
class CallDuration {
 public:
  void observe(double taken_ms);
  double ms() const { return ms_; }

 private:
  double ms_ = 50;  ///< initial value
};

/// Returns the expected wait for a slot at an engine, in milliseconds.
double expected_wait_ms(uint32_t outstanding, uint32_t slots, double mean_call_ms);

/// Returns the index of the candidate with the lowest cost of distance and wait, chosen at random among
/// equals; 0 if there is no candidate.
size_t choose_nearest(const std::vector<EngineView>& engines, double mean_call_ms,
                      const DistanceCosts& distance_costs, uint64_t random);

}  // namespace stoat::placement
