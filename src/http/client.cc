#include "src/http/client.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>

#include <algorithm>
#include <cstdint>

#include "src/http/socket_options.h"
#include "src/http1/head_check.h"

namespace stoat::http {

namespace {

constexpr size_t kMaxIdlePerEndpoint = 64;
constexpr size_t kMaxHeadBytes = 64U << 10U;

evhttp_cmd_type evhttp_method(const std::string& method) {
  if (method == "POST") {
    return EVHTTP_REQ_POST;
  }
  if (method == "PUT") {
    return EVHTTP_REQ_PUT;
  }
  return method == "DELETE" ? EVHTTP_REQ_DELETE : EVHTTP_REQ_GET;
}

std::string drain_buffer(evbuffer* buffer) {
  std::string bytes(evbuffer_get_length(buffer), '\0');
  evbuffer_remove(buffer, bytes.data(), bytes.size());
  return bytes;
}

}  // namespace

/// State of one request in flight.
class Call : public std::enable_shared_from_this<Call> {
 public:
  Call(Client& owner, uint64_t call_id, PieceHandler piece_handler, DoneHandler done_handler)
      : client(owner), id(call_id), on_piece(std::move(piece_handler)), on_done(std::move(done_handler)) {}

  void complete(evhttp_request* finished) {
    ClientResult result;
    bool reusable = false;
    if (finished != nullptr && evhttp_request_get_response_code(finished) != 0 && !failed) {
      result.status = evhttp_request_get_response_code(finished);
      result.body = error_body + drain_buffer(evhttp_request_get_input_buffer(finished));
      for (const evkeyval* pair = evhttp_request_get_input_headers(finished)->tqh_first; pair != nullptr;
           pair = pair->next.tqe_next) {
        result.headers.push_back({pair->key, pair->value});
      }
      reusable = true;
    } else {
      // If the connection could not be established, evhttp completes the request without calling the error
      // callback, which it calls only on established connections.
      result.not_sent = finished != nullptr && !failed && !received_piece;
    }
    const DoneHandler handler = std::move(on_done);
    client.finish(id, reusable);
    handler(result);
  }

  /// Watches what is received. Fails the call at a malformed head, which the library may accept, and once
  /// more than `max_bytes` were received, whatever they are.
  void watch_input(size_t max_bytes) {
    bytes_left = max_bytes;
    const auto on_input = [](evbuffer* buffer, const evbuffer_cb_info* info, void* context) {
      static_cast<Call*>(context)->check_heads(buffer, info->n_added);
      static_cast<Call*>(context)->note_received(info->n_added);
    };
    watcher = evbuffer_add_cb(input(), on_input, this);
  }
  /// Checks the heads of interim responses and of the final one in the last `added` bytes of a buffer.
  void check_heads(evbuffer* buffer, size_t added) {
    if (head_checker.complete() || failed) {
      return;
    }
    evbuffer_ptr position;
    evbuffer_ptr_set(buffer, &position, evbuffer_get_length(buffer) - added, EVBUFFER_PTR_SET);
    std::string bytes(added, '\0');
    evbuffer_copyout_from(buffer, &position, bytes.data(), bytes.size());
    std::string_view unchecked = bytes;
    while (!unchecked.empty() && !head_checker.complete() && !failed) {
      unchecked.remove_prefix(head_checker.feed(unchecked));
      if (head_checker.fault() != http1::HeadFault::kNone) {
        fail_soon();
      } else if (head_checker.complete() && head_checker.status() < http1::kFirstFinalStatus) {
        head_checker = http1::HeadChecker(http1::MessageKind::kResponse);
      }
    }
  }
  void note_received(size_t bytes) {
    if (bytes > bytes_left) {
      fail_soon();
    }
    bytes_left -= std::min(bytes, bytes_left);
  }
  /// Ends the call as failed, but not at once: the library is reading from the connection.
  void fail_soon() {
    if (failed) {
      return;
    }
    failed = true;
    client.loop_.after(0us, [call = weak_from_this()] {
      if (const auto running = call.lock()) {
        running->client.expire(running->id);
      }
    });
  }
  void stop_watching() {
    if (watcher != nullptr) {
      evbuffer_remove_cb_entry(input(), watcher);
      watcher = nullptr;
    }
  }
  evbuffer* input() const { return bufferevent_get_input(evhttp_connection_get_bufferevent(connection)); }

