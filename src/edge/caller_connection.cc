#include "src/edge/caller_connection.h"

#include <event2/buffer.h>

#include <algorithm>
#include <cstdio>
#include <utility>

#include "src/http/socket_options.h"

namespace stoat::edge {

namespace {

constexpr size_t kHeadEndBytes = 4;
/// How long a caller may take nothing of its connection's last answer.
constexpr Duration kFlushLimit = 2s;
/// Bytes of following requests that are taken in while an answer is due.
constexpr size_t kMaxReadAhead = 256U << 10U;
/// The source of an answer stops when so much waits for the caller, and goes on when no more than the second
/// figure is left: a caller at 10 Mbit/s takes that in 13 ms. While too much is held over all connections, it
/// stops at the second figure.
constexpr size_t kPauseAbove = 64U << 10U;
constexpr size_t kResumeAt = 16U << 10U;
/// A body is held here, and once more on its way to the back end.
constexpr size_t kBodyCopies = 2;
/// Seconds after which a caller for whom there is no room may come again: slow readers are let go within a
/// few.
constexpr const char* kNoRoomRetryAfter = "1.00";

const char* reason_of(int status) { return http_status_str(static_cast<http_status>(status)); }

}  // namespace

CallerConnection::CallerConnection(EdgeServer& server, evutil_socket_t socket)
    : server_(server),
      parser_(http1::MessageParser::Kind::kRequest, *this),
      request_held_(server.held_),
      answer_held_(server.held_) {
  http::disable_nagle(socket);
  connection_ =
      bufferevent_socket_new(server.loop_.base(), socket, BEV_OPT_CLOSE_ON_FREE | BEV_OPT_DEFER_CALLBACKS);
  const auto on_readable = [](bufferevent*, void* context) {
    static_cast<CallerConnection*>(context)->read();
  };
  const auto on_drained = [](bufferevent*, void* context) {
    static_cast<CallerConnection*>(context)->on_written();
  };
  const auto on_event = [](bufferevent*, short events, void* context) {
    static_cast<CallerConnection*>(context)->on_event(events);
  };
  bufferevent_setcb(connection_, on_readable, on_drained, on_event, this);
  bufferevent_setwatermark(connection_, EV_WRITE, kResumeAt, 0);
  bufferevent_setwatermark(connection_, EV_READ, 0, kMaxReadAhead);
  const auto on_timeout = [](evutil_socket_t, short, void* context) {
    static_cast<CallerConnection*>(context)->on_timer();
  };
  timer_ = event_new(server.loop_.base(), -1, 0, on_timeout, this);
  arm_timer(server.limits_.idle_timeout);
  bufferevent_enable(connection_, EV_READ | EV_WRITE);
}

CallerConnection::~CallerConnection() {
  if (connection_ != nullptr) {
    http::close_connection(connection_);
  }
  event_free(timer_);
}

void CallerConnection::arm_timer(Duration delay) {
  constexpr int64_t kMicrosecondsPerSecond = 1000000;
  const timeval interval{delay.count() / kMicrosecondsPerSecond, delay.count() % kMicrosecondsPerSecond};
  event_add(timer_, &interval);
}

void CallerConnection::on_timer() {
  switch (phase_) {
    case Phase::kIdle:
      close_unless_taking(server_.limits_.idle_timeout);
      break;
    case Phase::kFlushing:
      close_unless_taking(kFlushLimit);
      break;
    case Phase::kHead:
    case Phase::kBody:
      refuse(408, "the request took too long");
      break;
    case Phase::kAnswer:
      check_stall();
      break;
  }
}

void CallerConnection::close_unless_taking(Duration next_look) {
  if (unsent() == 0 || !took_some()) {
    close();
    return;
  }
  // The answer is ready: whoever takes it slowly gets all of it.
  arm_timer(next_look);
}

void CallerConnection::check_stall() {
  const size_t waiting = unsent();
  answer_held_.set(waiting);
  if (waiting == 0) {
    return;
  }
  if (!took_some()) {
    ++server_.flow_counts_.let_go;
    close(CallerEnd::kStalled);
    return;
  }
  arm_timer(server_.hold_.stall);
}

bool CallerConnection::took_some() {
  const uint64_t before = std::exchange(taken_at_check_, taken());
  return taken_at_check_ != before;
}

void CallerConnection::on_written() {
  const auto keep = shared_from_this();
  answer_held_.set(unsent());
  // The call may stand for an earlier, empty output.
  if (phase_ == Phase::kFlushing && unsent() == 0) {
    close();
    return;
  }
  update_flow();
}

void CallerConnection::update_flow() {
  const size_t waiting = unsent();
  const size_t most = server_.held_.has_room(kPauseAbove) ? kPauseAbove : kResumeAt;
  const bool pause = waiting > (paused_ ? kResumeAt : most);
  if (pause == paused_) {
    return;
  }
  paused_ = pause;
  server_.flow_counts_.pauses += pause ? 1 : 0;
  if (flow_handler_) {
    flow_handler_(pause);
  }
}

bool CallerConnection::hold_request(size_t body_bytes) {
  const size_t wanted = kBodyCopies * body_bytes;
  if (wanted <= request_held_.bytes()) {
    return true;
  }
  if (!server_.held_.has_room(wanted - request_held_.bytes())) {
    return no_room();
  }
  request_held_.set(wanted);
  return true;
}

bool CallerConnection::no_room() {
  no_room_ = true;
  ++server_.flow_counts_.no_room;
  return false;
}

void CallerConnection::on_event(short events) {
  if ((events & (BEV_EVENT_EOF | BEV_EVENT_ERROR | BEV_EVENT_TIMEOUT)) != 0) {
    close();
  }
}

void CallerConnection::close(CallerEnd end) {
  if (connection_ == nullptr) {
    return;
  }
  const auto keep = shared_from_this();
  http::close_connection(connection_);
  connection_ = nullptr;
  event_del(timer_);
  const bool open = phase_ == Phase::kAnswer;
  phase_ = Phase::kFlushing;
  request_held_.set(0);
  answer_held_.set(0);
  if (open) {
    server_.handler_.on_gone(this, end);
  }
  flow_handler_ = nullptr;
  server_.forget(this);
}

void CallerConnection::read() {
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

void CallerConnection::read_head() {
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
    // A head whose lines end in a bare line feed never shows the pair that is looked for.
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
  const http1::HeadFault fault = http1::check_request_head(head);
  if (fault != http1::HeadFault::kNone) {
    refuse(400, http1::to_text(fault));
    return;
  }
  request_ = EdgeRequest();
  body_too_long_ = false;
  no_room_ = false;
  parser_.reset();
  phase_ = Phase::kBody;
  size_t used = 0;
  const http1::ParseState state = parser_.feed(head, used);
  if (state == http1::ParseState::kStopped) {
    refuse_body();
  } else if (state == http1::ParseState::kMalformed) {
    refuse(400, "malformed head");
  } else {
    evbuffer_drain(input, length);
    if (state == http1::ParseState::kComplete) {
      hand_over();
    }
  }
}

bool CallerConnection::on_head() {
  if (!server_.held_.has_room(kPauseAbove)) {
    return no_room();
  }
  request_.method = parser_.method();
  request_.target = parser_.target();
  const bool has_length = parser_.content_length() != UINT64_MAX;
  if (has_length && parser_.content_length() > server_.limits_.body_bytes) {
    body_too_long_ = true;
    return false;
  }
  if (has_length) {
    if (!hold_request(parser_.content_length())) {
      return false;
    }
    request_.body.reserve(parser_.content_length());
  }
  const std::string* expectation = parser_.headers().find("Expect");
  if (expectation != nullptr && http1::equal_ignoring_case(*expectation, "100-continue")) {
    write("HTTP/1.1 100 Continue\r\n\r\n");
  }
  close_after_ = !parser_.keep_alive();
  return true;
}

bool CallerConnection::on_body(std::string_view piece) {
  if (request_.body.size() + piece.size() > server_.limits_.body_bytes) {
    body_too_long_ = true;
    return false;
  }
  if (!hold_request(request_.body.size() + piece.size())) {
    return false;
  }
  request_.body.append(piece);
  return true;
}

void CallerConnection::on_complete() { request_.headers = std::move(parser_.headers()); }

void CallerConnection::read_body() {
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
    hand_over();
  }
}

void CallerConnection::hand_over() {
  phase_ = Phase::kAnswer;
  event_del(timer_);
  server_.handler_.on_request(std::move(request_), shared_from_this());
}

void CallerConnection::refuse_body() {
  if (no_room_) {
    refuse(503, "too much is held for slow readers", kNoRoomRetryAfter);
  } else if (body_too_long_) {
    refuse(413, "the body is too long");
  } else {
    refuse(400, "malformed body");
  }
}

void CallerConnection::refuse(int status, std::string_view reason, const char* retry_after) {
  ResponseHead head;
  head.status = status;
  if (retry_after != nullptr) {
    head.headers.add("Retry-After", retry_after);
  }
  head.headers.add("Content-Type", "text/plain");
  close_after_ = true;
  phase_ = Phase::kAnswer;
  evbuffer* input = bufferevent_get_input(connection_);
  evbuffer_drain(input, evbuffer_get_length(input));
  reply(head, std::string(reason) + "\n");
}

void CallerConnection::write(std::string_view bytes) {
  if (connection_ != nullptr) {
    bufferevent_write(connection_, bytes.data(), bytes.size());
    written_ += bytes.size();
  }
}

void CallerConnection::note_held() {
  answer_held_.set(unsent());
  if (phase_ == Phase::kAnswer && unsent() > 0 && event_pending(timer_, EV_TIMEOUT, nullptr) == 0) {
    taken_at_check_ = taken();
    arm_timer(server_.hold_.stall);
  }
  update_flow();
}

void CallerConnection::write_head(const ResponseHead& head, bool chunked, size_t length) {
  close_after_ = close_after_ || server_.draining_;
  std::string text = "HTTP/1.1 " + std::to_string(head.status) + " " + reason_of(head.status) + "\r\n";
  for (const http1::HeaderLine& line : head.headers.lines()) {
    text += line.name + ": " + line.value + "\r\n";
  }
  text += chunked ? "Transfer-Encoding: chunked\r\n" : "Content-Length: " + std::to_string(length) + "\r\n";
  text += close_after_ ? "Connection: close\r\n\r\n" : "\r\n";
  write(text);
}

void CallerConnection::reply(const ResponseHead& head, std::string_view body) {
  if (phase_ != Phase::kAnswer || connection_ == nullptr) {
    return;
  }
  write_head(head, false, body.size());
  write(body);
  after_answer();
}

void CallerConnection::start(const ResponseHead& head) {
  if (phase_ == Phase::kAnswer && connection_ != nullptr) {
    write_head(head, true, 0);
  }
}

void CallerConnection::send(std::string_view piece) {
  if (phase_ != Phase::kAnswer || connection_ == nullptr || piece.empty()) {
    return;
  }
  char size_line[20];
  const int length = std::snprintf(size_line, sizeof(size_line), "%zx\r\n", piece.size());
  write(std::string_view(size_line, static_cast<size_t>(length)));
  write(piece);
  write("\r\n");
  note_held();
}

void CallerConnection::finish() {
  if (phase_ != Phase::kAnswer || connection_ == nullptr) {
    return;
  }
  write("0\r\n\r\n");
  after_answer();
}

void CallerConnection::abort() {
  if (phase_ != Phase::kAnswer || connection_ == nullptr) {
    return;
  }
  phase_ = Phase::kFlushing;  // the handler knows: it is not told that the caller has gone
  close();
}

size_t CallerConnection::unsent() const {
  return connection_ == nullptr ? 0 : evbuffer_get_length(bufferevent_get_output(connection_));
}

void CallerConnection::close_when_written() {
  phase_ = Phase::kFlushing;
  arm_timer(kFlushLimit);
  if (evbuffer_get_length(bufferevent_get_output(connection_)) == 0) {
    close();
  }
}

void CallerConnection::after_answer() {
  answer_held_.set(unsent());
  taken_at_check_ = taken();
  request_held_.set(0);
  flow_handler_ = nullptr;
  paused_ = false;
  if (close_after_ || server_.draining_) {
    close_when_written();
    return;
  }
  phase_ = Phase::kIdle;
  arm_timer(server_.limits_.idle_timeout);
  if (evbuffer_get_length(bufferevent_get_input(connection_)) > 0 && !reading_) {
    bufferevent_trigger(connection_, EV_READ, BEV_TRIG_DEFER_CALLBACKS | BEV_TRIG_IGNORE_WATERMARKS);
  }
}

}  // namespace stoat::edge
