/// Options of the sockets below evhttp.
#pragma once

struct evhttp_connection;

namespace stoat::http {

/// Makes small writes leave at once. Otherwise the kernel holds a token back until the one before it is
/// acknowledged, which takes up to 40 ms.
void send_without_delay(int socket);
/// The same for the socket of an HTTP connection.
void send_without_delay(evhttp_connection* connection);

}  // namespace stoat::http
