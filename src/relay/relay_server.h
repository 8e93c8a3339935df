/// Relays connections to backends for routers that can't reach them. A relayed connection is a tunnel: the
/// asking router decides what is sent, and this router only moves bytes, as fast as the slower side takes
/// them.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <tl/expected.hpp>

#include "src/common/settings.h"
#include "src/http/event_loop.h"
#include "src/relay/relay_protocol.h"

struct evconnlistener;

namespace stoat::relay {

/// Limits of a relay server.
struct RelayLimits {
  size_t connections = 256;  ///< relayed at the same time; more are turned away
};

/// What a relay server has done since its start.
struct RelayCounts {
  uint64_t connections = 0;  ///< to backends, that were established
  uint64_t failures = 0;     ///< connections to backends that could not be established
  uint64_t refusals = 0;     ///< requests turned away for lack of room
  uint64_t bytes = 0;        ///< moved, in both directions
};

class RelayedConnection;

/// Accepts relay connections on one address.
class RelayServer {
 public:
  /// Returns where to connect to reach a backend, or why it can't be reached from here.
  using Resolver = std::function<tl::expected<Endpoint, ConnectFailure>(const std::string& backend)>;

  /// Throws std::runtime_error if the address can't be bound.
  RelayServer(EventLoop& loop, const Endpoint& endpoint, const RelayLimits& limits, Resolver resolve);
  ~RelayServer();
  RelayServer(const RelayServer&) = delete;
  RelayServer& operator=(const RelayServer&) = delete;

  /// Turns new requests away, and asks the other routers to end their connections after the current exchange.
  void start_draining();
  /// Number of open relay connections.
  size_t size() const { return connections_.size(); }
  const RelayCounts& counts() const { return counts_; }

 private:
  friend class RelayedConnection;
  void accept(int socket);
  void remove(RelayedConnection* connection);

  EventLoop& loop_;
  RelayLimits limits_;
  Resolver resolve_;
  evconnlistener* listener_ = nullptr;
  bool draining_ = false;
  RelayCounts counts_;
  std::map<RelayedConnection*, std::shared_ptr<RelayedConnection>> connections_;
};

}  // namespace stoat::relay
