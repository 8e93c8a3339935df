/// Counts and logs messages from other processes that could not be decoded.
#pragma once

#include <string>

#include "src/common/log.h"
#include "src/common/log_limiter.h"
#include "src/common/metrics.h"
#include "src/common/time.h"
#include "src/wire/channel.h"

namespace stoat::wire {

/// Counts all unreadable messages in a metric with the label `tag`, and logs at most one per second for each
/// peer and tag. Must outlive the channels that report to it.
class UnreadableMessages {
 public:
  UnreadableMessages(const Logger& log, Metrics& metrics, std::string metric)
      : log_(log), metrics_(metrics), metric_(std::move(metric)) {}
  void report(const Channel& channel, const UnreadableMessage& message, TimePoint now);

 private:
  const Logger& log_;
  Metrics& metrics_;
  std::string metric_;
  LogLimiter limiter_;
};

}  // namespace stoat::wire
