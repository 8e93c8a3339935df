#include "src/relay/relay_server.h"

#include <event2/event.h>
#include <event2/listener.h>

#include <cerrno>
#include <cstring>
#include <stdexcept>
#include <utility>

#include "src/relay/relayed_connection.h"

namespace stoat::relay {

RelayServer::RelayServer(EventLoop& loop, const Endpoint& endpoint, const RelayLimits& limits,
                         Resolver resolve)
    : loop_(loop), limits_(limits), resolve_(std::move(resolve)) {
  sockaddr_storage address{};
  int length = sizeof(address);
  const std::string text = to_string(endpoint);
  if (evutil_parse_sockaddr_port(text.c_str(), reinterpret_cast<sockaddr*>(&address), &length) != 0) {
    throw std::runtime_error("malformed address " + text);
  }
  const auto on_accept = [](evconnlistener*, evutil_socket_t socket, sockaddr*, int, void* context) {
    static_cast<RelayServer*>(context)->accept(socket);
  };
  listener_ = evconnlistener_new_bind(loop.base(), on_accept, this, LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE,
                                      -1, reinterpret_cast<sockaddr*>(&address), length);
  if (listener_ == nullptr) {
    throw std::runtime_error("cannot listen on " + text + ": " + std::strerror(errno));
  }
}

RelayServer::~RelayServer() {
  connections_.clear();
  evconnlistener_free(listener_);
}

void RelayServer::accept(int socket) {
  const auto connection = std::make_shared<RelayedConnection>(*this, socket);
  connections_[connection.get()] = connection;
  if (draining_) {
    connection->announce_closing();
  }
}

void RelayServer::remove(RelayedConnection* connection) {
  const auto known = connections_.find(connection);
  if (known != connections_.end()) {
    // Deferred, because the connection is in one of its own callbacks.
    loop_.after(Duration(0), [closed = std::move(known->second)] {});
    connections_.erase(known);
  }
}

void RelayServer::start_draining() {
  draining_ = true;
  for (const auto& [raw, connection] : connections_) {
    connection->announce_closing();
  }
}

}  // namespace stoat::relay
