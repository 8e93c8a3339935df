/// Under which text engines keep KV cache apart. Weights of another version and tenants that share nothing
/// have namespaces of their own, so that no request can read what it must not.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace stoat::placement {

/// One namespace.
struct CacheNamespace {
  std::string owner;     ///< see shared_owner() and owner_of_tenant()
  uint64_t weights = 0;  ///< version of the weights that make the cache
};

/// Owner of the cache that all tenants share but those that are isolated.
std::string shared_owner();
/// Owner of the cache of an isolated tenant.
std::string owner_of_tenant(const std::string& tenant);

/// The text that engines are given.
std::string to_salt(const CacheNamespace& name);
/// Reads such a text back; nullopt when it is none of this product's.
std::optional<CacheNamespace> read_salt(std::string_view salt);

/// Identifies a part of prompts in the cache of one owner, whatever the version of the weights.
/// `part_name_hash`: hash_bytes of the part's name.
uint64_t part_hash(std::string_view owner, std::string_view model, uint64_t part_name_hash);

}  // namespace stoat::placement
