/// The order in which waiting requests start: strict priority between classes, weighted fair queueing within
/// one.
#pragma once

#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>

#include "src/common/time.h"

namespace stoat::admission {

/// What the queue needs to know of a waiting request.
struct Waiting {
  uint64_t request_id = 0;
  std::string flow;  ///< the tenant
  int32_t priority = 0;
  double share = 1;
  double cost = 1;   ///< in whatever unit the caller counts
  TimePoint due{0};  ///< within a flow the earliest goes first; of those due together, the first that came
};

/// See the head of this file. Start-time fair queueing: each flow's virtual time grows by cost / share.
class FairQueue {
 public:
  void push(const Waiting& waiting);
  /// Takes the next request whose flow is eligible, or nothing.
  std::optional<Waiting> pop(const std::function<bool(const Waiting&)>& eligible);
  /// Puts back, at the head of its flow, what pop() just gave but could not be started.
  void put_back(const Waiting& waiting);
  /// Removes a request. False when it is not here.
  bool remove(uint64_t request_id);
  size_t size() const { return size_; }
  /// Cost of all that would be served before a new request of this priority.
  double cost_ahead(int32_t priority) const;

 private:
  struct Flow {
    std::deque<Waiting> requests;
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
