/// Messages about backend crashes, confirmed or not, and the requests that were running at the time.
#pragma once

#include <cstdint>
#include <msgpack.hpp>
#include <string>
#include <vector>

namespace stoat::fleet {

/// Set in the features of prompt parts, and not in the fingerprints of whole requests.
inline constexpr uint64_t kPartFeature = uint64_t{1} << 63U;

/// A confirmed or suspected crash of one backend.
struct CrashReport {
  std::string backend;       ///< id of the incarnation
  int64_t age_ms = 0;        ///< time since the crash, as far as the sender knows
  bool dismissed = false;    ///< the crash is not counted against the request
  bool unconfirmed = false;  ///< the connection broke, but no crash is known. If also `dismissed`, the
                             ///< backend turned out to be alive. A confirmed crash is dismissed when the
                             ///< request has succeeded since
  MSGPACK_DEFINE_ARRAY(backend, age_ms, dismissed, unconfirmed)
  bool operator==(const CrashReport&) const = default;
};

/// The crashes that happened while requests with one feature were running: the same request, or requests that
/// share a part of their prompts.
struct CrashRecord {
  uint64_t request = 0;  ///< the feature, see dispatch::request_fingerprint and dispatch::part_features
  std::vector<CrashReport> crashes;
  MSGPACK_DEFINE_ARRAY(request, crashes)
  bool operator==(const CrashRecord&) const = default;
};

}  // namespace stoat::fleet
