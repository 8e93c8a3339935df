/// TCP socket options, and opening and closing of connections.
#pragma once

#include "src/common/settings.h"
#include "src/common/time.h"

struct evhttp_connection;
struct bufferevent;
struct event_base;

namespace stoat::http {

/// Disables Nagle's algorithm (TCP_NODELAY). With it, the kernel delays a small write, such as one token,
/// until the previous one is acknowledged, which takes up to 40 ms.
void disable_nagle(int socket);

/// Overload for the socket of an HTTP connection.
void disable_nagle(evhttp_connection* connection);

/// Sets how long sent data may stay unacknowledged (TCP_USER_TIMEOUT) before the kernel closes the connection
/// or gives up connecting.
void set_unacknowledged_timeout(int socket, Duration limit);

/// Enables TCP keepalive probes after one second without traffic, repeated every second. Together with
/// set_unacknowledged_timeout(), a connection to an unreachable machine is closed even while nothing is being
/// sent.
void enable_keepalive_probes(int socket);

/// Starts connecting to an endpoint, with disable_nagle() and set_unacknowledged_timeout() applied. The
/// callbacks of the returned bufferevent are deferred. Returns nullptr if the endpoint is malformed or no
/// socket can be opened or connected.
bufferevent* start_connection(event_base* base, const Endpoint& endpoint, Duration unacknowledged_timeout);

/// True if a bufferevent's events say that the peer closed its connection in order. Deferred callbacks report
/// the events of several operations together: after a reset that a write has met, a read still ends with
/// BEV_EVENT_EOF.
bool closed_in_order(short events);

/// Closes the socket of a bufferevent immediately and frees the bufferevent. bufferevent_free() alone defers
/// closing the socket to the event loop. If a deferred callback is pending and the loop does not run again,
/// the socket stays open and the peer keeps sending to it.
void close_connection(bufferevent* connection);

}  // namespace stoat::http
