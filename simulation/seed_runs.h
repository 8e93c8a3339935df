/// Runs a randomized test over many seeds, for command-line test programs.
#pragma once

#include <cstdint>
#include <iostream>

namespace stoat {

/// Calls `run_seed(seed)`, which returns true on success, for each seed and prints the number of failures.
/// Returns the exit status for the program: 0 if all seeds passed, otherwise 1.
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
