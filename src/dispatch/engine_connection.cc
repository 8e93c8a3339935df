#include "src/dispatch/engine_connection.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>

#include <algorithm>

#include "src/dispatch/request_fields.h"
#include "src/http/socket_options.h"

namespace stoat::dispatch {

namespace {

/// Silence of the network towards a back end after which the connection is given up.
constexpr Duration kNetworkSilence = 1500ms;
/// A connection that is not made within so long is given up: the way there and back takes some milliseconds.
/// The request has certainly not run, and may go elsewhere at once.
constexpr timeval kConnectLimit{0, 300000};
/// An idle connection is not used in the last part of the time that the back end keeps it.
constexpr Duration kIdleMargin = 400ms;
/// For back ends that don't say how long they keep idle connections.
constexpr Duration kDefaultIdle = 4s;

/// The time that a Keep-Alive header states, or the default.
Duration keep_alive_time(const http1::Headers& headers) {
  const std::string* value = headers.find("Keep-Alive");
  const size_t position = value == nullptr ? std::string::npos : value->find("timeout=");
  if (position == std::string::npos) {
    return kDefaultIdle;
  }
  constexpr size_t kWordLength = 8;
  const std::string rest = value->substr(position + kWordLength);
  const auto seconds = parse_integer(rest.substr(0, rest.find_first_not_of("0123456789")));
  return seconds ? Duration(std::chrono::seconds(*seconds)) : kDefaultIdle;
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

EngineConnection::EngineConnection(EventLoop& loop)
    : loop_(loop), parser_(http1::MessageParser::Kind::kResponse, *this) {}

EngineConnection::~EngineConnection() { close(); }

std::shared_ptr<EngineConnection> EngineConnection::connect(EventLoop& loop, const Endpoint& endpoint,
                                                            UnusableHandler on_unusable) {
  bufferevent* socket = http::start_connection(loop.base(), endpoint, kNetworkSilence);
  if (socket == nullptr) {
    return nullptr;
  }
  http::enable_keepalive_probes(bufferevent_getfd(socket));
  std::shared_ptr<EngineConnection> connection(new EngineConnection(loop));
  connection->connection_ = socket;
  connection->on_unusable_ = std::move(on_unusable);
  const auto on_readable = [](bufferevent*, void* context) {
    static_cast<EngineConnection*>(context)->read();
  };
  const auto on_event = [](bufferevent*, short events, void* context) {
    static_cast<EngineConnection*>(context)->on_event(events);
  };
  bufferevent_setcb(socket, on_readable, nullptr, on_event, connection.get());
  bufferevent_set_timeouts(socket, nullptr, &kConnectLimit);
  bufferevent_enable(socket, EV_READ | EV_WRITE);
  return connection;
}

void EngineConnection::send(std::string_view head, std::string_view body, ExchangeListener* listener,
                            Belongs belongs) {
  listener_ = listener;
  belongs_ = std::move(belongs);
  parser_.reset();
  skipping_ = false;
  answer_done_ = false;
  bufferevent_write(connection_, head.data(), head.size());
  bufferevent_write(connection_, body.data(), body.size());
}

void EngineConnection::set_reading(bool reading) {
  if (connection_ != nullptr && reading) {
    bufferevent_enable(connection_, EV_READ);
  } else if (connection_ != nullptr) {
    bufferevent_disable(connection_, EV_READ);
  }
}

void EngineConnection::close() {
  if (connection_ != nullptr) {
    http::close_connection(connection_);
    connection_ = nullptr;
  }
  listener_ = nullptr;
}

void EngineConnection::on_event(short events) {
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

void EngineConnection::on_end(bool orderly, bool silent) {
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
  // An answer without a length ends with its connection, but only when that was closed in an orderly way.
  if (orderly && parser_.begun() && !skipping_ && parser_.finish() == http1::ParseState::kComplete &&
      answer_done_) {
    become_idle();
    return;
  }
  fail(silent ? ExchangeFailure::kSilent : ExchangeFailure::kBroken);
}

void EngineConnection::fail(ExchangeFailure failure) {
  ExchangeListener* listener = listener_;
  reusable_ = false;
  close();
  if (listener != nullptr) {
    listener->on_exchange_failure(failure);
  }
}

void EngineConnection::read() {
  const auto keep = shared_from_this();
  while (connection_ != nullptr) {
    evbuffer* input = bufferevent_get_input(connection_);
    const size_t available = evbuffer_get_contiguous_space(input);
    if (available == 0) {
      return;
    }
    if (listener_ == nullptr) {
      // Bytes that nobody asked for: whatever they are, the connection can't be trusted any more.
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
    if (answer_done_) {
      become_idle();
    }
  }
}

bool EngineConnection::on_head() {
  const int status = parser_.status();
  constexpr int kFirstFinalStatus = 200;
  skipping_ = status < kFirstFinalStatus || !belongs_(status, parser_.headers());
  if (skipping_) {
    return true;
  }
  reusable_ = reusable_ && parser_.keep_alive() && !parser_.headers().has_token("Connection", "close");
  idle_until_ = loop_.now() + keep_alive_time(parser_.headers()) - kIdleMargin;
  listener_->on_answer_head(status, parser_.headers());
  return connection_ != nullptr;
}

bool EngineConnection::on_body(std::string_view piece) {
  if (!skipping_) {
    listener_->on_answer_body(piece);
  }
  return connection_ != nullptr;
}

void EngineConnection::on_complete() {
  if (skipping_) {
    skipping_ = false;
    parser_.reset();
    return;
  }
  answer_done_ = true;
}

void EngineConnection::become_idle() {
  // An answer that came before the request was read leaves a rest of it in the way of the next one; bytes
  // after the answer belong to no request.
  if (connection_ != nullptr) {
    reusable_ = reusable_ && evbuffer_get_length(bufferevent_get_output(connection_)) == 0 &&
                evbuffer_get_length(bufferevent_get_input(connection_)) == 0;
  }
  set_reading(true);
  ExchangeListener* listener = listener_;
  listener_ = nullptr;
  answer_done_ = false;
  if (listener != nullptr) {
    listener->on_answer_complete();
  }
}

}  // namespace stoat::dispatch
