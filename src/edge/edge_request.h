/// A caller's request as the edge hands it on, and the way its answer goes back.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "src/http1/message.h"

namespace stoat::edge {

/// One whole request.
struct EdgeRequest {
  std::string method;
  std::string target;  ///< path and query, byte for byte
  http1::Headers headers;
  std::string body;
};

/// The head of an answer.
struct ResponseHead {
  int status = 200;
  http1::Headers headers;  ///< without those of framing and connection, which the edge sets itself
};

/// Where the answer to one request goes. After the caller has left, calls do nothing.
class ResponseWriter {
 public:
  virtual ~ResponseWriter() = default;
  /// Sends a whole answer.
  virtual void reply(const ResponseHead& head, std::string_view body) = 0;
  /// Starts an answer whose length is not known yet.
  virtual void start(const ResponseHead& head) = 0;
  virtual void send(std::string_view piece) = 0;
  virtual void finish() = 0;
  /// Breaks the connection off, so that a cut answer does not look finished.
  virtual void abort() = 0;
  /// Bytes of the answer that wait because the caller does not take them.
  virtual size_t unsent() const = 0;
  /// Hears when so much waits that nothing more should be sent (true), and when the caller has taken most of
  /// it (false). Empty: nobody hears.
  using FlowHandler = std::function<void(bool paused)>;
  virtual void set_flow_handler(FlowHandler handler) = 0;
};

/// Why the caller of an open request is there no more.
enum class CallerEnd : uint8_t {
  kLeft,     ///< it closed its connection, or that broke
  kStalled,  ///< it took nothing of its answer for too long, and was let go
};

/// Takes requests from the edge.
class RequestHandler {
 public:
  virtual ~RequestHandler() = default;
  /// Called once for each whole request. `on_gone` of the answer is set by return of this call.
  virtual void on_request(EdgeRequest request, std::shared_ptr<ResponseWriter> answer) = 0;
  /// The caller of an open request is there no more.
  virtual void on_gone(const ResponseWriter* answer, CallerEnd end) = 0;
};

}  // namespace stoat::edge
