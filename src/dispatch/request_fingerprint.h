/// Recognises a request that comes again under another id.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "src/edge/edge_request.h"

namespace stoat::dispatch {

/// A strong hash (BLAKE2b) of what makes two requests the same to a back end: method, host, path with its
/// query, caller, and body. `caller`: the tenant's name, or the access key where there are no tenants.
/// Headers are left out: ids and deadlines differ from one try to the next.
uint64_t request_fingerprint(const edge::EdgeRequest& request, std::string_view caller);

}  // namespace stoat::dispatch
