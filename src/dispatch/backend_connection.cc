#include "src/dispatch/backend_connection.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>

#include <algorithm>

#include "src/dispatch/request_fields.h"
#include "src/http/socket_options.h"

namespace stoat::dispatch {

namespace {

/// A connection is abandoned if the peer's host acknowledges nothing for this long. A sound engine may be
/// silent for a second or so.
constexpr Duration kUnresponsiveTimeout = 2500ms;
/// Connection timeout of 300 ms: a round trip takes some milliseconds. After this timeout, the request was
/// certainly not executed, and can be sent to another backend at once.
constexpr timeval kConnectTimeout{0, 300000};
/// The same for a relayed connection: the relaying router has kConnectTimeout to reach the backend.
constexpr timeval kRelayedConnectTimeout{0, 600000};
/// An idle connection is not used in this last part of the time for which the backend keeps it open.
constexpr Duration kIdleMargin = 400ms;
/// Idle time-out assumed for backends that do not state one.
constexpr Duration kDefaultIdleTimeout = 4s;

/// Bytes of interim responses, and of responses to earlier requests, that are read before the response to a
/// request.
constexpr size_t kMaxSkippedBytes = 1U << 20U;

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
    case ExchangeFailure::kTooLong:
      return "answer too long";
    case ExchangeFailure::kRelayLost:
      return "relay lost";
  }
  return "unknown";
}

BackendConnection::BackendConnection(EventLoop& loop)
    : loop_(loop), parser_(http1::MessageKind::kResponse, *this) {}

BackendConnection::~BackendConnection() { close(); }

std::shared_ptr<BackendConnection> BackendConnection::connect(EventLoop& loop, const Endpoint& endpoint,
                                                              UnusableHandler on_unusable) {
  std::shared_ptr<BackendConnection> connection(new BackendConnection(loop));
  connection->on_unusable_ = std::move(on_unusable);
  return connection->open(endpoint) ? connection : nullptr;
}

std::shared_ptr<BackendConnection> BackendConnection::connect_through(EventLoop& loop,
                                                                      const relay::RelayPtr& relay,
                                                                      const relay::RelayRequest& request,
                                                                      UnusableHandler on_unusable) {
  std::shared_ptr<BackendConnection> connection(new BackendConnection(loop));
  connection->on_unusable_ = std::move(on_unusable);
  connection->hop_ = std::make_unique<Hop>(relay);
  if (!connection->open(relay->endpoint)) {
    return nullptr;
  }
  bufferevent_set_timeouts(connection->connection_, &kRelayedConnectTimeout, &kConnectTimeout);
  const std::string bytes = relay::encode_request(request);
  bufferevent_write(connection->connection_, bytes.data(), bytes.size());
  return connection;
}

bool BackendConnection::open(const Endpoint& endpoint) {
  connection_ = http::start_connection(loop_.base(), endpoint, kUnresponsiveTimeout);
  if (connection_ == nullptr) {
    return false;
  }
  http::enable_keepalive_probes(bufferevent_getfd(connection_));
  const auto on_readable = [](bufferevent*, void* context) {
    static_cast<BackendConnection*>(context)->read();
  };
  const auto on_event = [](bufferevent*, short events, void* context) {
    static_cast<BackendConnection*>(context)->on_event(events);
  };
  bufferevent_setcb(connection_, on_readable, nullptr, on_event, this);
  bufferevent_set_timeouts(connection_, nullptr, &kConnectTimeout);
  bufferevent_enable(connection_, EV_READ | EV_WRITE);
  return true;
}

void BackendConnection::send(std::string_view head, std::string_view body, ExchangeListener* listener,
                             ResponseMatcher matches_request) {
  listener_ = listener;
  matches_request_ = std::move(matches_request);
  parser_.reset();
  skipping_ = false;
  matched_ = false;
  skipped_bytes_ = 0;
  response_complete_ = false;
  write(head);
  write(body);
}

