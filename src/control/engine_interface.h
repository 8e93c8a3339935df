/// How a control member speaks to engines and KV stores: orders and questions for their state. The form on
/// the wire is the implementation's.
#pragma once

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "src/control/weight_rollout.h"
#include "src/fleet/fleet_messages.h"

namespace stoat::control {

/// An order to load a version of a model's weights. Running requests pause and go on under the new ones.
struct LoadWeightsOrder {
  std::string engine;   ///< the incarnation that it is meant for
  std::string address;  ///< "address:port"
  std::string model;
  uint64_t version = 0;
  std::string holder;  ///< who gives orders
  uint64_t fence = 0;  ///< of the holder's term; engines refuse lower ones
  uint64_t expected_sequence = 0;
};

/// What a cache tells of its changes.
struct CacheEvents {
  uint64_t epoch = 0;                       ///< changes when the cache has restarted, which empties it
  uint64_t next_event = 0;                  ///< to ask from the next time
  bool gap = false;                         ///< changes before these are not to be had any more
  std::vector<fleet::CachedPart> holdings;  ///< in order
};

/// See the head of this file. Each callback is called exactly once.
class EngineInterface {
 public:
  virtual ~EngineInterface() = default;
  virtual void send(const LoadWeightsOrder& order, std::function<void(OrderAnswer)> on_answer) = 0;
  /// `on_report` gets nullptr when no report came.
  virtual void ask(const std::string& address, std::function<void(const EngineReport*)> on_report) = 0;
  /// Waits up to a second for changes in the cache of an engine or a store after event number `since`. Gets
  /// nullptr when it can't be reached.
  virtual void poll_cache_events(const std::string& address, uint64_t since,
                                 std::function<void(const CacheEvents*)> on_events) = 0;
};

}  // namespace stoat::control
