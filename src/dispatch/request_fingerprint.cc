#include "src/dispatch/request_fingerprint.h"

#include <sodium/crypto_generichash.h>

#include <cstring>
#include <stdexcept>

#include "src/common/hash.h"
#include "src/fleet/crash_record.h"

namespace stoat::dispatch {

namespace {

/// Hashes a sequence of fields, each prefixed with its length so that field boundaries are unambiguous.
class FieldHash {
 public:
  FieldHash() {
    if (crypto_generichash_init(&state_, nullptr, 0, crypto_generichash_BYTES) != 0) {
      throw std::runtime_error("cannot begin a hash");
    }
  }
  void add(std::string_view field) {
    const uint64_t length = field.size();
    unsigned char prefix[sizeof(length)];
    std::memcpy(prefix, &length, sizeof(length));
    crypto_generichash_update(&state_, prefix, sizeof(prefix));
    crypto_generichash_update(&state_, reinterpret_cast<const unsigned char*>(field.data()), field.size());
  }
  uint64_t finish() {
    unsigned char digest[crypto_generichash_BYTES];
    crypto_generichash_final(&state_, digest, sizeof(digest));
    uint64_t value = 0;
    std::memcpy(&value, digest, sizeof(value));
    return value & ~fleet::kPartFeature;
  }

 private:
  crypto_generichash_state state_;
};

}  // namespace

uint64_t request_fingerprint(const edge::EdgeRequest& request, std::string_view caller) {
  const std::string* host = request.headers.find("Host");
  FieldHash hash;
  hash.add(request.method);
  hash.add(host == nullptr ? std::string_view() : *host);
  hash.add(request.target);
  hash.add(caller);
  hash.add(request.body);
  return hash.finish();
}

std::vector<uint64_t> part_features(const std::string& model, const std::vector<PromptPart>& parts) {
  std::vector<uint64_t> features;
  for (size_t position = 0; position + 1 < parts.size(); ++position) {
    features.push_back(hash_pair(hash_bytes(model), parts[position].id) | fleet::kPartFeature);
  }
  return features;
}

}  // namespace stoat::dispatch
