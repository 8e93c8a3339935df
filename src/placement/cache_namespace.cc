#include "src/placement/cache_namespace.h"

#include <charconv>

#include "src/common/hash.h"

namespace stoat::placement {

namespace {

constexpr std::string_view kShared = "s";
constexpr std::string_view kTenantPrefix = "t-";
constexpr std::string_view kWeightsMark = "-v";

}  // namespace

std::string shared_owner() { return std::string(kShared); }

std::string owner_of_tenant(const std::string& tenant) { return std::string(kTenantPrefix) + tenant; }

std::string to_salt(const CacheNamespace& name) {
  return name.owner + std::string(kWeightsMark) + std::to_string(name.weights);
}

std::optional<CacheNamespace> read_salt(std::string_view salt) {
  const size_t mark = salt.rfind(kWeightsMark);
  if (mark == std::string_view::npos || mark == 0) {
    return std::nullopt;
  }
  CacheNamespace name;
  name.owner = std::string(salt.substr(0, mark));
  const std::string_view number = salt.substr(mark + kWeightsMark.size());
  const auto [end, error] = std::from_chars(number.data(), number.data() + number.size(), name.weights);
  const bool whole = error == std::errc() && end == number.data() + number.size() && !number.empty();
  return whole ? std::optional(name) : std::nullopt;
}

uint64_t part_hash(std::string_view owner, std::string_view model, uint64_t part_name_hash) {
  return hash_pair(hash_pair(hash_bytes(owner), hash_bytes(model)), part_name_hash);
}

}  // namespace stoat::placement
