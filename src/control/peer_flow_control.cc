#include "src/control/peer_flow_control.h"

namespace stoat::control {

namespace {

/// A member takes no more news while so many bytes wait for it besides a whole.
constexpr size_t kMaxUnsentNews = 1U << 20U;
/// A whole is added when no more than so many bytes wait.
constexpr size_t kRoomForWhole = 64U << 10U;
/// Between two wholes to one member: time for the first to arrive over a link that others use as well, and
/// for the answer.
constexpr Duration kWholePause = 400ms;
constexpr size_t kWholeBytesPerMillisecond = 1000;

}  // namespace

bool PeerFlowControl::accepts_update(const std::string& member, size_t unsent) {
  Feed& feed = feeds_[member];
  if (unsent >= kMaxUnsentNews + feed.whole_bytes) {
    feed.missed = true;
    feed.owed = true;
  }
  return !feed.missed;
}

void PeerFlowControl::on_request(const std::string& member, TimePoint now) {
  Feed& feed = feeds_[member];
  feed.owed = feed.owed || now >= feed.next_whole;
}

bool PeerFlowControl::full_state_due(const std::string& member, size_t unsent, TimePoint now) const {
  const auto feed = feeds_.find(member);
  return feed != feeds_.end() && feed->second.owed && now >= feed->second.next_whole &&
         unsent <= kRoomForWhole;
}

void PeerFlowControl::on_full_state_sent(const std::string& member, size_t bytes, TimePoint now) {
  Feed& feed = feeds_[member];
  feed.owed = false;
  feed.missed = false;
  feed.whole_bytes = bytes;
  feed.next_whole =
      now + kWholePause + Duration(1000 * static_cast<int64_t>(bytes / kWholeBytesPerMillisecond));
}

}  // namespace stoat::control
