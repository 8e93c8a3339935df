#include "src/http/socket_options.h"

#include <event2/bufferevent.h>
#include <event2/http.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace stoat::http {

void send_without_delay(evhttp_connection* connection) {
  const evutil_socket_t descriptor = bufferevent_getfd(evhttp_connection_get_bufferevent(connection));
  const int on = 1;
  if (descriptor >= 0) {
    setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  }
}

}  // namespace stoat::http
