#include "src/control/feed_publisher.h"

namespace stoat::control {

namespace {

/// Routers that begin within this time share the encoded full state. What has changed since then is sent
/// after it.
constexpr Duration kFullFeedLifetime = 1s;

}  // namespace

NextFeedMessage FeedPublisher::next(FeedPosition& position, TimePoint now) {
  if (needs_full_state(position)) {
    const NextFeedMessage message = next_of_full_state(position, now);
    if (message.frame != nullptr) {
      return message;
    }
  }
  return next_difference(position, now);
}

NextFeedMessage FeedPublisher::next_of_full_state(FeedPosition& position, TimePoint now) {
  if (position.full == nullptr) {
    if (full_ == nullptr || now - full_->begun > kFullFeedLifetime) {
      full_ = std::make_shared<FullFeed>();
      full_->begun = now;
    }
    position = {{}, full_, 0};
  }
  FullFeed& full = *position.full;
  if (position.next_frame == full.frames.size() && !full.complete) {
    wire::Frame frame = encode_next(full.cursor, full.complete, now);
    full.complete = full.complete || frame.empty();
    if (!frame.empty()) {
      full.frames.push_back(std::move(frame));
    }
  }
  if (position.next_frame == full.frames.size()) {
    position = {full.cursor, nullptr, 0};
    return {};
  }
  const wire::Frame* frame = &full.frames[position.next_frame++];
  return {frame, false};
}

NextFeedMessage FeedPublisher::next_difference(FeedPosition& position, TimePoint now) {
  const auto [found, added] = differences_.try_emplace(position.cursor);
  Difference& difference = found->second;
  if (added) {
    difference.next_cursor = position.cursor;
    difference.frame = encode_next(difference.next_cursor, difference.complete, now);
  }
  position.cursor = difference.next_cursor;
  return {difference.frame.empty() ? nullptr : &difference.frame,
          difference.complete || difference.frame.empty()};
}

wire::Frame FeedPublisher::encode_next(FeedCursor& cursor, bool& complete, TimePoint now) {
  const fleet::FleetFeedUpdate message = soft_state_.next_feed_message(cursor, now);
  complete = message.complete;
  if (message.empty()) {
    return {};
  }
  ++encoded_messages_;
  return wire::make_frame(message);
}

}  // namespace stoat::control
