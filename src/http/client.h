/// HTTP client on evhttp: keeps idle connections, streams answers, and tells whether a request can have been
/// sent.
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

/// What to send.
struct ClientRequest {
  Endpoint endpoint;
  std::string method = "GET";
  std::string path = "/";
  std::vector<Header> headers;
  std::string body;
  Duration timeout = 30s;  ///< of silence on the connection, and for connecting
  bool fresh_connection =
      false;  ///< do not reuse an idle connection, whose loss could not be told from a run
};

/// How a request ended.
struct ClientResult {
  int status = 0;  ///< HTTP status; 0 when no whole answer came
  std::string body;
  bool not_sent = false;  ///< the connection could not be made: certainly no byte reached the server
  std::vector<Header> headers;
};

/// Called for each piece of a body with status 200, when given; the pieces are then not collected in the
/// result.
using PieceHandler = std::function<void(const std::string& piece)>;
using DoneHandler = std::function<void(const ClientResult& result)>;

/// One request under way.
class Call;

/// Sends requests. Must outlive them.
class Client {
 public:
  explicit Client(EventLoop& loop) : loop_(loop) {}
  ~Client();
  Client(const Client&) = delete;
  Client& operator=(const Client&) = delete;

  /// Starts a request. `on_done` is called exactly once unless the call is cancelled.
  uint64_t start(const ClientRequest& request, PieceHandler on_piece, DoneHandler on_done);
  /// Cancels a call; its connection is closed and never reused. Unknown ids are ignored.
  void cancel(uint64_t call_id);

 private:
  friend class Call;
  evhttp_connection* take_idle(const Endpoint& endpoint);
  void finish(uint64_t call_id, bool reusable);
  void release_later(evhttp_connection* connection);

  EventLoop& loop_;
  uint64_t last_call_id_ = 0;
  std::map<uint64_t, std::shared_ptr<Call>> calls_;
  std::map<std::string, std::vector<evhttp_connection*>> idle_;
};

}  // namespace stoat::http
