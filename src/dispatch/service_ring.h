/// The back ends of one service in a fixed order, that of the hashes of their ids, closed to a ring. A
/// request looks at a cell of it: those that follow the request's key. All routers choose from the same cell
/// for the same key without telling one another anything, and what a router does for a request does not grow
/// with the service. A service of fewer back ends is one cell.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <vector>

namespace stoat::dispatch {

struct Backend;
using BackendPtr = std::shared_ptr<Backend>;

/// See the head of this file.
class ServiceRing {
 public:
  void add(const BackendPtr& backend);
  void remove(const BackendPtr& backend);
  size_t size() const { return backends_.size(); }
  /// The `count` back ends that follow a key, in the ring's order; all when there are no more.
  std::vector<BackendPtr> cell(uint64_t key, size_t count) const;

 private:
  std::multimap<uint64_t, BackendPtr> backends_;  ///< by Backend::name_hash
};

}  // namespace stoat::dispatch
