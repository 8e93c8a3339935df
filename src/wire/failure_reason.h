/// The stable names of failure reasons and outcomes, as callers and metrics see them. Listed in docs/API.md.
#pragma once

#include "src/wire/messages.h"

namespace stoat::wire {

/// The stable code of a reason, e.g. "over_ceiling".
const char* reason_code(FailureReason reason);

/// The HTTP status that a caller gets for a reason.
int reason_http_status(FailureReason reason);

/// "complete", "not_run", "unknown" or "failed".
const char* outcome_name(Outcome outcome);

}  // namespace stoat::wire
