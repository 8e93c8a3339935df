/// Encodes the messages of the feed once for all routers that can be sent the same ones. Routers that are up
/// to date share the differences; routers that begin their feed at about the same time share the full state,
/// which each of them reads at its own pace. Performs no I/O.
#pragma once

#include <map>
#include <memory>
#include <vector>

#include "src/control/fleet_soft_state.h"
#include "src/wire/channel.h"

namespace stoat::control {

/// The full state as a sequence of messages, encoded as far as its fastest reader has come.
struct FullFeed {
  std::vector<wire::Frame> frames;
  FeedCursor cursor;  ///< of a router that has received all of them
  bool complete = false;
  TimePoint begun{0};
};

/// What a router has been sent of the feed.
struct FeedPosition {
  FeedCursor cursor;                    ///< without `full`: the router has received all up to it
  std::shared_ptr<FullFeed> full = {};  ///< that it is being sent; nullptr: none
  size_t next_frame = 0;                ///< in `full`
};

/// The next message for a router.
struct NextFeedMessage {
  const wire::Frame* frame = nullptr;  ///< valid until the next call; nullptr: there is nothing new
  bool complete = true;                ///< nothing is left to be sent after this message
};

/// One for all routers of a member.
class FeedPublisher {
 public:
  explicit FeedPublisher(const FleetSoftState& soft_state) : soft_state_(soft_state) {}

  /// Must be called when the soft state may have changed since the last call of next().
  void start_round() { differences_.clear(); }
  /// Returns the next message for a router and advances its position.
  NextFeedMessage next(FeedPosition& position, TimePoint now);
  /// True if the router at this position has not been sent the full state to its end.
  bool needs_full_state(const FeedPosition& position) const {
    return position.full != nullptr || !soft_state_.can_resume(position.cursor);
  }
  /// Number of messages encoded since the start.
  uint64_t encoded_messages() const { return encoded_messages_; }

 private:
  /// A message for the routers at one cursor.
  struct Difference {
    wire::Frame frame;       ///< empty: there is nothing new
    FeedCursor next_cursor;  ///< of a router that has received the message
    bool complete = true;
  };
  NextFeedMessage next_of_full_state(FeedPosition& position, TimePoint now);
  NextFeedMessage next_difference(FeedPosition& position, TimePoint now);
  /// Encodes the message after `cursor` and advances it. Returns an empty frame if there is nothing new.
  wire::Frame encode_next(FeedCursor& cursor, bool& complete, TimePoint now);

  const FleetSoftState& soft_state_;
  std::shared_ptr<FullFeed> full_;  ///< for routers that begin now
  std::map<FeedCursor, Difference> differences_;
  uint64_t encoded_messages_ = 0;
};

}  // namespace stoat::control
