/// How a control member communicates with engines and KV stores: it orders engines to load weights, and reads
/// reports and cache events. The implementation defines the wire format.
#pragma once

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "src/control/weight_rollout.h"
#include "src/fleet/fleet_messages.h"

namespace stoat::control {

/// An order to load a version of a model's weights. Running requests pause and continue with the new weights.
struct LoadWeightsOrder {
  std::string engine;   ///< id of the incarnation that the order is for
  std::string address;  ///< "address:port"
  std::string model;
  uint64_t version = 0;
  std::string holder;              ///< name of the control member that sends the order
  uint64_t fencing_token = 0;      ///< the term of the holder; engines refuse orders with a lower one
  uint64_t expected_sequence = 0;  ///< number of orders that the engine must have accepted so far
};

/// A cache's answer to a poll for events.
struct CacheEvents {
  uint64_t epoch = 0;                       ///< changes when the cache restarts, which empties it
  uint64_t next_event = 0;                  ///< `since` of the next poll
  bool gap = false;                         ///< events before these are no longer available
  std::vector<fleet::CachedPart> holdings;  ///< in the order of the events
};

/// Client of engines and KV stores. Each callback is called exactly once.
class EngineInterface {
 public:
  virtual ~EngineInterface() = default;
  virtual void send(const LoadWeightsOrder& order, std::function<void(OrderAnswer)> on_answer) = 0;
  /// Requests the report of an engine. `on_report` gets nullptr when no valid report was received.
  virtual void request_report(const std::string& address,
                              std::function<void(const EngineReport*)> on_report) = 0;
  /// Waits up to a second for events after number `since` in the cache of an engine or a store. `on_events`
  /// gets nullptr when no valid answer was received.
  virtual void poll_cache_events(const std::string& address, uint64_t since,
                                 std::function<void(const CacheEvents*)> on_events) = 0;
};

}  // namespace stoat::control
