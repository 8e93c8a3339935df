/// HTTP client based on evhttp. It pools idle connections, streams responses, and reports whether a request
/// can have reached the server.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "src/common/settings.h"
#include "src/http/event_loop.h"
#include "src/http/server.h"

struct evhttp_connection;
struct evhttp_request;

namespace stoat::http {

/// Default limit for the body of a response.
inline constexpr size_t kMaxBodyBytes = 64U << 20U;

/// A request to send.
struct ClientRequest {
  Endpoint endpoint;
  std::string method = "GET";
  std::string path = "/";
  std::vector<Header> headers;
  std::string body;
  Duration timeout = 30s;  ///< limit for connecting and for inactivity on the connection
  Duration time_limit{0};  ///< from the start of the call to its end; 0: none
  /// Longer responses fail; their framing counts too. Does not apply to bodies that a PieceHandler takes.
  size_t max_body_bytes = kMaxBodyBytes;
  /// Open a new connection instead of reusing an idle one. If a reused connection is lost, it is unknown
  /// whether the server executed the request.
  bool fresh_connection = false;
};

/// The result of a request.
struct ClientResult {
  int status = 0;  ///< HTTP status; 0 if no complete response was received
  std::string body;
  /// No connection could be established, so no byte of the request reached the server.
  bool not_sent = false;
  std::vector<Header> headers;
};

/// Called for each piece of a response body with status 200. These pieces are not part of the result's body.
using PieceHandler = std::function<void(const std::string& piece)>;
using DoneHandler = std::function<void(const ClientResult& result)>;

/// One request in flight.
class Call;

/// Sends requests on an event loop. Destroying the client drops the requests in flight without calling their
/// handlers.
class Client {
 public:
  explicit Client(EventLoop& loop) : loop_(loop) {}
  ~Client();
  Client(const Client&) = delete;
  Client& operator=(const Client&) = delete;

  /// Starts a request and returns its call id. `on_piece` may be empty. `on_done` is called exactly once
  /// unless the call is cancelled.
  uint64_t start(const ClientRequest& request, PieceHandler on_piece, DoneHandler on_done);
  /// Cancels a call. Its connection is closed and not reused. Unknown ids are ignored.
  void cancel(uint64_t call_id);

 private:
  friend class Call;
  evhttp_connection* take_idle_connection(const Endpoint& endpoint);
  void finish(uint64_t call_id, bool reusable);
  /// Ends a call that takes too long or receives too much, as failed.
  void expire(uint64_t call_id);
  void free_later(evhttp_connection* connection);

  EventLoop& loop_;
  uint64_t last_call_id_ = 0;
  std::map<uint64_t, std::shared_ptr<Call>> calls_;
  std::map<std::string, std::vector<evhttp_connection*>> idle_;
};

}  // namespace stoat::http
