#include "src/dispatch/service_ring.h"

#include <algorithm>

#include "src/dispatch/backend_pool.h"

namespace stoat::dispatch {

void ServiceRing::add(const BackendPtr& backend) { backends_.emplace(backend->name_hash, backend); }

void ServiceRing::remove(const BackendPtr& backend) {
  const auto [first, last] = backends_.equal_range(backend->name_hash);
  const auto found = std::find_if(first, last, [&](const auto& entry) { return entry.second == backend; });
  if (found != last) {
    backends_.erase(found);
  }
}

std::vector<BackendPtr> ServiceRing::subset(uint64_t key, size_t count) const {
  std::vector<BackendPtr> found;
  const size_t wanted = std::min(count, backends_.size());
  found.reserve(wanted);
  auto next = backends_.lower_bound(key);
  while (found.size() < wanted) {
    next = next == backends_.end() ? backends_.begin() : next;
    found.push_back(next->second);
    ++next;
  }
  return found;
}

}  // namespace stoat::dispatch
