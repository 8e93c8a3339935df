/// Blocking HTTP requests, for command line tools and tests.
#pragma once

#include "src/http/client.h"

namespace stoat::http {

/// Sends the request on a separate event loop and blocks until the result is known.
ClientResult fetch(const ClientRequest& request);

}  // namespace stoat::http
