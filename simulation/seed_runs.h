/// Runs over many seeds, for programs that look for faults.
#pragma once

#include <cstdint>
#include <iostream>

namespace stoat {

/// Runs `run_seed(seed)`, which gives whether all went well, for each seed, and prints how many failed. Gives
/// the program's exit status.
template <typename RunSeed>
int run_seeds(uint64_t first_seed, uint64_t seeds, const RunSeed& run_seed) {
  uint64_t failed = 0;
  for (uint64_t seed = first_seed; seed < first_seed + seeds; ++seed) {
    failed += run_seed(seed) ? 0 : 1;
  }
  std::cout << seeds << " seeds, " << failed << " failed\n";
  return failed == 0 ? 0 : 1;
}

}  // namespace stoat
