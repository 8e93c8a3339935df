#include "src/fleet/configuration_change.h"

#include <algorithm>
#include <iterator>
#include <unordered_map>

#include "src/common/hash.h"
#include "src/wire/codec.h"

namespace stoat::fleet {

namespace {

template <typename Item>
uint64_t hash_item(const Item& item) {
  return hash_bytes(wire::encode(item));
}

/// Adds the items' encoded sizes to `encoded_bytes`.
template <typename Item>
std::vector<uint64_t> sorted_hashes(const std::vector<Item>& items, size_t& encoded_bytes) {
  std::vector<uint64_t> hashes;
  hashes.reserve(items.size());
  for (const Item& item : items) {
    const std::string bytes = wire::encode(item);
    encoded_bytes += bytes.size();
    hashes.push_back(hash_bytes(bytes));
  }
  std::sort(hashes.begin(), hashes.end());
  return hashes;
}

/// The hashes that are in `from` more often than in `without`, both sorted.
std::vector<uint64_t> difference(const std::vector<uint64_t>& from, const std::vector<uint64_t>& without) {
  std::vector<uint64_t> hashes;
  std::set_difference(from.begin(), from.end(), without.begin(), without.end(), std::back_inserter(hashes));
  return hashes;
}

/// How often each hash occurs.
std::unordered_map<uint64_t, size_t> count_each(const std::vector<uint64_t>& hashes) {
  std::unordered_map<uint64_t, size_t> counts;
  for (const uint64_t hash : hashes) {
    ++counts[hash];
  }
  return counts;
}

/// Returns whether `counts` has the hash, and takes one off.
bool take_one(std::unordered_map<uint64_t, size_t>& counts, uint64_t hash) {
  const auto found = counts.find(hash);
  if (found == counts.end()) {
    return false;
  }
  if (--found->second == 0) {
    counts.erase(found);
  }
  return true;
}

template <typename Item>
ListChange<Item> list_change(const std::vector<uint64_t>& base, const std::vector<Item>& next,
                             const std::vector<uint64_t>& next_hashes) {
  ListChange<Item> change;
  change.removed = difference(base, next_hashes);
  std::unordered_map<uint64_t, size_t> missing = count_each(difference(next_hashes, base));
  for (auto item = next.begin(); item != next.end() && !missing.empty(); ++item) {
    if (take_one(missing, hash_item(*item))) {
      change.added.push_back(*item);
    }
  }
  return change;
}

/// Returns false if an item that is to be removed is not in the list.
template <typename Item>
bool apply_to_list(std::vector<Item>& items, const ListChange<Item>& change) {
  std::unordered_map<uint64_t, size_t> removed = count_each(change.removed);
  if (!removed.empty()) {
    std::erase_if(items, [&](const Item& item) { return take_one(removed, hash_item(item)); });
  }
  items.insert(items.end(), change.added.begin(), change.added.end());
  return removed.empty();
}

}  // namespace

ConfigurationHashes hash_items(const FleetConfiguration& configuration) {
  ConfigurationHashes hashes;
  hashes.version = configuration.version;
  hashes.limits = hash_item(configuration.limits);
  hashes.routes = sorted_hashes(configuration.routes, hashes.encoded_bytes);
  hashes.services = sorted_hashes(configuration.services, hashes.encoded_bytes);
  hashes.tenants = sorted_hashes(configuration.tenants, hashes.encoded_bytes);
  return hashes;
}

uint64_t digest_of(const ConfigurationHashes& hashes) {
  uint64_t digest = hash_pair(hashes.version, hashes.limits);
  for (const std::vector<uint64_t>* list : {&hashes.routes, &hashes.services, &hashes.tenants}) {
    const std::string_view bytes(reinterpret_cast<const char*>(list->data()),
                                 list->size() * sizeof(uint64_t));
    digest = hash_pair(digest, hash_bytes(bytes));
  }
  return digest;
}

ConfigurationChange make_change(const ConfigurationHashes& base, const FleetConfiguration& next,
                                const ConfigurationHashes& next_hashes) {
  ConfigurationChange change;
  change.base_version = base.version;
  change.version = next.version;
  change.limits = next.limits;
  change.routes = list_change(base.routes, next.routes, next_hashes.routes);
  change.services = list_change(base.services, next.services, next_hashes.services);
  change.tenants = list_change(base.tenants, next.tenants, next_hashes.tenants);
  return change;
}

tl::expected<FleetConfiguration, std::string> apply_change(const FleetConfiguration& base,
                                                           const ConfigurationChange& change) {
  if (base.version != change.base_version) {
    return tl::make_unexpected("the change is for version " + std::to_string(change.base_version) + ", not " +
                               std::to_string(base.version));
  }
  FleetConfiguration next = base;
  next.version = change.version;
  next.limits = change.limits;
  if (!apply_to_list(next.routes, change.routes)) {
    return tl::make_unexpected("a removed route is missing");
  }
  if (!apply_to_list(next.services, change.services)) {
    return tl::make_unexpected("a removed service is missing");
  }
  if (!apply_to_list(next.tenants, change.tenants)) {
    return tl::make_unexpected("a removed tenant is missing");
  }
  return next;
}

}  // namespace stoat::fleet
