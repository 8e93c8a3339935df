/// One connection of a caller: reads a request, waits for its answer, writes it, and goes on to the next.
#pragma once

#include <event2/event.h>

#include "src/edge/edge_server.h"
#include "src/http1/head_check.h"

namespace stoat::edge {

/// See the head of this file. Owned by the EdgeServer and by the answer under way.
class CallerConnection : public ResponseWriter,
                         public http1::MessageSink,
                         public std::enable_shared_from_this<CallerConnection> {
 public:
  CallerConnection(EdgeServer& server, evutil_socket_t socket);
  ~CallerConnection() override;
  CallerConnection(const CallerConnection&) = delete;
  CallerConnection& operator=(const CallerConnection&) = delete;

  void reply(const ResponseHead& head, std::string_view body) override;
  void start(const ResponseHead& head) override;
  void send(std::string_view piece) override;
  void finish() override;
  void abort() override;
  size_t unsent() const override;
  void set_flow_handler(FlowHandler handler) override { flow_handler_ = std::move(handler); }

  bool on_head() override;
  bool on_body(std::string_view piece) override;
  void on_complete() override;

  /// True while a request is being read or answered.
  bool busy() const { return phase_ != Phase::kIdle; }
  /// Closes at once, whatever is under way. The handler hears of an open request.
  void close(CallerEnd end = CallerEnd::kLeft);

 private:
  enum class Phase : uint8_t {
    kIdle,     ///< no byte of a request has come
    kHead,     ///< part of a head has come
    kBody,     ///< the head is read
    kAnswer,   ///< the request is whole; its answer is due or under way
    kFlushing  ///< the last answer is being written, then the connection closes
  };
  void read();
  void read_head();
  void read_body();
  void after_answer();
  /// `retry_after`: seconds, as text; nullptr: none is told.
  void refuse(int status, std::string_view reason, const char* retry_after = nullptr);
  /// Refuses a request whose body can't be taken.
  void refuse_body();
  void write_head(const ResponseHead& head, bool chunked, size_t length);
  void write(std::string_view bytes);
  /// Counts what waits for the caller, and looks after it when it takes nothing.
  void note_held();
  void close_when_written();
  void arm_timer(Duration delay);
  void on_timer();
  void on_event(short events);
  void hand_over();
  /// Some bytes of the output have gone to the caller.
  void on_written();
  /// Tells the source of the answer to stop, or to go on.
  void update_flow();
  /// Lets a caller go that has taken nothing since the last look.
  void check_stall();
  /// Ends a connection whose last answer is whole, unless the caller has taken some of it since the last
  /// look.
  void close_unless_taking(Duration next_look);
  /// Bytes that the caller has taken since the start.
  uint64_t taken() const { return written_ - unsent(); }
  /// Counts what is held of a request's body: here, and on its way to the back end. False: there is no room.
  bool hold_request(size_t body_bytes);
  /// Notes that there is no room for the request; always false.
  bool no_room();
  /// True when the caller has taken something since the last look, which this is.
  bool took_some();

  EdgeServer& server_;
  bufferevent* connection_ = nullptr;
  event* timer_ = nullptr;
  http1::MessageParser parser_;
  EdgeRequest request_;
  Phase phase_ = Phase::kIdle;
  bool close_after_ = false;  ///< the answer under way is the connection's last
  bool reading_ = false;      ///< inside read(): answers that come at once must not re-enter it
  bool body_too_long_ = false;
  bool no_room_ = false;  ///< too much is held for others to take the request's body
  HeldShare request_held_;
  HeldShare answer_held_;
  FlowHandler flow_handler_;
  bool paused_ = false;          ///< the source of the answer was told to stop
  uint64_t written_ = 0;         ///< bytes put into the output since the start
  uint64_t taken_at_check_ = 0;  ///< of them, those that the caller had taken at the last look for a stall
};

}  // namespace stoat::edge
