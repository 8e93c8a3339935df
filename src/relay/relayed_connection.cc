#include "src/relay/relayed_connection.h"

#include <arpa/inet.h>
#include <event2/buffer.h>
#include <event2/event.h>

#include <string>
#include <utility>

#include "src/http/socket_options.h"

namespace stoat::relay {

namespace {

/// A side that accepts no more than this many unsent bytes holds the other side up.
constexpr size_t kMaxUnsentBytes = 32U << 10U;
/// How long data may stay unacknowledged on either side.
constexpr Duration kUnacknowledgedTimeout = 2500ms;
/// Time for the request to arrive, and for the backend to accept the connection.
constexpr timeval kRequestTimeout{1, 0};
constexpr timeval kConnectTimeout{0, 300000};
/// A side that takes nothing of what is queued for it for this long is given up.
constexpr timeval kStallTimeout{10, 0};
/// After its last frame, the asking router has this long to close the connection. If this side closed first,
/// bytes that are still on their way here would reset it, and the frame could be lost.
constexpr timeval kCloseTimeout{1, 0};

void set_write_mark(bufferevent* connection) {
  bufferevent_setwatermark(connection, EV_WRITE, kMaxUnsentBytes / 2, 0);
  bufferevent_setwatermark(connection, EV_READ, 0, kMaxUnsentBytes);
}

size_t unsent_bytes(bufferevent* connection) {
  return evbuffer_get_length(bufferevent_get_output(connection));
}

}  // namespace

RelayedConnection::RelayedConnection(RelayServer& server, int socket) : server_(server) {
  http::disable_nagle(socket);
  http::set_unacknowledged_timeout(socket, kUnacknowledgedTimeout);
  http::enable_keepalive_probes(socket);
  asker_ =
      bufferevent_socket_new(server.loop_.base(), socket, BEV_OPT_CLOSE_ON_FREE | BEV_OPT_DEFER_CALLBACKS);
  const auto on_readable = [](bufferevent*, void* context) {
    static_cast<RelayedConnection*>(context)->on_asker_readable();
  };
  const auto on_written = [](bufferevent*, void* context) {
    static_cast<RelayedConnection*>(context)->on_backend_readable();
  };
  const auto on_event = [](bufferevent*, short events, void* context) {
    static_cast<RelayedConnection*>(context)->on_asker_event(events);
  };
  bufferevent_setcb(asker_, on_readable, on_written, on_event, this);
  set_write_mark(asker_);
  bufferevent_set_timeouts(asker_, &kRequestTimeout, &kStallTimeout);
  bufferevent_enable(asker_, EV_READ | EV_WRITE);
}

RelayedConnection::~RelayedConnection() {
  close_backend();
  if (asker_ != nullptr) {
    http::close_connection(asker_);
  }
}

void RelayedConnection::announce_closing() {
  const std::string frame = encode_header(FrameType::kClosing, 0);
  bufferevent_write(asker_, frame.data(), frame.size());
}

void RelayedConnection::on_asker_readable() {
  if (ending_) {
    evbuffer* input = bufferevent_get_input(asker_);
    evbuffer_drain(input, evbuffer_get_length(input));
  } else if (backend_ == nullptr) {
    read_request();
  } else if (backend_connected_) {
    forward_to_backend();
  }
}

void RelayedConnection::read_request() {
  evbuffer* input = bufferevent_get_input(asker_);
  uint32_t length = 0;
  if (evbuffer_get_length(input) < kRequestLengthBytes) {
    return;
  }
  evbuffer_copyout(input, &length, kRequestLengthBytes);
  length = ntohl(length);
  if (length > kMaxRequestBytes) {
    close();
    return;
  }
  if (evbuffer_get_length(input) < kRequestLengthBytes + length) {
    return;
  }
  evbuffer_drain(input, kRequestLengthBytes);
  std::string bytes(length, '\0');
  evbuffer_remove(input, bytes.data(), length);
  const auto request = decode_request(bytes);
  if (!request) {
    close();
    return;
  }
  bufferevent_set_timeouts(asker_, nullptr, &kStallTimeout);
  connect(*request);
}

void RelayedConnection::connect(const RelayRequest& request) {
  const auto fail = [this](ConnectFailure failure) {
    end_with(FrameType::kNotConnected, static_cast<uint8_t>(failure));
  };
  if (server_.draining_ || server_.connections_.size() > server_.limits_.connections) {
    ++server_.counts_.refusals;
    fail(ConnectFailure::kNoRoom);
    return;
  }
  const auto endpoint = server_.resolve_(request.backend);
  if (!endpoint) {
    fail(endpoint.error());
    return;
  }
  backend_ = http::start_connection(server_.loop_.base(), *endpoint, kUnacknowledgedTimeout);
  if (backend_ == nullptr) {
    fail(ConnectFailure::kNoRoom);
    return;
  }
  http::enable_keepalive_probes(bufferevent_getfd(backend_));
  const auto on_readable = [](bufferevent*, void* context) {
    static_cast<RelayedConnection*>(context)->on_backend_readable();
  };
  const auto on_written = [](bufferevent*, void* context) {
    static_cast<RelayedConnection*>(context)->on_asker_readable();
  };
  const auto on_event = [](bufferevent*, short events, void* context) {
    static_cast<RelayedConnection*>(context)->on_backend_event(events);
  };
  bufferevent_setcb(backend_, on_readable, on_written, on_event, this);
  set_write_mark(backend_);
  bufferevent_set_timeouts(backend_, nullptr, &kConnectTimeout);
  bufferevent_enable(backend_, EV_READ | EV_WRITE);
}

void RelayedConnection::forward_to_backend() {
  evbuffer* input = bufferevent_get_input(asker_);
  const size_t waiting = evbuffer_get_length(input);
  if (waiting == 0 || unsent_bytes(backend_) > kMaxUnsentBytes) {
    return;
  }
  server_.counts_.bytes += waiting;
  bufferevent_write_buffer(backend_, input);
}

void RelayedConnection::on_backend_readable() {
  if (backend_ != nullptr) {
    forward_to_asker();
  }
}

void RelayedConnection::forward_to_asker() {
  evbuffer* input = bufferevent_get_input(backend_);
  if (evbuffer_get_length(input) == 0 || unsent_bytes(asker_) > kMaxUnsentBytes) {
    return;
  }
  write_data_frame(input);
}

void RelayedConnection::write_data_frame(evbuffer* input) {
  const size_t waiting = evbuffer_get_length(input);
  server_.counts_.bytes += waiting;
  const std::string header = encode_header(FrameType::kData, waiting);
  bufferevent_write(asker_, header.data(), header.size());
  bufferevent_write_buffer(asker_, input);
}

void RelayedConnection::on_backend_event(short events) {
  const int error = EVUTIL_SOCKET_ERROR();
  if ((events & BEV_EVENT_CONNECTED) != 0) {
    backend_connected_ = true;
    ++server_.counts_.connections;
    bufferevent_set_timeouts(backend_, nullptr, &kStallTimeout);
    const std::string frame = encode_header(FrameType::kConnected, 0);
    bufferevent_write(asker_, frame.data(), frame.size());
    forward_to_backend();
    return;
  }
  if (!backend_connected_) {
    ++server_.counts_.failures;
    const bool refused = (events & BEV_EVENT_ERROR) != 0 && error == ECONNREFUSED;
    end_with(FrameType::kNotConnected,
             static_cast<uint8_t>(refused ? ConnectFailure::kRefused : ConnectFailure::kUnanswered));
    return;
  }
  const bool silent = (events & BEV_EVENT_TIMEOUT) != 0 || error == ETIMEDOUT;
  const EndReason reason = http::closed_in_order(events) ? EndReason::kClosed
                           : silent                      ? EndReason::kSilent
                                                         : EndReason::kReset;
  // What arrived before the end is passed on whole: the asking router reads it before the end.
  evbuffer* input = bufferevent_get_input(backend_);
  if (evbuffer_get_length(input) > 0) {
    write_data_frame(input);
  }
  end_with(FrameType::kEnd, static_cast<uint8_t>(reason));
}

void RelayedConnection::on_asker_event(short) { close(); }

void RelayedConnection::end_with(FrameType type, uint8_t payload) {
  close_backend();
  ending_ = true;
  bufferevent_set_timeouts(asker_, &kCloseTimeout, &kStallTimeout);
  const std::string frame = encode_frame(type, payload);
  bufferevent_write(asker_, frame.data(), frame.size());
}

void RelayedConnection::close_backend() {
  if (backend_ != nullptr) {
    http::close_connection(backend_);
    backend_ = nullptr;
  }
}

void RelayedConnection::close() {
  close_backend();
  http::close_connection(std::exchange(asker_, nullptr));
  server_.remove(this);
}

}  // namespace stoat::relay
