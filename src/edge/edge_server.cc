#include "src/edge/edge_server.h"

#include <event2/listener.h>

#include <algorithm>
#include <cerrno>
#include <cstring>
#include <stdexcept>
#include <vector>

#include "src/edge/client_connection.h"

namespace stoat::edge {

EdgeServer::EdgeServer(EventLoop& loop, const Endpoint& endpoint, RequestHandler& handler,
                       const BufferLimits& buffer_limits)
    : loop_(loop),
      handler_(handler),
      buffer_limits_(buffer_limits),
      buffer_budget_(buffer_limits.total_bytes) {
  sockaddr_storage address{};
  int length = sizeof(address);
  const std::string text = to_string(endpoint);
  if (evutil_parse_sockaddr_port(text.c_str(), reinterpret_cast<sockaddr*>(&address), &length) != 0) {
    throw std::runtime_error("bad address " + text);
  }
  const auto on_accept = [](evconnlistener*, evutil_socket_t socket, sockaddr*, int, void* context) {
    static_cast<EdgeServer*>(context)->accept(socket);
  };
  listener_ = evconnlistener_new_bind(loop.base(), on_accept, this, LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE,
                                      -1, reinterpret_cast<sockaddr*>(&address), length);
  if (listener_ == nullptr) {
    throw std::runtime_error("cannot listen on " + text + ": " + std::strerror(errno));
  }
}

EdgeServer::~EdgeServer() {
  stop_listening();
  connections_.clear();
}

void EdgeServer::accept(evutil_socket_t socket) {
  auto connection = std::make_shared<ClientConnection>(*this, socket);
  connections_[connection.get()] = connection;
}

void EdgeServer::remove_connection(ClientConnection* connection) { connections_.erase(connection); }

size_t EdgeServer::busy_count() const {
  return static_cast<size_t>(std::count_if(connections_.begin(), connections_.end(),
                                           [](const auto& entry) { return entry.second->busy(); }));
}

void EdgeServer::stop_listening() {
  if (listener_ == nullptr) {
    return;
  }
  evconnlistener_free(listener_);
  listener_ = nullptr;
  std::vector<std::shared_ptr<ClientConnection>> idle;
  for (const auto& [pointer, connection] : connections_) {
    if (!connection->busy()) {
      idle.push_back(connection);
    }
  }
  for (const auto& connection : idle) {
    connection->close();
  }
}

}  // namespace stoat::edge
