/// When a backend that asked for a backoff may be sent to again. The backoff applies to this router only.
/// After it, a single request is sent there, and others follow once that was accepted. Does no I/O.
#pragma once

#include <algorithm>
#include <cstdint>

#include "src/common/time.h"

namespace stoat::dispatch {

/// The backoff of one incarnation of a backend, and the recovery after it.
class BackendBackoff {
 public:
  /// The backend refused a request and wants no others before `until`.
  void begin(TimePoint until) {
    until_ = std::max(until_, until);
    recovering_ = true;
  }
  /// The backend accepted a request. Ignored during the backoff, since that request was sent before the
  /// backoff began.
  void on_accepted(TimePoint now) { recovering_ = recovering_ && now < until_; }
  /// True if a request may be sent now. `outstanding`: requests of this router in progress there.
  bool may_send(uint32_t outstanding, TimePoint now) const {
    return now >= until_ && (!recovering_ || outstanding == 0);
  }
  /// End of the backoff; 0: there was none.
  TimePoint until() const { return until_; }

 private:
  TimePoint until_{0};
  bool recovering_ = false;  ///< no request was accepted since the backoff began
};

}  // namespace stoat::dispatch
