/// The order in which waiting requests are started: strict priority between classes, weighted fair queueing
/// within a class.
#pragma once

#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>

#include "src/common/time.h"

namespace stoat::admission {

/// The properties of a waiting request that determine its order.
struct FairQueueEntry {
  uint64_t request_id = 0;
  std::string flow;      ///< the tenant
  int32_t priority = 0;  ///< classes with higher values are served first
  double share = 1;
  double cost = 1;  ///< in any unit, as long as all callers use the same
  /// Within a flow, the earliest goes first. Requests with equal values go in order of arrival.
  TimePoint due{0};
};

/// A priority queue of waiting requests that shares each class fairly between its flows. Uses start-time fair
/// queueing: the virtual time of a flow advances by cost / share.
class FairQueue {
 public:
  void push(const FairQueueEntry& waiting);
  /// Removes and returns the next request whose flow is eligible; nullopt if there is none.
  std::optional<FairQueueEntry> pop(const std::function<bool(const FairQueueEntry&)>& eligible);
  /// Puts a request that pop() just removed, but that could not be started, back at the head of its flow.
  void put_back(const FairQueueEntry& waiting);
  /// Removes a request. Returns false if it is not queued.
  bool remove(uint64_t request_id);
  size_t size() const { return size_; }
  /// Returns the total cost of the requests that would be served before a new request of this priority.
  double cost_ahead(int32_t priority) const;

 private:
  struct Flow {
    std::deque<FairQueueEntry> requests;
    double virtual_time = 0;
  };
  struct PriorityClass {
    std::map<std::string, Flow> flows;
    double virtual_time = 0;
  };
  std::map<int32_t, PriorityClass, std::greater<>> classes_;
  size_t size_ = 0;
};

}  // namespace stoat::admission
