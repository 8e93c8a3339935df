/// What the parts of RouterCore tell callers alike.
#pragma once

#include "src/common/time.h"

namespace stoat::router {

/// What a refusal for want of room or of a quorum tells the caller to wait.
inline constexpr Duration kBusyRetryAfter = 1s;
inline constexpr char kNoQuorumMessage[] = "no quorum of control members granted the claim in time";

}  // namespace stoat::router
