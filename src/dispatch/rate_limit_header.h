/// What a back end says in an answer of the load that it takes.
#pragma once

#include "src/dispatch/number_header.h"

namespace stoat::dispatch {

/// A back end that names less is sent this many requests a second all the same: without any it could not tell
/// that its limit has ended.
inline constexpr double kLeastRateLimit = 0.25;
/// No back end takes more requests a second: a higher limit counts as this one.
inline constexpr double kMostRateLimit = 1e6;
/// A back end that asks for a longer rest, in seconds, is asked again after this one.
inline constexpr double kLongestRest = 600;

/// Requests a second that a back end takes from all routers together. Of several, the lowest counts.
inline NumberReading read_rate_limit(const http1::Headers& headers, const std::string& name) {
  return read_number(headers, name,
                     {kLeastRateLimit, kMostRateLimit, false, "a number of requests a second",
                      "more than any back end takes"});
}

/// Seconds for which a back end that turned a request away wants nothing from this router. Of several, the
/// longest counts.
inline NumberReading read_rest(const http1::Headers& headers, const std::string& name) {
  return read_number(headers, name, {0, kLongestRest, true, "a number of seconds", "longer than any rest"});
}

}  // namespace stoat::dispatch
