/// The routers of one region in one process, fed with synthetic cache events and loads, to measure what each
/// of them spends on messages, processor time and memory.
#pragma once

#include <memory>
#include <string>
#include <vector>

#include "src/common/metrics.h"
#include "src/router/router_core.h"

namespace stoat::tools {

/// The size of a region and its rates.
struct HollowRegionSettings {
  size_t routers = 123;
  size_t engines = 200;
  size_t blocks_per_engine = 67000;
  double changes_per_second = 13000;  ///< over the region
  Duration span{10s};
  uint64_t seed = 1;
};

/// What one router spent, on average, and the most that any spent.
struct HollowRegionFigures {
  double block_bytes_per_second = 0;   ///< sent, for block changes
  double digest_bytes_per_second = 0;  ///< sent, for load digests
  double other_bytes_per_second = 0;
  double most_bytes_per_second = 0;  ///< sent, all kinds, by the busiest router
  double messages_per_second = 0;
  double cpu_share = 0;  ///< of one core
  double most_cpu_share = 0;
  double index_bytes = 0;
  double indexed_blocks = 0;
  double bytes_per_indexed_block = 0;
};

HollowRegionFigures run_hollow_region(const HollowRegionSettings& settings);

}  // namespace stoat::tools
