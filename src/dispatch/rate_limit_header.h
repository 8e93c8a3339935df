/// What a back end says in an answer of the load that it takes.
#pragma once

#include <cstdint>
#include <string>

#include "src/http1/message.h"

namespace stoat::dispatch {

/// A back end that names less is sent this many requests a second all the same: without any it could not tell
/// that its limit has ended.
inline constexpr double kLeastRateLimit = 0.25;
/// No back end takes more requests a second: a higher limit counts as this one.
inline constexpr double kMostRateLimit = 1e6;

/// The limit that an answer names.
struct RateLimitReading {
  enum class Kind : uint8_t {
    kNone,       ///< it names none
    kNamed,      ///< see per_second
    kUnreadable  ///< what is known of the back end's limit stays as it is
  };
  Kind kind = Kind::kNone;
  double per_second = 0;  ///< requests a second from all routers together
  std::string finding;    ///< what is wrong with it; empty: nothing
};

/// Reads the header `name`. Of several, the lowest counts.
RateLimitReading read_rate_limit(const http1::Headers& headers, const std::string& name);

}  // namespace stoat::dispatch
