/// When a back end that wanted rest may be sent to again. Its word holds between it and this router. After
/// the rest one request goes there, and the others follow once it was taken. Free of I/O.
#pragma once

#include <algorithm>
#include <cstdint>

#include "src/common/time.h"

namespace stoat::dispatch {

/// See the head of this file. One for each incarnation of a back end.
class BackendRest {
 public:
  /// The back end turned a request away and wants nothing until then.
  void begin(TimePoint until) {
    until_ = std::max(until_, until);
    returning_ = true;
  }
  /// It has taken a request. One that was sent before its word says nothing of the rest.
  void on_taken(TimePoint now) { returning_ = returning_ && now < until_; }
  /// `outstanding`: requests of this router there.
  bool may_send(uint32_t outstanding, TimePoint now) const {
    return now >= until_ && (!returning_ || outstanding == 0);
  }
  TimePoint until() const { return until_; }

 private:
  TimePoint until_{0};
  bool returning_ = false;  ///< no request was taken since the rest began
};

}  // namespace stoat::dispatch
