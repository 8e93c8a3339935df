/// The client side of the router: listens, parses requests strictly and within limits, and writes responses.
/// Each connection carries one request at a time; bytes of the next one wait. Data buffered for slow clients
/// is limited: for each response by pausing its source, and over all connections by BufferBudget. A request
/// for which there is no buffer space is refused before its body is read.
#pragma once

#include <event2/bufferevent.h>

#include <map>
#include <memory>
#include <string>

#include "src/common/settings.h"
#include "src/edge/buffer_budget.h"
#include "src/edge/edge_request.h"
#include "src/http/event_loop.h"

struct evconnlistener;

namespace stoat::edge {

/// Limits on what clients send; the fields may change while the server runs.
struct EdgeLimits {
  size_t header_bytes = 16384;
  size_t body_bytes = 4194304;
  Duration header_timeout = 3s;
  Duration idle_timeout = 15s;
};

/// Limits on what is buffered for clients; fixed while the server runs.
struct BufferLimits {
  /// Over all connections, in both directions.
  size_t total_bytes = 32U << 20U;
  /// A client that reads nothing of its response for this long is disconnected. Engines close a connection
  /// whose data stays unread for some seconds.
  Duration stall_timeout = 5s;
};

/// What happened to slow clients, since the start.
struct SlowReaderCounts {
  uint64_t pauses = 0;           ///< responses whose source was asked to pause
  uint64_t stalled_clients = 0;  ///< clients that were disconnected because they read nothing for too long
  uint64_t buffer_refusals = 0;  ///< requests refused because too much was buffered
};

class ClientConnection;

/// Accepts client connections and passes their requests to a handler.
class EdgeServer {
 public:
  /// Throws std::runtime_error when the address can't be bound.
  EdgeServer(EventLoop& loop, const Endpoint& endpoint, RequestHandler& handler,
             const BufferLimits& buffer_limits = {});
  ~EdgeServer();
  EdgeServer(const EdgeServer&) = delete;
  EdgeServer& operator=(const EdgeServer&) = delete;

  void set_limits(const EdgeLimits& limits) { limits_ = limits; }
  const EdgeLimits& limits() const { return limits_; }
  /// From now on, each response is the last of its connection.
  void start_draining() { draining_ = true; }
  bool draining() const { return draining_; }
  /// Stops accepting connections and closes the idle ones.
  void stop_listening();
  size_t connection_count() const { return connections_.size(); }
  /// Connections on which a request is being read or answered.
  size_t busy_count() const;
  const BufferBudget& buffer_budget() const { return buffer_budget_; }
  const SlowReaderCounts& slow_reader_counts() const { return slow_reader_counts_; }

 private:
  friend class ClientConnection;
  void accept(evutil_socket_t socket);
  void remove_connection(ClientConnection* connection);

  EventLoop& loop_;
  RequestHandler& handler_;
  EdgeLimits limits_;
  BufferLimits buffer_limits_;
  BufferBudget buffer_budget_;
  SlowReaderCounts slow_reader_counts_;
  bool draining_ = false;
  evconnlistener* listener_ = nullptr;
  std::map<ClientConnection*, std::shared_ptr<ClientConnection>> connections_;
};

}  // namespace stoat::edge