  Client& client;
  uint64_t id;
  PieceHandler on_piece;
  DoneHandler on_done;
  Endpoint endpoint;
  evhttp_connection* connection = nullptr;
  evhttp_request* request = nullptr;
  bool failed = false;
  bool received_piece = false;
  evbuffer_cb_entry* watcher = nullptr;
  http1::HeadChecker head_checker{http1::MessageKind::kResponse};
  size_t bytes_left = 0;   ///< that may still be received
  std::string error_body;  ///< pieces received of a response with a status other than 200
};

Client::~Client() {
  for (auto& [id, call] : calls_) {
    evhttp_connection_free(call->connection);
  }
  for (auto& [endpoint, connections] : idle_) {
    for (evhttp_connection* connection : connections) {
      evhttp_connection_free(connection);
    }
  }
}

evhttp_connection* Client::take_idle_connection(const Endpoint& endpoint) {
  auto& connections = idle_[to_string(endpoint)];
  if (connections.empty()) {
    return nullptr;
  }
  evhttp_connection* connection = connections.back();
  connections.pop_back();
  return connection;
}

uint64_t Client::start(const ClientRequest& request, PieceHandler on_piece, DoneHandler on_done) {
  const uint64_t call_id = ++last_call_id_;
  auto call = std::make_shared<Call>(*this, call_id, std::move(on_piece), std::move(on_done));
  call->endpoint = request.endpoint;
  call->connection = request.fresh_connection ? nullptr : take_idle_connection(request.endpoint);
  if (call->connection == nullptr) {
    call->connection = evhttp_connection_base_new(loop_.base(), nullptr, request.endpoint.address.c_str(),
                                                  request.endpoint.port);
  }
  const timeval timeout{request.timeout.count() / 1000000, request.timeout.count() % 1000000};
  evhttp_connection_set_timeout_tv(call->connection, &timeout);
  evhttp_connection_set_max_headers_size(call->connection, static_cast<ev_ssize_t>(kMaxHeadBytes));
  call->watch_input(call->on_piece ? SIZE_MAX : kMaxHeadBytes + request.max_body_bytes);

  const auto on_complete = [](evhttp_request* finished, void* context) {
    static_cast<Call*>(context)->complete(finished);
  };
  evhttp_request* outgoing = evhttp_request_new(on_complete, call.get());
  const auto on_error = [](evhttp_request_error, void* context) {
    static_cast<Call*>(context)->failed = true;
  };
  evhttp_request_set_error_cb(outgoing, on_error);
  if (call->on_piece) {
    const auto on_chunk = [](evhttp_request* incoming, void* context) {
      auto* active = static_cast<Call*>(context);
      active->received_piece = true;
      if (active->failed) {
        return;
      }
      if (evhttp_request_get_response_code(incoming) != HTTP_OK) {
        // evhttp discards what a chunk callback does not consume.
        active->error_body += drain_buffer(evhttp_request_get_input_buffer(incoming));
        return;
      }
      active->on_piece(drain_buffer(evhttp_request_get_input_buffer(incoming)));
    };
    evhttp_request_set_chunked_cb(outgoing, on_chunk);
  }
  evkeyvalq* headers = evhttp_request_get_output_headers(outgoing);
  for (const Header& header : request.headers) {
    evhttp_add_header(headers, header.name.c_str(), header.value.c_str());
  }
  if (evhttp_find_header(headers, "Host") == nullptr) {
    evhttp_add_header(headers, "Host", to_string(request.endpoint).c_str());
  }
  evbuffer_add(evhttp_request_get_output_buffer(outgoing), request.body.data(), request.body.size());
  call->request = outgoing;
  Call* active = call.get();
  const std::weak_ptr<Call> started = call;
  calls_[call_id] = std::move(call);
  evhttp_connection* const connection = active->connection;
  const int start_result =
      evhttp_make_request(connection, outgoing, evhttp_method(request.method), request.path.c_str());
  if (start_result == 0 && calls_.count(call_id) > 0) {
    disable_nagle(connection);
  }
  if (request.time_limit > Duration(0)) {
    loop_.after(request.time_limit, [started] {
      if (const auto running = started.lock()) {
        running->client.expire(running->id);
      }
    });
  }
  return call_id;
}

void Client::finish(uint64_t call_id, bool reusable) {
  const auto found = calls_.find(call_id);
  if (found == calls_.end()) {
    return;
  }
  // Keep the call alive until the next loop iteration, because libevent still holds its address.
  std::shared_ptr<Call> call = std::move(found->second);
  calls_.erase(found);
  call->stop_watching();
  auto& connections = idle_[to_string(call->endpoint)];
  evhttp_connection* connection = call->connection;
  loop_.after(0us, [call] {});
  if (reusable && connections.size() < kMaxIdlePerEndpoint) {
    // Not reusable before the next loop iteration: libevent is still completing this response.
    loop_.after(0us,
                [this, connection, key = to_string(call->endpoint)] { idle_[key].push_back(connection); });
  } else {
    free_later(connection);
  }
}

void Client::expire(uint64_t call_id) {
  const auto found = calls_.find(call_id);
  if (found == calls_.end()) {
    return;
  }
  const DoneHandler handler = found->second->on_done;
  cancel(call_id);
  handler({});
}

void Client::free_later(evhttp_connection* connection) {
  loop_.after(0us, [connection] { evhttp_connection_free(connection); });
}

void Client::cancel(uint64_t call_id) {
  const auto found = calls_.find(call_id);
  if (found == calls_.end()) {
    return;
  }
  std::shared_ptr<Call> call = std::move(found->second);
  calls_.erase(found);
  call->stop_watching();
  call->on_piece = [](const std::string&) {};
  // Freeing the connection also frees the request, without calling its callbacks.
  loop_.after(0us, [call] { evhttp_connection_free(call->connection); });
  call->on_done = [](const ClientResult&) {};
}

}  // namespace stoat::http
