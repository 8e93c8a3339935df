/// Fingerprints of requests, which identify a request that is sent again under another id.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "src/dispatch/request_fields.h"
#include "src/edge/edge_request.h"

namespace stoat::dispatch {

/// A cryptographic hash (BLAKE2b) of what makes two requests equal to a backend: method, host, path with
/// query, caller, and body. `caller`: the tenant's name, or the access key on routes without tenants. Other
/// headers are excluded because ids and deadlines differ between tries. Throws std::runtime_error if hashing
/// fails to start.
uint64_t request_fingerprint(const edge::EdgeRequest& request, std::string_view caller);

/// Returns a key for each part of a prompt that requests can share, which are all but the last. It identifies
/// the part whoever sends it. `model`: name of the model that reads the prompt.
std::vector<uint64_t> part_features(const std::string& model, const std::vector<PromptPart>& parts);

}  // namespace stoat::dispatch
