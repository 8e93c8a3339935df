#include "src/http/socket_options.h"

#include <event2/bufferevent.h>
#include <event2/http.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

namespace stoat::http {

void disable_nagle(int socket) {
  const int on = 1;
  if (socket >= 0) {
    setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  }
}

void set_unacknowledged_timeout(int socket, Duration limit) {
  const auto milliseconds = static_cast<unsigned int>(to_milliseconds(limit));
  if (socket >= 0) {
    setsockopt(socket, IPPROTO_TCP, TCP_USER_TIMEOUT, &milliseconds, sizeof(milliseconds));
  }
}

void enable_keepalive_probes(int socket) {
  const int on = 1;
  const int seconds = 1;
  const int probes = 2;
  if (socket >= 0) {
    setsockopt(socket, SOL_SOCKET, SO_KEEPALIVE, &on, sizeof(on));
    setsockopt(socket, IPPROTO_TCP, TCP_KEEPIDLE, &seconds, sizeof(seconds));
    setsockopt(socket, IPPROTO_TCP, TCP_KEEPINTVL, &seconds, sizeof(seconds));
    setsockopt(socket, IPPROTO_TCP, TCP_KEEPCNT, &probes, sizeof(probes));
  }
}

bufferevent* start_connection(event_base* base, const Endpoint& endpoint, Duration unacknowledged_timeout) {
  sockaddr_storage address{};
  int length = sizeof(address);
  const std::string text = to_string(endpoint);
  if (evutil_parse_sockaddr_port(text.c_str(), reinterpret_cast<sockaddr*>(&address), &length) != 0) {
    return nullptr;
  }
  const int descriptor = socket(address.ss_family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (descriptor < 0) {
    return nullptr;
  }
  disable_nagle(descriptor);
  set_unacknowledged_timeout(descriptor, unacknowledged_timeout);
  bufferevent* connection =
      bufferevent_socket_new(base, descriptor, BEV_OPT_CLOSE_ON_FREE | BEV_OPT_DEFER_CALLBACKS);
  if (connection == nullptr) {
    ::close(descriptor);
    return nullptr;
  }
  if (bufferevent_socket_connect(connection, reinterpret_cast<sockaddr*>(&address), length) != 0) {
    bufferevent_free(connection);
    return nullptr;
  }
  return connection;
}

bool closed_in_order(short events) {
  return (events & BEV_EVENT_EOF) != 0 && (events & (BEV_EVENT_ERROR | BEV_EVENT_TIMEOUT)) == 0;
}

void close_connection(bufferevent* connection) {
  const evutil_socket_t descriptor = bufferevent_getfd(connection);
  if (descriptor >= 0) {
    bufferevent_setfd(connection, -1);
    evutil_closesocket(descriptor);
  }
  bufferevent_free(connection);
}

void disable_nagle(evhttp_connection* connection) {
  disable_nagle(bufferevent_getfd(evhttp_connection_get_bufferevent(connection)));
}

}  // namespace stoat::http
