/// The requests that wait at a router for a slot of one service, and the order in which they are sent: the
/// most urgent first, tenants with equally urgent requests in turn according to the slot time they use, and
/// each tenant's earliest deadline first.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <string>

#include "src/admission/fair_queue.h"
#include "src/common/time.h"

namespace stoat::admission {

/// A waiting request.
struct QueuedRequest {
  std::string tenant;
  uint32_t urgency = 0;  ///< 0 is the most urgent
  TimePoint deadline{0};
  double slot_ms = 0;  ///< expected time that the request occupies an engine's slot
};

/// Callbacks of a waiting request.
struct QueueCallbacks {
  std::function<bool()> has_room;  ///< returns whether an engine would take the request now
  std::function<void()> send;
};

/// The waiting requests of one service at one router. Every queued request leaves the queue either by being
/// sent or through cancel().
class RequestQueue {
 public:
  /// Adds a request and returns its number for cancel().
  uint64_t push(const QueuedRequest& request, QueueCallbacks callbacks);
  void cancel(uint64_t number);
  /// Sends requests in order, as long as there is room.
  void send_ready();
  /// Returns true if no waiting request has the same or a higher urgency.
  bool none_as_urgent(uint32_t urgency) const;
  size_t size() const { return queue_.size(); }

 private:
  FairQueue queue_;
  std::map<uint64_t, QueueCallbacks> callbacks_;
  uint64_t last_number_ = 0;
};

}  // namespace stoat::admission
