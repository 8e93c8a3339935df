/// Options of the sockets below evhttp.
#pragma once

#include "src/common/settings.h"
#include "src/common/time.h"

struct evhttp_connection;
struct bufferevent;
struct event_base;

namespace stoat::http {

/// Makes small writes leave at once. Otherwise the kernel holds a token back until the one before it is
/// acknowledged, which takes up to 40 ms.
void disable_nagle(int socket);

/// Overload for the socket of an HTTP connection.
void disable_nagle(evhttp_connection* connection);

/// Closes a connection, or gives up making it, once what was sent has gone unacknowledged for so long.
void limit_silence(int socket, Duration limit);

/// Lets the kernel ask a quiet peer for a sign of life every second; with limit_silence() a connection to a
/// machine that has gone dark ends even while nothing is being sent.
void enable_keepalive_probes(int socket);

/// A bufferevent that is connecting to an endpoint, without delay for small writes and with limit_silence().
/// Its callbacks are deferred. nullptr when the endpoint is malformed or no socket is to be had.
bufferevent* start_connection(event_base* base, const Endpoint& endpoint, Duration silence_limit);

/// Closes the socket of a bufferevent immediately and frees the bufferevent. bufferevent_free() alone defers
/// closing the socket to the event loop. If a deferred callback is pending and the loop does not run again,
/// the socket stays open and the peer keeps sending to it.
void close_connection(bufferevent* connection);

}  // namespace stoat::http
