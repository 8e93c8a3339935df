#include "src/control/cache_assignment.h"

#include <utility>

#include "src/common/hash.h"

namespace stoat::control {

std::string responsible_member(const std::string& holder, const std::string& zone,
                               const std::vector<LiveMember>& members, const topology::Topology& topology) {
  const uint64_t holder_hash = hash_bytes(holder);
  const LiveMember* best = nullptr;
  std::pair<int, uint64_t> best_rank;  // nearest zone first, then the highest hash
  for (const LiveMember& member : members) {
    const std::pair<int, uint64_t> rank(-static_cast<int>(topology.distance(member.zone, zone)),
                                        hash_pair(holder_hash, hash_bytes(member.address)));
    if (best == nullptr || rank > best_rank) {
      best = &member;
      best_rank = rank;
    }
  }
  return best == nullptr ? "" : best->address;
}

}  // namespace stoat::control
