#include "src/gateway/feed_choice.h"

#include <tuple>

#include "src/common/hash.h"

namespace stoat::gateway {

namespace {

bool heard(const MemberView& member, bool present) {
  return member.connected && member.silence <= (present ? kFeedSilence : kOtherSilence);
}

bool vouches(const MemberView& member) {
  return member.vouched ? *member.vouched <= kVouchLimit : member.known <= kVouchLimit;
}

}  // namespace

std::string choose_feed(const std::vector<MemberView>& members, const std::string& present,
                        const std::string& router) {
  const uint64_t router_hash = hash_bytes(router);
  const MemberView* best = nullptr;
  using Rank = std::tuple<bool, int, bool, uint64_t>;  // the greater, the better
  Rank best_rank;
  for (const MemberView& member : members) {
    const bool followed = member.address == present;
    if (!heard(member, followed)) {
      continue;
    }
    // While no member vouches for a leader, as during an election, the present one will do.
    const Rank rank(vouches(member), -static_cast<int>(member.distance), followed,
                    hash_pair(router_hash, hash_bytes(member.address)));
    if (best == nullptr || rank > best_rank) {
      best = &member;
      best_rank = rank;
    }
  }
  return best == nullptr ? "" : best->address;
}

}  // namespace stoat::gateway
