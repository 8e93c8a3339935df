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

}  // namespace

std::string choose_feed_member(const std::vector<FeedCandidate>& members, const std::string& current,
                               const std::string& router) {
  const uint64_t router_hash = hash_bytes(router);
  const FeedCandidate* best = nullptr;
  using Rank = std::tuple<bool, int, bool, uint64_t>;  // the greatest wins
  Rank best_rank;
  for (const FeedCandidate& member : members) {
    const bool is_current = member.address == current;
    if (!is_responsive(member, is_current)) {
      continue;
    }
    // While no member confirms a leader, as during an election, the current member stays.
    const Rank rank(knows_leader(member), -static_cast<int>(member.distance), is_current,
                    hash_pair(router_hash, hash_bytes(member.address)));
    if (best == nullptr || rank > best_rank) {
      best = &member;
      best_rank = rank;
    }
  }
  return best == nullptr ? "" : best->address;
}

}  // namespace stoat::gateway
