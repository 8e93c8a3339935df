/// One router's connection to a control member, and what was told on it.
#pragma once

#include <memory>
#include <string>
#include <tuple>

#include "src/control/fleet_soft_state.h"
#include "src/wire/channel.h"

namespace stoat::control {

/// What was told of the lists that only grow or change whole, by their revisions. Routers that were told the
/// same get the same message.
struct SentRevisions {
  uint64_t retired = 0;
  uint64_t weights = 0;
  uint64_t members = 0;
  uint64_t rollouts = 0;
  bool operator<(const SentRevisions& other) const {
    return std::tie(retired, weights, members, rollouts) <
           std::tie(other.retired, other.weights, other.members, other.rollouts);
  }
};

/// See the head of this file.
struct RouterLink {
  fleet::RouterStatus status;  ///< the last one
  std::shared_ptr<wire::Channel> channel;
  TimePoint heard{0};
  bool silent = false;  ///< taken for gone until it is heard again
  SentRevisions told;
  FeedCursor cursor;
  uint64_t sent_configuration_version = 0;  ///< version
  TimePoint configuration_sent_at{0};
  uint64_t acknowledged_spending_sequence = 0;  ///< newest number of spending that came on the connection

  /// Begins anew on a connection.
  void reconnect(const std::shared_ptr<wire::Channel>& connection) {
    channel = connection;
    told = {};
    cursor = {};
    sent_configuration_version = 0;
    acknowledged_spending_sequence = 0;
  }
};

/// A message to routers at one cursor, encoded once.
struct FeedFrame {
  wire::Frame frame;  ///< empty: nothing is new
  FeedCursor after;
  bool complete = true;
};

}  // namespace stoat::control
