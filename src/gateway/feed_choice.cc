#include "src/gateway/feed_choice.h"

#include <tuple>

#include "src/common/hash.h"

namespace stoat::gateway {

namespace {

bool is_responsive(const FeedCandidate& member, bool current) {
  return member.connected && member.time_since_message <= (current ? kFeedTimeout : kOtherMemberTimeout);
}

bool knows_leader(const FeedCandidate& member) {
  return member.leader_confirmation_age ? *member.leader_confirmation_age <= kMaxLeaderConfirmationAge
                                        : member.time_since_connect <= kMaxLeaderConfirmationAge;
}

Duration return_delay(uint64_t router_hash) {
  return kMinReturnDelay +
         Duration(static_cast<int64_t>(router_hash % static_cast<uint64_t>(kReturnSpread.count())));
}

}  // namespace

bool is_suitable_feed(const FeedCandidate& member) {
  return is_responsive(member, true) && knows_leader(member);
}

std::string choose_feed_member(const std::vector<FeedCandidate>& members, const std::string& current,
                               const std::string& router) {
  const uint64_t router_hash = hash_bytes(router);
  const uint64_t current_hash = hash_pair(router_hash, hash_bytes(current));
  const FeedCandidate* best = nullptr;
  using Rank = std::tuple<bool, bool, bool, int, bool, uint64_t>;  // the greatest wins
  Rank best_rank;
  for (const FeedCandidate& member : members) {
    const bool is_current = member.address == current;
    if (!is_responsive(member, is_current)) {
      continue;
    }
    const uint64_t hash = hash_pair(router_hash, hash_bytes(member.address));
    const bool stays_away =
        !is_current && member.time_since_left && *member.time_since_left < return_delay(router_hash);
    const bool returns = !is_current && member.time_since_left && hash > current_hash;
    const bool in_region = member.distance != topology::Distance::kOtherRegion;
    // While no member confirms a leader, as during an election, the current member stays.
    const Rank rank(knows_leader(member), in_region, !stays_away, -static_cast<int>(member.distance),
                    is_current || returns, hash);
    if (best == nullptr || rank > best_rank) {
      best = &member;
      best_rank = rank;
    }
  }
  return best == nullptr ? "" : best->address;
}

}  // namespace stoat::gateway