void BackendConnection::write(std::string_view bytes) {
  if (hop_ != nullptr && !connected_) {
    hop_->unsent_request += bytes;
    return;
  }
  bufferevent_write(connection_, bytes.data(), bytes.size());
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
    if (hop_ == nullptr) {
      on_connected();
    }
    return;
  }
  if ((events & (BEV_EVENT_EOF | BEV_EVENT_ERROR | BEV_EVENT_TIMEOUT)) != 0) {
    on_connection_error(events);
  }
}

void BackendConnection::on_connected() {
  const auto keep = shared_from_this();  // the handler may discard the connection
  connected_ = true;
  bufferevent_set_timeouts(connection_, nullptr, nullptr);
  if (hop_ != nullptr && !hop_->unsent_request.empty()) {
    bufferevent_write(connection_, hop_->unsent_request.data(), hop_->unsent_request.size());
    hop_->unsent_request.clear();
  }
  on_connected_(this);
}

void BackendConnection::on_connection_error(short events) {
  const int error = EVUTIL_SOCKET_ERROR();
  const bool failed = (events & BEV_EVENT_ERROR) != 0;
  const auto keep = shared_from_this();
  refused_ = hop_ == nullptr && !connected_ && failed && error == ECONNREFUSED;
  read();
  if (connection_ == nullptr) {
    return;
  }
  if (hop_ != nullptr) {
    on_relay_lost();
    return;
  }
  on_end(http::closed_in_order(events), failed && error == ETIMEDOUT);
}

void BackendConnection::on_not_connected(relay::ConnectFailure failure) {
  refused_ = failure == relay::ConnectFailure::kRefused;
  relay_failed_ = failure != relay::ConnectFailure::kRefused && failure != relay::ConnectFailure::kUnanswered;
  if (relay_failed_) {
    relay::RelaySet::avoid(*hop_->use.relay(), loop_.now());
  }
  on_end(false, false);
}

void BackendConnection::on_relay_lost() {
  relay_failed_ = true;
  relay::RelaySet::avoid(*hop_->use.relay(), loop_.now());
  if (listener_ == nullptr || !connected_) {
    on_end(false, false);
    return;
  }
  fail(ExchangeFailure::kRelayLost);
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
    const size_t available = readable_bytes();
    if (available == 0) {
      return;
    }
    evbuffer* input = bufferevent_get_input(connection_);
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
    if (hop_ != nullptr) {
      hop_->reader.on_data_removed(used);
    }
    if (state == http1::ParseState::kMalformed || state == http1::ParseState::kStopped) {
      fail(ExchangeFailure::kMalformed);
      return;
    }
    if (!matched_) {
      skipped_bytes_ += used;
      if (skipped_bytes_ > kMaxSkippedBytes) {
        fail(ExchangeFailure::kTooLong);
        return;
      }
    }
    if (response_complete_) {
      become_idle();
    }
  }
}

size_t BackendConnection::readable_bytes() {
  evbuffer* input = bufferevent_get_input(connection_);
  return hop_ == nullptr ? evbuffer_get_contiguous_space(input) : read_frames(input);
}

size_t BackendConnection::read_frames(evbuffer* input) {
  using Next = relay::RelayReader::Next;
  while (connection_ != nullptr) {
    const Next next = hop_->reader.advance(input);
    reusable_ = reusable_ && !hop_->reader.closing();
    switch (next) {
      case Next::kMore:
        if (listener_ == nullptr && connected_ && !reusable_) {
          on_end(true, false);
        }
        return 0;
      case Next::kData:
        return hop_->reader.data_bytes(input);
      case Next::kConnected:
        on_connected();
        break;
      case Next::kNotConnected:
        on_not_connected(hop_->reader.connect_failure());
        return 0;
      case Next::kEnd:
        on_end(hop_->reader.end_reason() == relay::EndReason::kClosed,
               hop_->reader.end_reason() == relay::EndReason::kSilent);
        return 0;
      case Next::kMalformed:
        on_relay_lost();
        return 0;
    }
  }
  return 0;
}

bool BackendConnection::on_head() {
  const int status = parser_.status();
  skipping_ = status < http1::kFirstFinalStatus || !matches_request_(status, parser_.headers());
  if (skipping_) {
    return true;
  }
  matched_ = true;
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
