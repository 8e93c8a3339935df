/// The callers' side: listens, reads requests strictly and within limits, and writes answers. One request at
/// a time on a connection; bytes of the next one wait. Connections are counted against nothing but the idle
/// and header times of the limits.
#pragma once

#include <event2/bufferevent.h>

#include <map>
#include <memory>
#include <string>

#include "src/common/settings.h"
#include "src/edge/caller_request.h"
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

class CallerConnection;

/// See the head of this file.
class EdgeServer {
 public:
  /// Throws std::runtime_error when the address can't be bound.
  EdgeServer(EventLoop& loop, const Endpoint& endpoint, RequestHandler& handler);
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

 private:
  friend class CallerConnection;
  void accept(evutil_socket_t socket);
  void forget(CallerConnection* connection);

  EventLoop& loop_;
  RequestHandler& handler_;
  EdgeLimits limits_;
  bool draining_ = false;
  evconnlistener* listener_ = nullptr;
  std::map<CallerConnection*, std::shared_ptr<CallerConnection>> connections_;
};

}  // namespace stoat::edge
