/// One client connection: reads a request, waits for its response, writes it, and continues with the next
/// request.
#pragma once

#include <event2/event.h>

#include "src/edge/edge_server.h"

namespace stoat::edge {

/// A client connection, which is also the response to its current request. Owned by the EdgeServer and by the
/// holders of that response.
class ClientConnection : public ResponseWriter,
                         public http1::MessageSink,
                         public std::enable_shared_from_this<ClientConnection> {
 public:
  ClientConnection(EdgeServer& server, evutil_socket_t socket);
  ~ClientConnection() override;
  ClientConnection(const ClientConnection&) = delete;
  ClientConnection& operator=(const ClientConnection&) = delete;

  void reply(const ResponseHead& head, std::string_view body) override;
  void start(const ResponseHead& head) override;
  void send(std::string_view piece) override;
  void finish() override;
  void abort() override;
  size_t unsent_bytes() const override;
  void set_flow_handler(FlowHandler handler) override { flow_handler_ = std::move(handler); }

  bool on_head() override;
  bool on_body(std::string_view piece) override;
  void on_complete() override;

  /// Returns true while a request is being read or answered.
  bool busy() const { return phase_ != Phase::kIdle; }
  /// Closes the connection at once. The handler is notified if a request is open.
  void close(DisconnectReason disconnect_reason = DisconnectReason::kClosed);

 private:
  enum class Phase : uint8_t {
    kIdle,      ///< no byte of a request has arrived
    kHead,      ///< part of a head has arrived
    kBody,      ///< the head has been read
    kResponse,  ///< the request is complete; its response is pending or being written
    kFlushing   ///< the last response is being written, then the connection closes
  };
  void read();
  void read_head();
  void read_body();
  void on_response_written();
  /// `retry_after` is in seconds, as text; nullptr: no Retry-After.
  void refuse(int status, std::string_view reason, const char* retry_after = nullptr);
  /// Refuses a request whose body can't be accepted.
  void refuse_body();
  void write_head(const ResponseHead& head, bool chunked, size_t length);
  void write(std::string_view bytes);
  /// Updates the buffered bytes of the response, and starts the stall check when some are left.
  void update_buffered_bytes();
  void close_after_flush();
  void arm_timer(Duration delay);
  void on_timer();
  void on_event(short events);
  void dispatch_request();
  /// Called when the output has drained to the low watermark.
  void on_output_drained();
  /// Pauses or resumes the source of the response.
  void update_flow_control();
  /// Disconnects a client that has read nothing since the last check.
  void check_stall();
  /// Closes a connection whose last response is complete, unless the client has read some of it since the
  /// last check.
  void close_if_stalled(Duration next_check);
  /// Bytes that the client has read since the connection was opened.
  uint64_t drained_bytes() const { return written_bytes_ - unsent_bytes(); }
  /// Reserves buffer space for a request body, here and on its way to the backend. Returns false when there
  /// is none.
  bool reserve_body_bytes(size_t body_bytes);
  /// Records that there is no buffer space for the request. Always returns false.
  bool note_buffer_full();
  /// Returns true if the client has read something since the last check, and starts the next check period.
  bool made_progress();

  EdgeServer& server_;
  bufferevent* connection_ = nullptr;
  event* timer_ = nullptr;
  http1::MessageParser parser_;
  EdgeRequest request_;
  Phase phase_ = Phase::kIdle;
  bool close_after_response_ = false;  ///< the current response is the connection's last
  bool reading_ = false;  ///< inside read(): a response that is ready at once must not re-enter it
  bool body_too_long_ = false;
  bool buffer_full_ = false;  ///< too much is buffered for other connections to accept the request's body
  BufferReservation request_reservation_;
  BufferReservation response_reservation_;
  FlowHandler flow_handler_;
  bool paused_ = false;            ///< the source of the response was asked to pause
  uint64_t written_bytes_ = 0;     ///< bytes written to the output since the connection was opened
  uint64_t drained_at_check_ = 0;  ///< drained_bytes() at the last stall check
};

}  // namespace stoat::edge
