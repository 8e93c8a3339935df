/// Permits for requests to backends that report a rate limit for all routers together. A single process, the
/// leader of the control plane, grants them, so that the total over all routers stays within the limit
/// regardless of their number. Performs no I/O.
///
/// The permits of a backend are spaced according to its limit (generic cell rate algorithm). Each is valid
/// for kPermitLifetime from its start, which lies at most kPermitHorizon in the future. With a limit of r, at
/// most r (w + kPermitLifetime + kPermitBatchSpan) + 1 requests are therefore sent in a window of length w.
///
/// Routers that receive no permit are each given a time, also spaced according to the limit, at which to ask
/// again. The rate of permit requests thus grows with the limits and not with the number of routers. Such a
/// time reserves nothing: the next permit goes to whoever asks first.
#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "src/common/time.h"

namespace stoat::admission {

/// How long a permit is valid. In a small fleet, a router has a few requests within this time; unused permits
/// are lost.
inline constexpr Duration kPermitLifetime = 1500ms;
/// How long before its start a permit may be granted.
inline constexpr Duration kPermitHorizon = 500ms;
/// With high limits, the permits for this length of time are granted at once.
inline constexpr Duration kPermitBatchSpan = 200ms;
/// How long a leader that can't be confirmed by a quorum may continue to grant permits.
inline constexpr Duration kPermitLease = 400ms;
/// Delay between becoming leader and granting permits, after which all permits of the previous leader have
/// expired.
inline constexpr Duration kPermitTakeoverDelay = kPermitLease + kPermitHorizon + kPermitLifetime;

/// Maximum time that a router without a permit is asked to wait before asking again.
inline constexpr Duration kMaxPermitWait = 10s;

/// The answer to a request for permits.
struct PermitGrant {
  uint32_t count = 0;  ///< number of permits
  Duration wait{0};    ///< until the permits become valid; if none were granted, until asking again is useful
};

/// Grants permits at the leader of the control plane, spaced according to the limit of each backend. Tracks
/// only backends for which permits were requested recently.
class PermitIssuer {
 public:
  /// Called when this member becomes the leader. It has granted nothing yet, but the previous leader may
  /// have.
  void start_leading(TimePoint now);
  /// Grants up to `count` permits for a backend with a limit of `per_second` requests per second.
  PermitGrant issue(const std::string& backend, double per_second, uint32_t count, TimePoint now);
  /// Drops backends whose next permit could start immediately.
  void expire(TimePoint now);
  size_t size() const { return backends_.size(); }

 private:
  struct BackendPermits {
    TimePoint next_start{0};  ///< of the next permit
    TimePoint next_retry{0};  ///< when the next denied router is to ask again
  };
  static Duration deny(BackendPermits& permits, double per_second, TimePoint now);

  TimePoint grants_from_{0};
  std::map<std::string, BackendPermits> backends_;  ///< by backend
};

}  // namespace stoat::admission
