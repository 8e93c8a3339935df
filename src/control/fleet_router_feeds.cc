/// FleetServer: the feed of the fleet's running state to the routers that follow this member.
#include <algorithm>

#include "src/control/fleet_server.h"

namespace stoat::control {

namespace {

/// No feed messages are added while this many bytes are unsent to a router: once the router catches up, newer
/// values have replaced the older ones.
constexpr size_t kMaxUnsentBytes = 64U << 10U;
/// Limit for what is sent of full states to all routers together in one round, of which there are 20 a
/// second: recovery leaves the larger part of the time and of the link to what binds.
constexpr size_t kFullStateBytesPerRound = 2U << 20U;

}  // namespace

void FleetServer::feed_routers() {
  feed_publisher_.start_round();
  size_t full_state_bytes = kFullStateBytesPerRound;
  for (auto& [name, link] : router_links_) {
    if (link.status.follows && !link.silent && !feed_publisher_.needs_full_state(link.feed)) {
      feed_router(link, full_state_bytes);
    }
  }
  for (RouterLink* link : full_state_receivers()) {
    if (full_state_bytes == 0) {
      return;
    }
    feed_router(*link, full_state_bytes);
    last_full_state_receiver_ = link->status.router.name;
  }
}

std::vector<RouterLink*> FleetServer::full_state_receivers() {
  std::vector<RouterLink*> receivers;
  size_t first = 0;
  for (auto& [name, link] : router_links_) {
    if (link.status.follows && !link.silent && feed_publisher_.needs_full_state(link.feed)) {
      first += name <= last_full_state_receiver_ ? 1 : 0;
      receivers.push_back(&link);
    }
  }
  std::rotate(receivers.begin(), receivers.begin() + static_cast<std::ptrdiff_t>(first), receivers.end());
  // A router that has just started knows nothing; one that has changed its feed member goes on with what it
  // has.
  std::stable_partition(receivers.begin(), receivers.end(),
                        [](const RouterLink* link) { return !link->status.has_fleet_state; });
  return receivers;
}

void FleetServer::feed_router(RouterLink& link, size_t& full_state_bytes) {
  while (link.channel->open() && link.channel->unsent_bytes() < kMaxUnsentBytes) {
    const bool full_state = feed_publisher_.needs_full_state(link.feed);
    if (full_state && full_state_bytes == 0) {
      return;
    }
    const NextFeedMessage next = feed_publisher_.next(link.feed, loop_.now());
    if (next.frame != nullptr) {
      link.channel->send_frame(*next.frame);
      full_state_bytes -= full_state ? std::min(full_state_bytes, next.frame->bytes.size()) : 0;
    }
    if (next.complete) {
      return;
    }
  }
}

}  // namespace stoat::control
