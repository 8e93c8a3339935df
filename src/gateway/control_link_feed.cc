/// ControlLink: the choice of the member from which the router takes its feed.
#include <algorithm>
#include <utility>

#include "src/events/fleet_events.h"
#include "src/gateway/control_link.h"

namespace stoat::gateway {

namespace {

/// Before the first feed is taken from another region, members of the router's own region have this long to
/// answer: a feed begins with the full state, and hundreds of feeds saturate the link between regions.
constexpr Duration kOtherRegionChoiceDelay = 1s;
/// After a time without a leader, members hear of the next one one after the other. The router keeps its feed
/// member for this long after the first of them.
constexpr Duration kLeaderSettleTime = 1s;
}  // namespace

std::vector<FeedCandidate> ControlLink::feed_candidates(TimePoint now) const {
  std::vector<FeedCandidate> candidates;
  for (const auto& [address, member] : members_) {
    FeedCandidate candidate;
    candidate.address = address;
    candidate.distance = options_.topology.distance(options_.zone, member.zone);
    candidate.connected =
        member.channel != nullptr && member.channel->open() && member.last_message_at > TimePoint(0);
    candidate.time_since_message = now - member.last_message_at;
    candidate.time_since_connect = now - member.connect_started_at;
    if (member.leader_confirmed_at != Duration::min()) {
      candidate.leader_confirmation_age = now - member.leader_confirmed_at;
    }
    if (member.left_at) {
      candidate.time_since_left = now - *member.left_at;
    }
    candidates.push_back(candidate);
  }
  return candidates;
}

bool ControlLink::note_suitable_members(const std::vector<FeedCandidate>& candidates, TimePoint now) {
  const bool is_any_suitable = std::any_of(candidates.begin(), candidates.end(), is_suitable_feed);
  if (is_any_suitable && !was_any_suitable_) {
    first_suitable_at_ = now;
  }
  was_any_suitable_ = is_any_suitable;
  return now - first_suitable_at_ < kLeaderSettleTime;
}

void ControlLink::update_feed_member() {
  const TimePoint now = loop_.now();
  if (first_answer_at_ == TimePoint(0) || now - first_answer_at_ < kFeedChoiceDelay) {
    return;
  }
  std::vector<FeedCandidate> candidates = feed_candidates(now);
  const auto current =
      std::find_if(candidates.begin(), candidates.end(),
                   [this](const FeedCandidate& candidate) { return candidate.address == feed_address_; });
  const bool leader_is_new = note_suitable_members(candidates, now);
  if (leader_is_new && current != candidates.end()) {
    current->leader_confirmation_age = Duration(0);
  }
  const std::string chosen = choose_feed_member(candidates, feed_address_, options_.router);
  if (chosen == feed_address_ || chosen.empty()) {
    return;
  }
  const bool other_region =
      options_.topology.distance(options_.zone, members_.at(chosen).zone) == topology::Distance::kOtherRegion;
  if (feed_address_.empty() && other_region && now - first_answer_at_ < kOtherRegionChoiceDelay) {
    return;
  }
  log_.event(events::FeedChanged{feed_address_, chosen});
  const std::string previous = std::exchange(feed_address_, chosen);
  if (current != candidates.end() && !is_suitable_feed(*current)) {
    members_.at(previous).left_at = now;
  }
  for (const std::string& address : {previous, chosen}) {
    const auto member = members_.find(address);
    if (member != members_.end()) {
      send_status(address, member->second);
    }
  }
}

}  // namespace stoat::gateway
