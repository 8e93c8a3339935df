/// The callers' side: listens, reads requests strictly and within limits, and writes answers. One request at
/// a time on a connection; bytes of the next one wait. What is held for slow readers is bounded: for each
/// answer by pauses of its source, over all connections by HeldBytes. A request for which there is no room is
/// refused before it is read.
#pragma once

#include <event2/bufferevent.h>

#include <map>
#include <memory>
#include <string>

#include "src/common/settings.h"
#include "src/edge/edge_request.h"
#include "src/edge/held_bytes.h"
#include "src/http/event_loop.h"

struct evconnlistener;

namespace stoat::edge {

/// Bounds on what callers send; the fields may change while the server runs.
struct EdgeLimits {
  size_t header_bytes = 16384;
  size_t body_bytes = 4194304;
  Duration header_timeout = 3s;
  Duration idle_timeout = 15s;
};

/// Bounds on what is held for callers; fixed while the server runs.
struct HoldLimits {
  /// Over all connections, both directions.
  size_t total_bytes = 32U << 20U;
  /// A caller that takes nothing of its answer for so long is let go. Engines cut off what stays unread for
  /// some seconds.
  Duration stall = 5s;
};

/// What became of slow readers, since the start.
struct FlowCounts {
  uint64_t pauses = 0;   ///< answers whose source was told to stop
  uint64_t let_go = 0;   ///< callers that took nothing for too long
  uint64_t no_room = 0;  ///< requests refused since too much was held
};

class CallerConnection;

/// See the head of this file.
class EdgeServer {
 public:
  /// Throws std::runtime_error when the address can't be bound.
  EdgeServer(EventLoop& loop, const Endpoint& endpoint, RequestHandler& handler, const HoldLimits& hold = {});
  ~EdgeServer();
  EdgeServer(const EdgeServer&) = delete;
  EdgeServer& operator=(const EdgeServer&) = delete;

  void set_limits(const EdgeLimits& limits) { limits_ = limits; }
  const EdgeLimits& limits() const { return limits_; }
  /// From now on each answer is the last of its connection.
  void start_draining() { draining_ = true; }
  bool draining() const { return draining_; }
  /// Stops taking new connections and closes the idle ones.
  void stop_listening();
  size_t connection_count() const { return connections_.size(); }
  /// Connections on which a request is being read or answered.
  size_t busy_count() const;
  const HeldBytes& held() const { return held_; }
  const FlowCounts& flow_counts() const { return flow_counts_; }

 private:
  friend class CallerConnection;
  void accept(evutil_socket_t socket);
  void forget(CallerConnection* connection);

  EventLoop& loop_;
  RequestHandler& handler_;
  EdgeLimits limits_;
  HoldLimits hold_;
  HeldBytes held_;
  FlowCounts flow_counts_;
  bool draining_ = false;
  evconnlistener* listener_ = nullptr;
  std::map<CallerConnection*, std::shared_ptr<CallerConnection>> connections_;
};

}  // namespace stoat::edge
