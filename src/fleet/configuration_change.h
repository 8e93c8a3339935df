/// Differences between two configurations, and their application. A change names the removed items by hash
/// and holds the added ones, so it needs no key by which items are the same.
#pragma once

#include <cstdint>
#include <msgpack.hpp>
#include <string>
#include <tl/expected.hpp>
#include <vector>

#include "src/fleet/fleet_configuration.h"

namespace stoat::fleet {

/// The change of one list. An item that changed is removed and added.
template <typename Item>
struct ListChange {
  std::vector<uint64_t> removed;  ///< hashes of items
  std::vector<Item> added;
  MSGPACK_DEFINE_ARRAY(removed, added)
};

/// What turns the configuration of one version into that of a later one, except for the order of the lists.
struct ConfigurationChange {
  uint64_t base_version = 0;
  uint64_t version = 0;
  Limits limits;
  ListChange<Route> routes;
  ListChange<Service> services;
  ListChange<Tenant> tenants;
  MSGPACK_DEFINE_ARRAY(base_version, version, limits, routes, services, tenants)
};

/// Hashes of a configuration's items, each list sorted: enough to compute changes and the digest.
struct ConfigurationHashes {
  uint64_t version = 0;
  size_t encoded_bytes = 0;  ///< of all items together
  uint64_t limits = 0;
  std::vector<uint64_t> routes;
  std::vector<uint64_t> services;
  std::vector<uint64_t> tenants;
};

ConfigurationHashes hash_items(const FleetConfiguration& configuration);

/// Identifies the version and content of a configuration, without the order of the lists.
uint64_t digest_of(const ConfigurationHashes& hashes);

/// Returns the change from the configuration with the hashes `base` to `next`, whose hashes are
/// `next_hashes`.
ConfigurationChange make_change(const ConfigurationHashes& base, const FleetConfiguration& next,
                                const ConfigurationHashes& next_hashes);

/// Applies a change to its base. The error names what does not fit; the caller needs the whole configuration
/// then.
tl::expected<FleetConfiguration, std::string> apply_change(const FleetConfiguration& base,
                                                           const ConfigurationChange& change);

}  // namespace stoat::fleet
