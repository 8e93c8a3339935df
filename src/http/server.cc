#include "src/http/server.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>

#include <cerrno>
#include <cstring>
#include <stdexcept>

#include "src/http/socket_options.h"

namespace stoat::http {

namespace {

constexpr int kAllMethods = EVHTTP_REQ_GET | EVHTTP_REQ_POST | EVHTTP_REQ_PUT | EVHTTP_REQ_DELETE;

std::string method_name(evhttp_cmd_type command) {
  switch (command) {
    case EVHTTP_REQ_GET:
      return "GET";
    case EVHTTP_REQ_POST:
      return "POST";
    case EVHTTP_REQ_PUT:
      return "PUT";
    case EVHTTP_REQ_DELETE:
      return "DELETE";
    default:
      return "OTHER";
  }
}

std::string drain_buffer(evbuffer* buffer) {
  std::string bytes(evbuffer_get_length(buffer), '\0');
  evbuffer_remove(buffer, bytes.data(), bytes.size());
  return bytes;
}

}  // namespace

Exchange::Exchange(evhttp_request* request)
    : request_(request), method_(method_name(evhttp_request_get_command(request))) {
  const evhttp_uri* uri = evhttp_request_get_evhttp_uri(request);
  const char* path = evhttp_uri_get_path(uri);
  const char* query_text = evhttp_uri_get_query(uri);
  path_ = path == nullptr ? "/" : path;
  query_ = query_text == nullptr ? "" : query_text;
  body_ = drain_buffer(evhttp_request_get_input_buffer(request));
  disable_nagle(evhttp_request_get_connection(request));
  const auto on_close = [](evhttp_connection*, void* context) {
    auto* exchange = static_cast<Exchange*>(context);
    exchange->disconnected_ = true;
    if (exchange->on_disconnect_) {
      const auto action = std::move(exchange->on_disconnect_);
      exchange->on_disconnect_ = nullptr;
      action();
    }
  };
  evhttp_connection_set_closecb(evhttp_request_get_connection(request), on_close, this);
}

Exchange::~Exchange() {
  if (request_ != nullptr) {
    reply(500, "text/plain", "no reply was given\n");
  }
}

void Exchange::clear_close_callback() {
  evhttp_connection* connection = evhttp_request_get_connection(request_);
  if (connection != nullptr && !disconnected_) {
    evhttp_connection_set_closecb(connection, nullptr, nullptr);
  }
  on_disconnect_ = nullptr;
}

std::string Exchange::header(const std::string& name) const {
  if (request_ == nullptr) {
    return "";
  }
  const char* value = evhttp_find_header(evhttp_request_get_input_headers(request_), name.c_str());
  return value == nullptr ? "" : value;
}

std::string Exchange::query(const std::string& name) const {
  evkeyvalq parameters{};
  evhttp_parse_query_str(query_.c_str(), &parameters);
  const char* value = evhttp_find_header(&parameters, name.c_str());
  std::string text = value == nullptr ? "" : value;
  evhttp_clear_headers(&parameters);
  return text;
}

void Exchange::add_headers(const std::string& content_type, const std::vector<Header>& headers) {
  evkeyvalq* output = evhttp_request_get_output_headers(request_);
  evhttp_add_header(output, "Content-Type", content_type.c_str());
  if (close_after_reply_) {
    evhttp_add_header(output, "Connection", "close");
  }
  for (const Header& header : headers) {
    evhttp_add_header(output, header.name.c_str(), header.value.c_str());
  }
}

void Exchange::reply(int status, const std::string& content_type, const std::string& body,
                     const std::vector<Header>& headers) {
  if (request_ == nullptr) {
    return;
  }
  add_headers(content_type, headers);
  evbuffer* buffer = evbuffer_new();
  evbuffer_add(buffer, body.data(), body.size());
  clear_close_callback();
  evhttp_send_reply(request_, status, nullptr, buffer);
  evbuffer_free(buffer);
  request_ = nullptr;
}

void Exchange::start_stream(int status, const std::string& content_type, const std::vector<Header>& headers) {
  if (request_ == nullptr) {
    return;
  }
  add_headers(content_type, headers);
  evhttp_send_reply_start(request_, status, nullptr);
}

void Exchange::send(const std::string& piece) {
  if (request_ == nullptr || disconnected_) {
    return;
  }
  evbuffer* buffer = evbuffer_new();
  evbuffer_add(buffer, piece.data(), piece.size());
  evhttp_send_reply_chunk(request_, buffer);
  evbuffer_free(buffer);
}

void Exchange::end_stream() {
  if (request_ == nullptr) {
    return;
  }
  clear_close_callback();
  evhttp_send_reply_end(request_);
  request_ = nullptr;
}

void Exchange::abort() {
  if (request_ == nullptr) {
    return;
  }
  clear_close_callback();
  evhttp_connection* connection = evhttp_request_get_connection(request_);
  if (connection != nullptr && !disconnected_) {
    evhttp_connection_free(connection);
  } else {
    evhttp_send_reply_end(request_);
  }
  request_ = nullptr;
}

Server::Server(EventLoop& loop, const Endpoint& endpoint, const ServerLimits& limits) {
  http_ = evhttp_new(loop.base());
  evhttp_set_max_body_size(http_, static_cast<ev_ssize_t>(limits.max_body_bytes));
  evhttp_set_max_headers_size(http_, static_cast<ev_ssize_t>(limits.max_header_bytes));
  evhttp_set_timeout(http_, limits.idle_timeout_s);
  evhttp_set_allowed_methods(http_, kAllMethods);
  const auto on_request = [](evhttp_request* request, void* context) {
    static_cast<Server*>(context)->dispatch(request);
  };
  evhttp_set_gencb(http_, on_request, this);
  socket_ = evhttp_bind_socket_with_handle(http_, endpoint.address.c_str(), endpoint.port);
  if (socket_ == nullptr) {
    evhttp_free(http_);
    throw std::runtime_error("cannot listen on " + to_string(endpoint) + ": " + std::strerror(errno));
  }
}

Server::~Server() { evhttp_free(http_); }

void Server::stop_listening() {
  if (socket_ != nullptr) {
    evhttp_del_accept_socket(http_, socket_);
    socket_ = nullptr;
  }
}

void Server::route(const std::string& method, const std::string& path, Handler handler) {
  if (path.size() >= 2 && path.ends_with("/*")) {
    prefix_routes_.emplace_back(method + " " + path.substr(0, path.size() - 1), std::move(handler));
  } else {
    exact_routes_[method + " " + path] = std::move(handler);
  }
}

void Server::dispatch(evhttp_request* request) {
  const auto exchange = std::make_shared<Exchange>(request);
  if (socket_ == nullptr) {
    exchange->close_after_reply();
  }
  const std::string key = exchange->method() + " " + exchange->path();
  const auto found = exact_routes_.find(key);
  if (found != exact_routes_.end()) {
    found->second(exchange);
    return;
  }
  for (const auto& [prefix, handler] : prefix_routes_) {
    if (key.starts_with(prefix)) {
      handler(exchange);
      return;
    }
  }
  exchange->reply(404, "application/json",
                  R"({"error":{"code":"not_found","message":"no such path"}})"
                  "\n");
}

}  // namespace stoat::http
