/// HTTP server on evhttp: routes, whole replies and streamed replies.
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

/// One request and its reply. The reply must be ended exactly once: reply(), or start_stream() and
/// end_stream().
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
  /// Breaks the connection off, so that a cut stream does not look finished.
  void abort();

  /// Called once when the caller goes away before the reply has ended.
  void on_gone(std::function<void()> action) { on_gone_ = std::move(action); }
  bool gone() const { return gone_; }
  bool ended() const { return request_ == nullptr; }
  /// Makes the reply the connection's last one. Only before the reply begins.
  void close_after_reply() { close_after_reply_ = true; }

 private:
  void add_headers(const std::string& content_type, const std::vector<Header>& headers);
  void forget_connection();

  evhttp_request* request_;
  std::string method_;
  std::string path_;
  std::string query_;
  std::string body_;
  std::function<void()> on_gone_;
  bool gone_ = false;
  bool close_after_reply_ = false;
};

using ExchangePtr = std::shared_ptr<Exchange>;
using Handler = std::function<void(const ExchangePtr&)>;

/// Limits on what callers may send.
struct ServerLimits {
  size_t max_body_bytes = 8U << 20U;
  size_t max_header_bytes = 64U << 10U;
  int idle_timeout_s = 60;  ///< also ends half-open and very slow callers
};

/// Listens on one address. Routes match "METHOD /path"; a path that ends in "/*" matches what begins with it.
class Server {
 public:
  /// Throws std::runtime_error when the address can't be bound.
  Server(EventLoop& loop, const Endpoint& endpoint, const ServerLimits& limits = {});
  ~Server();
  Server(const Server&) = delete;
  Server& operator=(const Server&) = delete;

  void route(const std::string& method, const std::string& path, Handler handler);
  /// Stops taking new connections; requests on open ones are still served, and each reply then closes its
  /// connection.
  void stop_listening();

 private:
  void dispatch(evhttp_request* request);

  evhttp* http_ = nullptr;
  evhttp_bound_socket* socket_ = nullptr;
  std::map<std::string, Handler> exact_;
  std::vector<std::pair<std::string, Handler>> prefixes_;
};

}  // namespace stoat::http
