/// The routers that relay connections for this one, as the control members named them.
#pragma once

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "src/common/random.h"
#include "src/common/settings.h"
#include "src/common/time.h"

namespace stoat::relay {

/// A router that relays connections.
struct Relay {
  Endpoint endpoint;
  size_t connections = 0;      ///< that this router has open through it
  TimePoint avoided_until{0};  ///< it failed, or had no room
};

using RelayPtr = std::shared_ptr<Relay>;

/// Counts one connection through a relay for as long as it exists.
class RelayUse {
 public:
  explicit RelayUse(RelayPtr relay) : relay_(std::move(relay)) { ++relay_->connections; }
  ~RelayUse() { --relay_->connections; }
  RelayUse(const RelayUse&) = delete;
  RelayUse& operator=(const RelayUse&) = delete;
  const RelayPtr& relay() const { return relay_; }

 private:
  RelayPtr relay_;
};

/// Chooses among the known relays.
class RelaySet {
 public:
  /// Replaces the list. Malformed addresses are dropped.
  void set(const std::vector<std::string>& addresses);
  /// Of two relays drawn at random, the one with fewer connections of this router; nullptr if none can be
  /// used now.
  RelayPtr choose(Random& random, TimePoint now) const;
  /// Whether a relay can be used now.
  bool usable(TimePoint now) const;
  /// The relay did not answer, broke off, or had no room: it is not chosen for a while.
  static void avoid(Relay& relay, TimePoint now);
  size_t size() const { return relays_.size(); }

 private:
  std::vector<RelayPtr> relays_;
};

}  // namespace stoat::relay
