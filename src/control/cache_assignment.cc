#include "src/control/cache_assignment.h"

#include <utility>

#include "src/common/hash.h"

namespace stoat::control {

std::string follower_of(const std::string& holder, const std::string& zone,
                        const std::vector<LiveMember>& members) {
  const uint64_t holder_hash = hash_bytes(holder);
  const LiveMember* best = nullptr;
  std::pair<bool, uint64_t> best_rank;
  for (const LiveMember& member : members) {
    const std::pair<bool, uint64_t> rank(member.zone == zone,
                                         hash_pair(holder_hash, hash_bytes(member.address)));
    if (best == nullptr || rank > best_rank) {
      best = &member;
      best_rank = rank;
    }
  }
  return best == nullptr ? "" : best->address;
}

}  // namespace stoat::control
