/// Decorrelated jitter: each wait is drawn between the base and three times the last wait.
#pragma once

#include <algorithm>

#include "src/common/random.h"
#include "src/common/time.h"

namespace stoat::delivery {

/// The waits between the tries of one thing.
class Backoff {
 public:
  Backoff(Duration base, Duration most) : base_(base), most_(most), last_(base) {}
  Duration next(Random& random) {
    const Duration drawn(random.between(base_.count(), std::max(base_.count(), 3 * last_.count())));
    last_ = std::min(most_, drawn);
    return last_;
  }
  void reset() { last_ = base_; }

 private:
  Duration base_;
  Duration most_;
  Duration last_;
};

}  // namespace stoat::delivery
