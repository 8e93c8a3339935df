/// HTTP server based on evhttp, with routes, complete replies and streamed replies.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "src/common/settings.h"
#include "src/http/event_loop.h"

struct evhttp;
struct evhttp_bound_socket;
struct evhttp_request;

namespace stoat::http {

/// One header of a request or reply.
struct Header {
  std::string name;
  std::string value;
};

/// One request and its reply. The reply must be ended exactly once, by reply(), by start_stream() followed by
/// end_stream(), or by abort(). If the exchange is destroyed before its reply has ended, it replies with
/// status 500.
class Exchange {
 public:
  explicit Exchange(evhttp_request* request);
  ~Exchange();
  Exchange(const Exchange&) = delete;
  Exchange& operator=(const Exchange&) = delete;

  const std::string& method() const { return method_; }
  const std::string& path() const { return path_; }
  const std::string& body() const { return body_; }
  /// A header's value, or an empty string.
  std::string header(const std::string& name) const;
  /// A query parameter's value, or an empty string.
  std::string query(const std::string& name) const;

  void reply(int status, const std::string& content_type, const std::string& body,
             const std::vector<Header>& headers = {});
  void start_stream(int status, const std::string& content_type, const std::vector<Header>& headers = {});
  void send(const std::string& piece);
  void end_stream();
  /// Closes the connection without ending the reply, so that a truncated stream does not look complete.
  void abort();

  /// Sets an action to call once if the client disconnects before the reply has ended.
  void on_disconnect(std::function<void()> action) { on_disconnect_ = std::move(action); }
  /// True once the client has disconnected.
  bool disconnected() const { return disconnected_; }
  bool ended() const { return request_ == nullptr; }
  /// Closes the connection after this reply. Must be called before the reply starts.
  void close_after_reply() { close_after_reply_ = true; }

 private:
  void add_headers(const std::string& content_type, const std::vector<Header>& headers);
  void clear_close_callback();

  evhttp_request* request_;
  std::string method_;
  std::string path_;
  std::string query_;
  std::string body_;
  std::function<void()> on_disconnect_;
  bool disconnected_ = false;
  bool close_after_reply_ = false;
};

using ExchangePtr = std::shared_ptr<Exchange>;
using Handler = std::function<void(const ExchangePtr&)>;

/// Limits on requests and connections of clients.
struct ServerLimits {
  size_t max_body_bytes = 8U << 20U;
  size_t max_header_bytes = 64U << 10U;
  int idle_timeout_s = 60;  ///< also closes half-open connections and those of very slow clients
};

/// Listens on one address. Routes match a method and a path. A path that ends in "/*" matches every path that
/// begins with the part before the "*"; exact paths take precedence.
class Server {
 public:
  /// Throws std::runtime_error if the address can't be bound.
  Server(EventLoop& loop, const Endpoint& endpoint, const ServerLimits& limits = {});
  ~Server();
  Server(const Server&) = delete;
  Server& operator=(const Server&) = delete;

  void route(const std::string& method, const std::string& path, Handler handler);
  /// Stops accepting new connections. Requests on open connections are still served, and each reply then
  /// closes its connection.
  void stop_listening();

 private:
  void dispatch(evhttp_request* request);

  evhttp* http_ = nullptr;
  evhttp_bound_socket* socket_ = nullptr;
  std::map<std::string, Handler> exact_routes_;
  std::vector<std::pair<std::string, Handler>> prefix_routes_;
};

}  // namespace stoat::http
