/// Queues requests that arrive before the router can decide about them: it has just started and has no
/// confirmed configuration yet. After a restart of the whole fleet, this state lasts a second or so. A
/// client that is refused during this time has at most a few attempts left.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <vector>

#include "src/common/time.h"
#include "src/edge/edge_request.h"

namespace stoat::gateway {

/// One request in the queue.
struct WaitingRequest {
  edge::EdgeRequest request;
  std::shared_ptr<edge::ResponseWriter> response;
  TimePoint arrived{0};
  TimePoint expires{0};  ///< refused if the router can't decide by then
};

/// A bounded queue of requests, in order of arrival.
class StartupQueue {
 public:
  /// Limits the memory a starting router uses; further requests are refused at once.
  static constexpr size_t kMaxRequests = 512;

  /// Returns false when the queue is full; the request is then left unchanged.
  bool add(WaitingRequest& request);
  /// Removes the request of a client that has disconnected.
  void remove(const edge::ResponseWriter* response);
  /// Removes and returns all requests, in order of arrival.
  std::vector<WaitingRequest> take_all();
  /// Removes and returns the requests that have expired.
  std::vector<WaitingRequest> take_expired(TimePoint now);
  size_t size() const { return requests_.size(); }

 private:
  std::vector<WaitingRequest> requests_;
};

/// Returns how long a request may wait in the queue: at most `max_wait`, and at most half of the client's
/// timeout, so that there is time left to serve it or to try elsewhere. `client_timeout_ms` is absent when
/// the client sets none.
Duration startup_wait_limit(std::optional<int64_t> client_timeout_ms, Duration max_wait);

}  // namespace stoat::gateway
