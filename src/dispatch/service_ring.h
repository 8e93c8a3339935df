/// Deterministic subsetting: the backends of one service on a ring, ordered by the hashes of their ids. A
/// request considers a subset of them, those that follow the request's key. All routers choose from the same
/// subset for the same key without coordination, and a router's work per request does not grow with the
/// service. If a service has no more backends than a subset, the subset is the whole service.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <vector>

namespace stoat::dispatch {

struct Backend;
using BackendPtr = std::shared_ptr<Backend>;

/// The ring of one service's backends, from which the subset for a key is taken.
class ServiceRing {
 public:
  void add(const BackendPtr& backend);
  void remove(const BackendPtr& backend);
  size_t size() const { return backends_.size(); }
  /// The `count` backends that follow a key, in ring order; all if there are fewer.
  std::vector<BackendPtr> subset(uint64_t key, size_t count) const;

 private:
  std::multimap<uint64_t, BackendPtr> backends_;  ///< by Backend::name_hash
};

}  // namespace stoat::dispatch
