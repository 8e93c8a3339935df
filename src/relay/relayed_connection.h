/// One relayed connection: the connection from the asking router, and the one to the backend.
#pragma once

#include <event2/bufferevent.h>

#include <memory>

#include "src/relay/relay_server.h"

namespace stoat::relay {

/// Owned by the RelayServer, which it asks to be removed when either side has ended.
class RelayedConnection : public std::enable_shared_from_this<RelayedConnection> {
 public:
  RelayedConnection(RelayServer& server, int socket);
  ~RelayedConnection();
  RelayedConnection(const RelayedConnection&) = delete;
  RelayedConnection& operator=(const RelayedConnection&) = delete;

  /// Asks the asking router to end the connection after the current exchange.
  void announce_closing();

 private:
  /// Reads the RelayRequest at the front of the asking router's input, once it is complete.
  void read_request();
  void connect(const RelayRequest& request);
  void on_asker_readable();
  void on_asker_event(short events);
  void on_backend_readable();
  void on_backend_event(short events);
  /// Moves what the asking router sent to the backend.
  void forward_to_backend();
  /// Moves what the backend sent to the asking router, as one frame.
  void forward_to_asker();
  /// Moves all of `input`, which is not empty, to the asking router as one frame.
  void write_data_frame(evbuffer* input);
  /// Ends the relayed connection once the frame has been written.
  void end_with(FrameType type, uint8_t payload);
  void close_backend();
  void close();

  RelayServer& server_;
  bufferevent* asker_ = nullptr;
  bufferevent* backend_ = nullptr;
  bool backend_connected_ = false;
  bool ending_ = false;  ///< the last frame has been queued; the asking router closes
};

}  // namespace stoat::relay
