/// Response headers in which a backend limits the load that it accepts.
#pragma once

#include "src/dispatch/number_header.h"

namespace stoat::dispatch {

/// Lower limit, in requests per second, of a stated rate limit: without any request, a backend could not
/// report that its limit has ended.
inline constexpr double kMinRateLimit = 0.25;
/// Upper limit, in requests per second, of a stated rate limit: no backend accepts more.
inline constexpr double kMaxRateLimit = 1e6;
/// Upper limit of a backoff, in seconds: a backend that asks for a longer one is tried again after this
/// time.
inline constexpr double kMaxBackoffS = 600;
/// Upper limit of the requests that a brittle backend can turn away in a second.
inline constexpr double kMaxRejectionsPerSecond = 1e6;

/// Reads the requests per second that a backend accepts from all routers together. The lowest of several
/// values applies.
inline NumberReading read_rate_limit(const http1::Headers& headers, const std::string& name) {
  return read_number(
      headers, name,
      {kMinRateLimit, kMaxRateLimit, false, "a number of requests a second", "more than any back end takes"});
}

/// Reads the seconds for which a backend that refused a request wants no requests from this router. The
/// highest of several values applies.
inline NumberReading read_backoff(const http1::Headers& headers, const std::string& name) {
  return read_number(headers, name, {0, kMaxBackoffS, true, "a number of seconds", "longer than any rest"});
}

/// Reads how many requests a brittle backend can turn away in a second before it falls over. The lowest of
/// several values applies.
inline NumberReading read_brittle(const http1::Headers& headers, const std::string& name) {
  return read_number(headers, name,
                     {0, kMaxRejectionsPerSecond, false, "a number of requests a second",
                      "more than any back end turns away"});
}

}  // namespace stoat::dispatch
