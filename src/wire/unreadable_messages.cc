#include "src/wire/unreadable_messages.h"

#include "src/events/fleet_events.h"

namespace stoat::wire {

namespace {

constexpr Duration kLogInterval = 1s;
/// Peers and tags that are told apart. With more, all of them are logged anew.
constexpr size_t kMaxEntries = 1024;
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
  if (entries_.size() >= kMaxEntries) {
    entries_.clear();
  }
  Entry& entry = entries_[peer + " " + tag];
  if (entry.logged_at != Duration::min() && now - entry.logged_at < kLogInterval) {
    ++entry.unlogged;
    return;
  }
  log_.event(events::MessageUnreadable{peer, tag, message.bytes, message.error, entry.unlogged});
  entry = {now, 0};
}

}  // namespace stoat::wire
