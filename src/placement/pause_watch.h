/// Learns whether streams pause for longer than their route allows. While an engine reads a long prompt, all
/// that runs there waits; on some engines one reading after another makes streams late, on others it never
/// does.
#pragma once

#include "src/common/time.h"

namespace stoat::placement {

/// A share of streams in which older ones count less and less. One for each service.
class PauseWatch {
 public:
  /// A stream of several events has ended; its longest pause, against what its route allows.
  void observe(Duration longest_pause, Duration allowed);
  /// How far short prompts are to be kept away from engines that read long ones: 0 while hardly any stream
  /// pauses too long, 1 from a few in a hundred on.
  double lane_strength() const;

 private:
  double late_share_ = 0;
};

}  // namespace stoat::placement
