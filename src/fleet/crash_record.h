/// Requests that were under way at back ends when these crashed, as processes tell each other.
#pragma once

#include <cstdint>
#include <msgpack.hpp>
#include <string>
#include <vector>

namespace stoat::fleet {

/// A crash of one back end.
struct CrashNotice {
  std::string backend;     ///< id of its incarnation
  int64_t age_ms = 0;      ///< since the crash, as far as the sender knows
  bool acquitted = false;  ///< the request has run well since then: the crash does not count against it
  MSGPACK_DEFINE_ARRAY(backend, age_ms, acquitted)
  bool operator==(const CrashNotice&) const = default;
};

/// The crashes that a request was under way at.
struct CrashRecord {
  uint64_t request = 0;  ///< its fingerprint (dispatch::request_fingerprint)
  std::vector<CrashNotice> crashes;
  MSGPACK_DEFINE_ARRAY(request, crashes)
  bool operator==(const CrashRecord&) const = default;
};

}  // namespace stoat::fleet
