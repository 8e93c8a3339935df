/// One router's connection to a control member, and what was told on it.
#pragma once

#include <memory>
#include <string>
#include <tuple>

#include "src/control/fleet_knowledge.h"
#include "src/wire/channel.h"

namespace stoat::control {

/// What was told of the lists that only grow or change whole, by their revisions. Routers that were told the
/// same get the same message.
struct ToldRevisions {
  uint64_t retired = 0;
  uint64_t weights = 0;
  uint64_t members = 0;
  uint64_t rollouts = 0;
  bool operator<(const ToldRevisions& other) const {
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
  ToldRevisions told;
  FeedCursor cursor;
  uint64_t configuration_sent = 0;  ///< version
  TimePoint configuration_sent_at{0};
  uint64_t spending_taken = 0;  ///< newest number of spending that came on the connection

  /// Begins anew on a connection.
  void reconnect(const std::shared_ptr<wire::Channel>& connection) {
    channel = connection;
    told = {};
    cursor = {};
    configuration_sent = 0;
    spending_taken = 0;
  }
};

/// A message to routers at one cursor, encoded once.
struct FeedFrame {
  wire::Frame frame;  ///< empty: nothing is new
  FeedCursor after;
  bool complete = true;
};

}  // namespace stoat::control
