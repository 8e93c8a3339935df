#include "src/wire/unreadable_messages.h"

#include "src/events/fleet_events.h"

namespace stoat::wire {

namespace {

/// Tags above this are no message types; they share one label.
constexpr uint32_t kMaxLabelledTag = 99;

std::string tag_label(const std::optional<uint32_t>& tag) {
  if (!tag) {
    return "none";
  }
  return *tag > kMaxLabelledTag ? "other" : std::to_string(*tag);
}

}  // namespace

void UnreadableMessages::report(const Channel& channel, const UnreadableMessage& message, TimePoint now) {
  const std::string tag = tag_label(message.tag);
  metrics_.count(metric_, {{"tag", tag}});
  const std::string peer = channel.peer_host();
  if (const auto unlogged = limiter_.admit(peer + " " + tag, now)) {
    log_.event(events::MessageUnreadable{peer, tag, message.bytes, message.error, *unlogged});
  }
}

}  // namespace stoat::wire
