#include "src/edge/client_connection.h"

#include <event2/buffer.h>

#include <algorithm>
#include <cstdio>
#include <utility>

#include "src/http/socket_options.h"
#include "src/http1/head_check.h"

namespace stoat::edge {

namespace {

constexpr size_t kHeadEndBytes = 4;
/// A connection whose last response is complete is closed when the client has read nothing for this long.
constexpr Duration kFlushStallTimeout = 2s;
/// Bytes of pipelined requests that are read while a response is pending.
constexpr size_t kMaxReadAhead = 256U << 10U;
/// The source of a response pauses when more than kPauseThresholdBytes are buffered for the client, and
/// resumes when no more than kResumeThresholdBytes are left: a client at 10 Mbit/s reads the latter in 13 ms.
/// While too much is buffered over all connections, the source pauses at kResumeThresholdBytes.
constexpr size_t kPauseThresholdBytes = 64U << 10U;
constexpr size_t kResumeThresholdBytes = 16U << 10U;
/// A request body is buffered here, and once more on its way to the backend.
constexpr size_t kBodyCopies = 2;
/// Seconds after which a client refused for lack of buffer space may retry: stalled clients are disconnected
/// within a few seconds.
constexpr const char* kBufferFullRetryAfter = "1.00";

const char* reason_phrase(int status) { return http_status_str(static_cast<http_status>(status)); }

}  // namespace

ClientConnection::ClientConnection(EdgeServer& server, evutil_socket_t socket)
    : server_(server),
      parser_(http1::MessageKind::kRequest, *this),
      request_reservation_(server.buffer_budget_),
      response_reservation_(server.buffer_budget_) {
  http::disable_nagle(socket);
  connection_ =
      bufferevent_socket_new(server.loop_.base(), socket, BEV_OPT_CLOSE_ON_FREE | BEV_OPT_DEFER_CALLBACKS);
  const auto on_readable = [](bufferevent*, void* context) {
    static_cast<ClientConnection*>(context)->read();
  };
  const auto on_drained = [](bufferevent*, void* context) {
    static_cast<ClientConnection*>(context)->on_output_drained();
  };
  const auto on_event = [](bufferevent*, short events, void* context) {
    static_cast<ClientConnection*>(context)->on_event(events);
  };
  bufferevent_setcb(connection_, on_readable, on_drained, on_event, this);
  bufferevent_setwatermark(connection_, EV_WRITE, kResumeThresholdBytes, 0);
  bufferevent_setwatermark(connection_, EV_READ, 0, kMaxReadAhead);
  const auto on_timeout = [](evutil_socket_t, short, void* context) {
    static_cast<ClientConnection*>(context)->on_timer();
  };
  timer_ = event_new(server.loop_.base(), -1, 0, on_timeout, this);
  arm_timer(server.limits_.idle_timeout);
  bufferevent_enable(connection_, EV_READ | EV_WRITE);
}

ClientConnection::~ClientConnection() {
  if (connection_ != nullptr) {
    http::close_connection(connection_);
  }
  event_free(timer_);
}

void ClientConnection::arm_timer(Duration delay) {
  constexpr int64_t kMicrosecondsPerSecond = 1000000;
  const timeval interval{delay.count() / kMicrosecondsPerSecond, delay.count() % kMicrosecondsPerSecond};
  event_add(timer_, &interval);
}

void ClientConnection::on_timer() {
  switch (phase_) {
    case Phase::kIdle:
      close_if_stalled(server_.limits_.idle_timeout);
      break;
    case Phase::kFlushing:
      close_if_stalled(kFlushStallTimeout);
      break;
    case Phase::kHead:
    case Phase::kBody:
      refuse(408, "the request took too long");
      break;
    case Phase::kResponse:
      check_stall();
      break;
  }
}

void ClientConnection::close_if_stalled(Duration next_check) {
  if (unsent_bytes() == 0 || !made_progress()) {
    close();
    return;
  }
  // The response is complete, so a slow client gets the time to read all of it.
  arm_timer(next_check);
}

void ClientConnection::check_stall() {
  const size_t waiting = unsent_bytes();
  response_reservation_.set(waiting);
  if (waiting == 0) {
    return;
  }
  if (!made_progress()) {
    ++server_.slow_reader_counts_.stalled_clients;
    close(DisconnectReason::kStalled);
    return;
  }
  arm_timer(server_.buffer_limits_.stall_timeout);
}

bool ClientConnection::made_progress() {
  const uint64_t before = std::exchange(drained_at_check_, drained_bytes());
  return drained_at_check_ != before;
}

void ClientConnection::on_output_drained() {
  const auto keep = shared_from_this();
  response_reservation_.set(unsent_bytes());
  // The callback may have been scheduled for an earlier, empty output.
  if (phase_ == Phase::kFlushing && unsent_bytes() == 0) {
    close();
    return;
  }
  update_flow_control();
}

void ClientConnection::update_flow_control() {
  const size_t waiting = unsent_bytes();
  const size_t threshold =
      server_.buffer_budget_.has_room(kPauseThresholdBytes) ? kPauseThresholdBytes : kResumeThresholdBytes;
  const bool pause = waiting > (paused_ ? kResumeThresholdBytes : threshold);
  if (pause == paused_) {
    return;
  }
  paused_ = pause;
  server_.slow_reader_counts_.pauses += pause ? 1 : 0;
  if (flow_handler_) {
    flow_handler_(pause);
  }
}

bool ClientConnection::reserve_body_bytes(size_t body_bytes) {
  const size_t required_bytes = kBodyCopies * body_bytes;
  if (required_bytes <= request_reservation_.bytes()) {
    return true;
  }
  if (!server_.buffer_budget_.has_room(required_bytes - request_reservation_.bytes())) {
    return note_buffer_full();
  }
  request_reservation_.set(required_bytes);
  return true;
}

bool ClientConnection::note_buffer_full() {
  buffer_full_ = true;
  ++server_.slow_reader_counts_.buffer_refusals;
  return false;
}

void ClientConnection::on_event(short events) {
  if ((events & (BEV_EVENT_EOF | BEV_EVENT_ERROR | BEV_EVENT_TIMEOUT)) != 0) {
    close();
  }
}

void ClientConnection::close(DisconnectReason disconnect_reason) {
  if (connection_ == nullptr) {
    return;
  }
  const auto keep = shared_from_this();
  http::close_connection(connection_);
  connection_ = nullptr;
  event_del(timer_);
  const bool open = phase_ == Phase::kResponse;
  phase_ = Phase::kFlushing;
  request_reservation_.set(0);
  response_reservation_.set(0);
  if (open) {
    server_.handler_.on_disconnect(this, disconnect_reason);
  }
  flow_handler_ = nullptr;
  server_.remove_connection(this);
}

void ClientConnection::read() {
  if (reading_) {
    return;
  }
  const auto keep = shared_from_this();
  reading_ = true;
  while (connection_ != nullptr) {
    const size_t waiting = evbuffer_get_length(bufferevent_get_input(connection_));
    const Phase before = phase_;
    if (phase_ == Phase::kIdle || phase_ == Phase::kHead) {
      read_head();
    } else if (phase_ == Phase::kBody) {
      read_body();
    } else {
      break;
    }
    if (connection_ == nullptr ||
        (phase_ == before && evbuffer_get_length(bufferevent_get_input(connection_)) == waiting)) {
      break;
    }
  }
  reading_ = false;
}

void ClientConnection::read_head() {
  evbuffer* input = bufferevent_get_input(connection_);
  const size_t available = evbuffer_get_length(input);
  if (available == 0) {
    return;
  }
  if (phase_ == Phase::kIdle) {
    phase_ = Phase::kHead;
    arm_timer(server_.limits_.header_timeout);
  }
  const evbuffer_ptr end = evbuffer_search(input, "\r\n\r\n", kHeadEndBytes, nullptr);
  if (end.pos < 0) {
    if (available > server_.limits_.header_bytes) {
      refuse(431, "the head is too long");
      return;
    }
    // A head whose lines end in a bare line feed never contains CR LF CR LF.
    if (evbuffer_search(input, "\n\n", 2, nullptr).pos >= 0) {
      refuse(400, http1::to_text(http1::HeadFault::kBareLineEnd));
    }
    return;
  }
  const size_t length = static_cast<size_t>(end.pos) + kHeadEndBytes;
  if (length > server_.limits_.header_bytes) {
    refuse(431, "the head is too long");
    return;
  }
  const std::string_view head(
      reinterpret_cast<const char*>(evbuffer_pullup(input, static_cast<ev_ssize_t>(length))), length);
  request_ = EdgeRequest();
  body_too_long_ = false;
  buffer_full_ = false;
  parser_.reset();
  phase_ = Phase::kBody;
  size_t used = 0;
  const http1::ParseState state = parser_.feed(head, used);
  if (state == http1::ParseState::kStopped) {
    refuse_body();
  } else if (state == http1::ParseState::kMalformed) {
    const http1::HeadFault fault = parser_.head_fault();
    refuse(400, fault == http1::HeadFault::kNone ? "malformed head" : http1::to_text(fault));
  } else {
    evbuffer_drain(input, length);
    if (state == http1::ParseState::kComplete) {
      dispatch_request();
    }
  }
}

bool ClientConnection::on_head() {
  if (!server_.buffer_budget_.has_room(kPauseThresholdBytes)) {
    return note_buffer_full();
  }
  request_.method = parser_.method();
  request_.target = parser_.target();
  const bool has_length = parser_.content_length() != UINT64_MAX;
  if (has_length && parser_.content_length() > server_.limits_.body_bytes) {
    body_too_long_ = true;
    return false;
  }
  if (has_length) {
    if (!reserve_body_bytes(parser_.content_length())) {
      return false;
    }
    request_.body.reserve(parser_.content_length());
  }
  const std::string* expectation = parser_.headers().find("Expect");
  if (expectation != nullptr && http1::equal_ignoring_case(*expectation, "100-continue")) {
    write("HTTP/1.1 100 Continue\r\n\r\n");
  }
  close_after_response_ = !parser_.keep_alive();
  return true;
}

bool ClientConnection::on_body(std::string_view piece) {
  if (request_.body.size() + piece.size() > server_.limits_.body_bytes) {
    body_too_long_ = true;
    return false;
  }
  if (!reserve_body_bytes(request_.body.size() + piece.size())) {
    return false;
  }
  request_.body.append(piece);
  return true;
}

void ClientConnection::on_complete() { request_.headers = std::move(parser_.headers()); }

void ClientConnection::read_body() {
  evbuffer* input = bufferevent_get_input(connection_);
  const size_t available = evbuffer_get_contiguous_space(input);
  if (available == 0) {
    return;
  }
  const std::string_view bytes(
      reinterpret_cast<const char*>(evbuffer_pullup(input, static_cast<ev_ssize_t>(available))), available);
  size_t used = 0;
  const http1::ParseState state = parser_.feed(bytes, used);
  if (state == http1::ParseState::kStopped || state == http1::ParseState::kMalformed) {
    refuse_body();
    return;
  }
  evbuffer_drain(input, used);
  if (state == http1::ParseState::kComplete) {
    dispatch_request();
  }
}

void ClientConnection::dispatch_request() {
  phase_ = Phase::kResponse;
  event_del(timer_);
  server_.handler_.on_request(std::move(request_), shared_from_this());
}

void ClientConnection::refuse_body() {
  if (buffer_full_) {
    refuse(503, "too much is held for slow readers", kBufferFullRetryAfter);
  } else if (body_too_long_) {
    refuse(413, "the body is too long");
  } else {
    refuse(400, "malformed body");
  }
}

void ClientConnection::refuse(int status, std::string_view reason, const char* retry_after) {
  ResponseHead head;
  head.status = status;
  if (retry_after != nullptr) {
    head.headers.add("Retry-After", retry_after);
  }
  head.headers.add("Content-Type", "text/plain");
  close_after_response_ = true;
  phase_ = Phase::kResponse;
  evbuffer* input = bufferevent_get_input(connection_);
  evbuffer_drain(input, evbuffer_get_length(input));
  reply(head, std::string(reason) + "\n");
}

void ClientConnection::write(std::string_view bytes) {
  if (connection_ != nullptr) {
    bufferevent_write(connection_, bytes.data(), bytes.size());
    written_bytes_ += bytes.size();
  }
}

void ClientConnection::update_buffered_bytes() {
  response_reservation_.set(unsent_bytes());
  if (phase_ == Phase::kResponse && unsent_bytes() > 0 && event_pending(timer_, EV_TIMEOUT, nullptr) == 0) {
    drained_at_check_ = drained_bytes();
    arm_timer(server_.buffer_limits_.stall_timeout);
  }
  update_flow_control();
}

void ClientConnection::write_head(const ResponseHead& head, bool chunked, size_t length) {
  close_after_response_ = close_after_response_ || server_.draining_;
  std::string text = "HTTP/1.1 " + std::to_string(head.status) + " " + reason_phrase(head.status) + "\r\n";
  for (const http1::HeaderLine& line : head.headers.lines()) {
    text += line.name + ": " + line.value + "\r\n";
  }
  text += chunked ? "Transfer-Encoding: chunked\r\n" : "Content-Length: " + std::to_string(length) + "\r\n";
  text += close_after_response_ ? "Connection: close\r\n\r\n" : "\r\n";
  write(text);
}

void ClientConnection::reply(const ResponseHead& head, std::string_view body) {
  if (phase_ != Phase::kResponse || connection_ == nullptr) {
    return;
  }
  write_head(head, false, body.size());
  write(body);
  on_response_written();
}

void ClientConnection::start(const ResponseHead& head) {
  if (phase_ == Phase::kResponse && connection_ != nullptr) {
    write_head(head, true, 0);
  }
}

void ClientConnection::send(std::string_view piece) {
  if (phase_ != Phase::kResponse || connection_ == nullptr || piece.empty()) {
    return;
  }
  char size_line[20];
  const int length = std::snprintf(size_line, sizeof(size_line), "%zx\r\n", piece.size());
  write(std::string_view(size_line, static_cast<size_t>(length)));
  write(piece);
  write("\r\n");
  update_buffered_bytes();
}

void ClientConnection::finish() {
  if (phase_ != Phase::kResponse || connection_ == nullptr) {
    return;
  }
  write("0\r\n\r\n");
  on_response_written();
}

void ClientConnection::abort() {
  if (phase_ != Phase::kResponse || connection_ == nullptr) {
    return;
  }
  phase_ = Phase::kFlushing;  // the caller of abort() expects no on_disconnect()
  close();
}

size_t ClientConnection::unsent_bytes() const {
  return connection_ == nullptr ? 0 : evbuffer_get_length(bufferevent_get_output(connection_));
}

void ClientConnection::close_after_flush() {
  phase_ = Phase::kFlushing;
  arm_timer(kFlushStallTimeout);
  if (evbuffer_get_length(bufferevent_get_output(connection_)) == 0) {
    close();
  }
}

void ClientConnection::on_response_written() {
  response_reservation_.set(unsent_bytes());
  drained_at_check_ = drained_bytes();
  request_reservation_.set(0);
  flow_handler_ = nullptr;
  paused_ = false;
  if (close_after_response_ || server_.draining_) {
    close_after_flush();
    return;
  }
  phase_ = Phase::kIdle;
  arm_timer(server_.limits_.idle_timeout);
  if (evbuffer_get_length(bufferevent_get_input(connection_)) > 0 && !reading_) {
    bufferevent_trigger(connection_, EV_READ, BEV_TRIG_DEFER_CALLBACKS | BEV_TRIG_IGNORE_WATERMARKS);
  }
}

}  // namespace stoat::edge
