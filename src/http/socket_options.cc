#include "src/http/socket_options.h"

#include <event2/bufferevent.h>
#include <event2/http.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace stoat::http {

void send_without_delay(int socket) {
  const int on = 1;
  if (socket >= 0) {
    setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  }
}

void send_without_delay(evhttp_connection* connection) {
  send_without_delay(bufferevent_getfd(evhttp_connection_get_bufferevent(connection)));
}

}  // namespace stoat::http
