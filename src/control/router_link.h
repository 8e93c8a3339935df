/// A router's connection to a control member, and what was sent on it.
#pragma once

#include <algorithm>
#include <memory>
#include <string>
#include <tuple>

#include "src/control/feed_publisher.h"
#include "src/wire/channel.h"

namespace stoat::control {

/// The revisions that a router was sent of the lists that only grow or are replaced as a whole. Routers with
/// equal revisions are sent the same message.
struct SentRevisions {
  uint64_t retired = 0;
  uint64_t weights = 0;
  uint64_t members = 0;
  uint64_t rollouts = 0;
  uint64_t mixed_services = 0;
  bool operator<(const SentRevisions& other) const {
    return std::tie(retired, weights, members, rollouts, mixed_services) <
           std::tie(other.retired, other.weights, other.members, other.rollouts, other.mixed_services);
  }
};

/// State of one router's connection.
struct RouterLink {
  fleet::RouterStatus status;  ///< last one received
  std::shared_ptr<wire::Channel> channel;
  TimePoint last_status_at{0};
  bool silent = false;  ///< regarded as gone until its next status arrives
  SentRevisions sent;
  FeedPosition feed;
  uint64_t sent_configuration_version = 0;  ///< version sent last, to its end
  uint32_t configuration_copies = 0;        ///< of that version, on this connection
  fleet::RelayList sent_relays;             ///< as sent last
  uint64_t relays_revision = 0;             ///< RelaySelection::revision() when they were last selected
  /// Highest spending number received on this connection; see fleet::RouterLoads.
  uint64_t acknowledged_spending_sequence = 0;

  bool fetches_configurations() const { return status.protocol_version >= fleet::kFirstFetchingVersion; }
  /// Version that the router holds once it has read what was sent to it.
  uint64_t expected_configuration_version() const {
    return std::max(status.configuration_version, sent_configuration_version);
  }
  /// Starts over on a new connection.
  void reconnect(const std::shared_ptr<wire::Channel>& connection) {
    channel = connection;
    sent = {};
    feed = {};
    sent_configuration_version = 0;
    configuration_copies = 0;
    sent_relays = {};
    relays_revision = 0;
    acknowledged_spending_sequence = 0;
  }
};

}  // namespace stoat::control
