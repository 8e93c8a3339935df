/// One HTTP request made and waited for, for command-line tools and tests.
#pragma once

#include "src/http/client.h"

namespace stoat::http {

/// Sends the request on a loop of its own and waits for the result.
ClientResult fetch(const ClientRequest& request);

}  // namespace stoat::http
