#include "src/placement/cache_namespace.h"

#include <charconv>

#include "src/common/hash.h"

namespace stoat::placement {

namespace {

constexpr std::string_view kSharedOwner = "s";
constexpr std::string_view kTenantPrefix = "t-";
constexpr std::string_view kWeightsSeparator = "-v";

}  // namespace

std::string shared_owner() { return std::string(kSharedOwner); }

std::string owner_of_tenant(const std::string& tenant) { return std::string(kTenantPrefix) + tenant; }

std::string to_salt(const CacheNamespace& name) {
  return name.owner + std::string(kWeightsSeparator) + std::to_string(name.weights);
}

std::optional<CacheNamespace> read_salt(std::string_view salt) {
  const size_t separator = salt.rfind(kWeightsSeparator);
  if (separator == std::string_view::npos || separator == 0) {
    return std::nullopt;
  }
  CacheNamespace name;
  name.owner = std::string(salt.substr(0, separator));
  const std::string_view number = salt.substr(separator + kWeightsSeparator.size());
  const auto [end, error] = std::from_chars(number.data(), number.data() + number.size(), name.weights);
  const bool complete = error == std::errc() && end == number.data() + number.size() && !number.empty();
  return complete ? std::optional(name) : std::nullopt;
}

uint64_t part_hash(std::string_view owner, std::string_view model, uint64_t part_name_hash) {
  return hash_pair(hash_pair(hash_bytes(owner), hash_bytes(model)), part_name_hash);
}

}  // namespace stoat::placement
