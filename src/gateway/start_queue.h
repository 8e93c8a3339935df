/// Requests that came in before the router could decide about them: it has just started, and has no confirmed
/// configuration yet. After a restart of the whole fleet that takes a second or so, while a caller who is
/// refused has at most a few attempts left.
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
  std::shared_ptr<edge::ResponseWriter> answer;
  TimePoint arrived{0};
  TimePoint expires{0};  ///< refused when the router can't decide by then
};

/// See the head of this file.
class StartQueue {
 public:
  /// Bounds the memory that a starting router spends; more are refused at once.
  static constexpr size_t kMostRequests = 512;

  /// False when the queue is full; the request is then left as it was.
  bool add(WaitingRequest& request);
  /// Forgets a request whose caller has left.
  void remove(const edge::ResponseWriter* answer);
  /// Takes all out, in order of arrival.
  std::vector<WaitingRequest> take_all();
  /// Takes out those whose time is over.
  std::vector<WaitingRequest> take_expired(TimePoint now);
  size_t size() const { return requests_.size(); }

 private:
  std::vector<WaitingRequest> requests_;
};

/// How long a request may wait in the queue: never longer than half of the time that its caller gives it, so
/// that there is time left to serve it or to ask elsewhere. `caller_limit_ms` is absent when it names none.
Duration start_wait(std::optional<int64_t> caller_limit_ms, Duration most);

}  // namespace stoat::gateway
