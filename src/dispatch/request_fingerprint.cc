#include "src/dispatch/request_fingerprint.h"

#include "src/common/hash.h"

namespace stoat::dispatch {

uint64_t request_fingerprint(const edge::CallerRequest& request, std::string_view caller) {
  const std::string* host = request.headers.find("Host");
  uint64_t fingerprint = hash_bytes(request.method);
  fingerprint = hash_pair(fingerprint, hash_bytes(host == nullptr ? std::string_view() : *host));
  fingerprint = hash_pair(fingerprint, hash_bytes(request.target));
  fingerprint = hash_pair(fingerprint, hash_bytes(caller));
  return hash_pair(fingerprint, hash_bytes(request.body));
}

}  // namespace stoat::dispatch
