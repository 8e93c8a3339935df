/// Logs HTTP bodies from backends, KV stores and operators that could not be read.
#pragma once

#include <string>

#include "src/common/findings.h"
#include "src/common/log.h"
#include "src/common/log_limiter.h"

namespace stoat::control {

/// Logs the first finding of a body, at most once per second for each kind of body and sender.
class UnreadableBodies {
 public:
  /// `sender`: who sent the body; the senders that are not bounded in number must share one name.
  void report(const std::string& sender, const Findings& findings, TimePoint now);

 private:
  Logger log_{"control"};
  LogLimiter limiter_;
};

}  // namespace stoat::control
