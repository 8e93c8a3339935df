/// The requests that wait at a router for a slot of one service, and the order in which they are sent: the
/// most urgent first, tenants of one urgency in turn by the slot time that they take, each one's earliest
/// deadline first.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <string>

#include "src/admission/fair_queue.h"
#include "src/common/time.h"

namespace stoat::admission {

/// A request that waits.
struct QueuedRequest {
  std::string tenant;
  uint32_t urgency = 0;  ///< 0 is the most urgent
  TimePoint deadline{0};
  double slot_ms = 0;  ///< of an engine's slot that it is expected to take
};

/// How a request that waits is asked and told.
struct QueueHandlers {
  std::function<bool()> has_room;  ///< an engine would take it now
  std::function<void()> send;
};

/// See the head of this file. Whoever is pushed leaves: by being sent, or by leave().
class RequestQueue {
 public:
  /// Returns the number by which it leaves.
  uint64_t push(const QueuedRequest& request, QueueHandlers handlers);
  void leave(uint64_t number);
  /// Sends in order, as long as there is room.
  void send_ready();
  /// True when nothing as urgent or more so waits.
  bool none_as_urgent(uint32_t urgency) const;
  size_t size() const { return queue_.size(); }

 private:
  FairQueue queue_;
  std::map<uint64_t, QueueHandlers> handlers_;
  uint64_t last_number_ = 0;
};

}  // namespace stoat::admission
