/// A client's request as the edge passes it on, and the interface for its response.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "src/http1/message.h"

namespace stoat::edge {

/// One complete request.
struct EdgeRequest {
  std::string method;
  std::string target;  ///< path and query, byte for byte
  http1::Headers headers;
  std::string body;
};

/// The head of a response.
struct ResponseHead {
  int status = 200;
  http1::Headers headers;  ///< without framing and connection headers, which the edge sets itself
};

/// The response to one request. After the client has disconnected, calls have no effect.
class ResponseWriter {
 public:
  virtual ~ResponseWriter() = default;
  /// Sends a complete response.
  virtual void reply(const ResponseHead& head, std::string_view body) = 0;
  /// Starts a response of unknown length.
  virtual void start(const ResponseHead& head) = 0;
  virtual void send(std::string_view piece) = 0;
  virtual void finish() = 0;
  /// Closes the connection so that a truncated response does not look complete.
  virtual void abort() = 0;
  /// Bytes of the response that are buffered because the client has not read them.
  virtual size_t unsent_bytes() const = 0;
  /// Called with true when the client reads too slowly and the response bytes buffered for it exceed their
  /// limit, so that nothing more should be sent; and with false when the client has read most of them. May be
  /// empty.
  using FlowHandler = std::function<void(bool paused)>;
  virtual void set_flow_handler(FlowHandler handler) = 0;
};

/// Why the client of an open request has disconnected.
enum class DisconnectReason : uint8_t {
  kClosed,   ///< it closed its connection, or the connection failed
  kStalled,  ///< it read nothing of its response for too long, and the edge closed the connection
};

/// Receives requests from the edge.
class RequestHandler {
 public:
  virtual ~RequestHandler() = default;
  /// Called once for each complete request.
  virtual void on_request(EdgeRequest request, std::shared_ptr<ResponseWriter> response) = 0;
  /// Called when the client of an open request has disconnected.
  virtual void on_disconnect(const ResponseWriter* response, DisconnectReason disconnect_reason) = 0;
};

}  // namespace stoat::edge
