/// The namespaces that keep KV cache entries in engines apart. Each version of the weights, and each tenant
/// that shares no cache, has a namespace of its own, so that no request can read cache entries it must not
/// see.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace stoat::placement {

/// Identifies one namespace.
struct CacheNamespace {
  std::string owner;     ///< see shared_owner() and owner_of_tenant()
  uint64_t weights = 0;  ///< version of the weights that computed the cache
};

/// Returns the owner of the cache shared by all tenants that are not isolated.
std::string shared_owner();
/// Returns the owner of an isolated tenant's cache.
std::string owner_of_tenant(const std::string& tenant);

/// Returns the cache salt passed to engines.
std::string to_salt(const CacheNamespace& name);
/// Parses a cache salt; nullopt if it was not produced by to_salt().
std::optional<CacheNamespace> read_salt(std::string_view salt);

/// Identifies a part of a prompt in the cache of one owner, independent of the version of the weights.
/// `part_name_hash`: hash_bytes() of the part's name.
uint64_t part_hash(std::string_view owner, std::string_view model, uint64_t part_name_hash);

}  // namespace stoat::placement
