/// How a control member speaks to engines and KV stores: orders and questions for their state. The form on
/// the wire is the implementation's.
#pragma once

#include <functional>
#include <optional>
#include <string>

#include "src/control/weight_rollout.h"

namespace stoat::control {

/// An order to load a version of a model's weights. Running requests pause and go on under the new ones.
struct VersionOrder {
  std::string engine;   ///< the incarnation that it is meant for
  std::string address;  ///< "address:port"
  std::string model;
  uint64_t version = 0;
  std::string holder;  ///< who gives orders
  uint64_t fence = 0;  ///< of the holder's term; engines refuse lower ones
  uint64_t expected_sequence = 0;
};

/// See the head of this file. Each callback is called exactly once.
class EngineOrders {
 public:
  virtual ~EngineOrders() = default;
  virtual void send(const VersionOrder& order, std::function<void(OrderAnswer)> on_answer) = 0;
  /// `on_report` gets nullptr when no report came.
  virtual void ask(const std::string& address, std::function<void(const EngineReport*)> on_report) = 0;
  /// Waits up to a second for news of a KV store after event number `since`. Tells the number of its newest
  /// event, or nullopt when it can't be reached.
  virtual void watch_store(const std::string& address, uint64_t since,
                           std::function<void(std::optional<uint64_t>)> on_news) = 0;
};

}  // namespace stoat::control
