#include "src/dispatch/backend_connection.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>

#include <algorithm>

#include "src/dispatch/request_fields.h"
#include "src/http/socket_options.h"

namespace stoat::dispatch {

namespace {

/// A connection is abandoned if the backend's host acknowledges nothing for this long.
constexpr Duration kUnresponsiveTimeout = 1500ms;
/// Connection timeout of 300 ms: a round trip takes some milliseconds. After this timeout, the request was
/// certainly not executed, and can be sent to another backend at once.
constexpr timeval kConnectTimeout{0, 300000};
/// An idle connection is not used in this last part of the time for which the backend keeps it open.
constexpr Duration kIdleMargin = 400ms;
/// Idle time-out assumed for backends that do not state one.
constexpr Duration kDefaultIdleTimeout = 4s;

/// The time-out stated in the Keep-Alive header, or the default.
Duration keep_alive_time(const http1::Headers& headers) {
  const std::string* value = headers.find("Keep-Alive");
  const size_t position = value == nullptr ? std::string::npos : value->find("timeout=");
  if (position == std::string::npos) {
    return kDefaultIdleTimeout;
  }
  constexpr size_t kFieldLength = 8;
  const std::string number_text = value->substr(position + kFieldLength);
  const auto seconds = parse_integer(number_text.substr(0, number_text.find_first_not_of("0123456789")));
  return seconds ? Duration(std::chrono::seconds(*seconds)) : kDefaultIdleTimeout;
}

}  // namespace

const char* to_text(ExchangeFailure failure) {
  switch (failure) {
    case ExchangeFailure::kNotConnected:
      return "not connected";
    case ExchangeFailure::kSilent:
      return "silent";
    case ExchangeFailure::kBroken:
      return "broken off";
    case ExchangeFailure::kMalformed:
      return "malformed answer";
  }
  return "unknown";
}

BackendConnection::BackendConnection(EventLoop& loop)
    : loop_(loop), parser_(http1::MessageParser::Kind::kResponse, *this) {}

BackendConnection::~BackendConnection() { close(); }

std::shared_ptr<BackendConnection> BackendConnection::connect(EventLoop& loop, const Endpoint& endpoint,
                                                              UnusableHandler on_unusable) {
  bufferevent* socket = http::start_connection(loop.base(), endpoint, kUnresponsiveTimeout);
  if (socket == nullptr) {
    return nullptr;
  }
  http::enable_keepalive_probes(bufferevent_getfd(socket));
  std::shared_ptr<BackendConnection> connection(new BackendConnection(loop));
  connection->connection_ = socket;
  connection->on_unusable_ = std::move(on_unusable);
  const auto on_readable = [](bufferevent*, void* context) {
    static_cast<BackendConnection*>(context)->read();
  };
  const auto on_event = [](bufferevent*, short events, void* context) {
    static_cast<BackendConnection*>(context)->on_event(events);
  };
  bufferevent_setcb(socket, on_readable, nullptr, on_event, connection.get());
  bufferevent_set_timeouts(socket, nullptr, &kConnectTimeout);
  bufferevent_enable(socket, EV_READ | EV_WRITE);
  return connection;
}

void BackendConnection::send(std::string_view head, std::string_view body, ExchangeListener* listener,
                             ResponseMatcher matches_request) {
  listener_ = listener;
  matches_request_ = std::move(matches_request);
  parser_.reset();
  skipping_ = false;
  response_complete_ = false;
  bufferevent_write(connection_, head.data(), head.size());
  bufferevent_write(connection_, body.data(), body.size());
}

void BackendConnection::set_reading(bool reading) {
  if (connection_ != nullptr && reading) {
    bufferevent_enable(connection_, EV_READ);
  } else if (connection_ != nullptr) {
    bufferevent_disable(connection_, EV_READ);
  }
}

void BackendConnection::close() {
  if (connection_ != nullptr) {
    http::close_connection(connection_);
    connection_ = nullptr;
  }
  listener_ = nullptr;
}

void BackendConnection::on_event(short events) {
  if ((events & BEV_EVENT_CONNECTED) != 0) {
    connected_ = true;
    bufferevent_set_timeouts(connection_, nullptr, nullptr);
    return;
  }
  const int error = EVUTIL_SOCKET_ERROR();
  const bool silent = error == ETIMEDOUT;
  refused_ = !connected_ && (events & BEV_EVENT_ERROR) != 0 && error == ECONNREFUSED;
  if ((events & (BEV_EVENT_EOF | BEV_EVENT_ERROR | BEV_EVENT_TIMEOUT)) != 0) {
    const auto keep = shared_from_this();
    read();
    if (connection_ != nullptr) {
      on_end((events & BEV_EVENT_EOF) != 0, silent && (events & BEV_EVENT_ERROR) != 0);
    }
  }
}

void BackendConnection::on_end(bool orderly, bool silent) {
  reusable_ = false;
  if (listener_ == nullptr) {
    close();
    on_unusable_(this);
    return;
  }
  if (!connected_) {
    fail(ExchangeFailure::kNotConnected);
    return;
  }
  // A response without a length ends with its connection, but only if the connection was closed in order.
  if (orderly && parser_.has_input() && !skipping_ && parser_.finish() == http1::ParseState::kComplete &&
      response_complete_) {
    become_idle();
    return;
  }
  fail(silent ? ExchangeFailure::kSilent : ExchangeFailure::kBroken);
}

void BackendConnection::fail(ExchangeFailure failure) {
  ExchangeListener* listener = listener_;
  reusable_ = false;
  close();
  if (listener != nullptr) {
    listener->on_exchange_failure(failure);
  }
}

void BackendConnection::read() {
  const auto keep = shared_from_this();
  while (connection_ != nullptr) {
    evbuffer* input = bufferevent_get_input(connection_);
    const size_t available = evbuffer_get_contiguous_space(input);
    if (available == 0) {
      return;
    }
    if (listener_ == nullptr) {
      // Unsolicited bytes: the connection can no longer be trusted.
      reusable_ = false;
      close();
      on_unusable_(this);
      return;
    }
    const std::string_view bytes(
        reinterpret_cast<const char*>(evbuffer_pullup(input, static_cast<ev_ssize_t>(available))), available);
    size_t used = 0;
    const http1::ParseState state = parser_.feed(bytes, used);
    if (connection_ == nullptr) {
      return;
    }
    evbuffer_drain(input, used);
    if (state == http1::ParseState::kMalformed || state == http1::ParseState::kStopped) {
      fail(ExchangeFailure::kMalformed);
      return;
    }
    if (response_complete_) {
      become_idle();
    }
  }
}

bool BackendConnection::on_head() {
  const int status = parser_.status();
  constexpr int kFirstFinalStatus = 200;
  skipping_ = status < kFirstFinalStatus || !matches_request_(status, parser_.headers());
  if (skipping_) {
    return true;
  }
  reusable_ = reusable_ && parser_.keep_alive() && !parser_.headers().has_token("Connection", "close");
  idle_until_ = loop_.now() + keep_alive_time(parser_.headers()) - kIdleMargin;
  listener_->on_response_head(status, parser_.headers());
  return connection_ != nullptr;
}

bool BackendConnection::on_body(std::string_view piece) {
  if (!skipping_) {
    listener_->on_response_body(piece);
  }
  return connection_ != nullptr;
}

void BackendConnection::on_complete() {
  if (skipping_) {
    skipping_ = false;
    parser_.reset();
    return;
  }
  response_complete_ = true;
}

void BackendConnection::become_idle() {
  // If the response came before the request was fully sent, unsent bytes would precede the next request;
  // bytes after the response belong to no request.
  if (connection_ != nullptr) {
    reusable_ = reusable_ && evbuffer_get_length(bufferevent_get_output(connection_)) == 0 &&
                evbuffer_get_length(bufferevent_get_input(connection_)) == 0;
  }
  set_reading(true);
  ExchangeListener* listener = listener_;
  listener_ = nullptr;
  response_complete_ = false;
  if (listener != nullptr) {
    listener->on_response_complete();
  }
}

}  // namespace stoat::dispatch
