/// An HTTP/1.1 client connection to a backend: sends a request, parses the response strictly, and determines
/// whether the connection can be reused.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "src/common/settings.h"
#include "src/http/event_loop.h"
#include "src/http1/message.h"
#include "src/relay/relay_reader.h"
#include "src/relay/relay_set.h"

struct bufferevent;
struct evbuffer;

namespace stoat::dispatch {

/// Status with which a backend refuses a request that is addressed to another one.
inline constexpr int kMisdirected = 421;

/// Why an exchange ended without a complete response.
enum class ExchangeFailure : uint8_t {
  kNotConnected,  ///< the connection was never made: nothing was sent
  kSilent,        ///< the peer's host no longer acknowledges anything
  kBroken,        ///< reset or closed before the response was complete
  kMalformed,     ///< the bytes received are not a valid response
  kTooLong,       ///< the response, or one event of it, is longer than this router reads
  kRelayLost,     ///< the router that relayed the connection ended or broke off; the backend may be fine
};

/// Name of the failure, for logs and metrics.
const char* to_text(ExchangeFailure failure);

/// Callbacks of one exchange. on_response_complete() or on_exchange_failure() is the last one.
class ExchangeListener {
 public:
  virtual ~ExchangeListener() = default;
  virtual void on_response_head(int status, const http1::Headers& headers) = 0;
  virtual void on_response_body(std::string_view piece) = 0;
  virtual void on_response_complete() = 0;
  virtual void on_exchange_failure(ExchangeFailure failure) = 0;
};

/// One connection to a backend, which carries one exchange at a time and may be reused for the next.
class BackendConnection : public http1::MessageSink, public std::enable_shared_from_this<BackendConnection> {
 public:
  /// True if a response head belongs to the request that was sent. Other responses are skipped.
  using ResponseMatcher = std::function<bool(int status, const http1::Headers&)>;
  /// Called when an idle connection was closed or became unusable.
  using UnusableHandler = std::function<void(BackendConnection*)>;
  /// Called once when the backend has accepted the connection.
  using ConnectedHandler = std::function<void(BackendConnection*)>;

  /// Starts to connect; nullptr if no socket could be created.
  static std::shared_ptr<BackendConnection> connect(EventLoop& loop, const Endpoint& endpoint,
                                                    UnusableHandler on_unusable);
  /// Starts to connect through a router that relays; nullptr if no socket could be created.
  static std::shared_ptr<BackendConnection> connect_through(EventLoop& loop, const relay::RelayPtr& relay,
                                                            const relay::RelayRequest& request,
                                                            UnusableHandler on_unusable);
  ~BackendConnection() override;

  void set_connected_handler(ConnectedHandler handler) { on_connected_ = std::move(handler); }

  /// Sends a request. The connection must be idle.
  void send(std::string_view head, std::string_view body, ExchangeListener* listener,
            ResponseMatcher matches_request);
  /// Closes at once, without a call to the listener.
  void close();
  /// Pauses or resumes reading the response. While it is paused, TCP flow control holds back the backend.
  void set_reading(bool reading);
  bool connected() const { return connected_; }
  /// True if the peer's host refused the connection because nothing listens at the address.
  bool refused() const { return refused_; }
  /// True if the connection goes through another router.
  bool relayed() const { return hop_ != nullptr; }
  /// True if the other router, and not the backend, is why no connection was made or why it ended.
  bool relay_failed() const { return relay_failed_; }
  bool usable() const { return connection_ != nullptr && reusable_; }
  /// Time until which an idle connection can be used before the backend closes it, by its Keep-Alive header.
  TimePoint idle_until() const { return idle_until_; }

  bool on_head() override;
  bool on_body(std::string_view piece) override;
  void on_complete() override;

 private:
  /// What a relayed connection has in addition.
  struct Hop {
    explicit Hop(relay::RelayPtr relay) : use(std::move(relay)) {}
    relay::RelayUse use;
    relay::RelayReader reader;
    std::string unsent_request;  ///< held until the backend has accepted the connection
  };

  explicit BackendConnection(EventLoop& loop);
  /// Starts to connect to `endpoint`. Returns false if no socket could be created.
  bool open(const Endpoint& endpoint);
  void write(std::string_view bytes);
  void read();
  /// Number of bytes of the backend at the front of the input. Handles the frames before them; the connection
  /// may have ended after that.
  size_t readable_bytes();
  /// The same for a relayed connection.
  size_t read_frames(evbuffer* input);
  void on_connected();
  /// The relaying router could not connect to the backend.
  void on_not_connected(relay::ConnectFailure failure);
  /// The relaying router broke off, or can't be understood.
  void on_relay_lost();
  void on_event(short events);
  void on_connection_error(short events);
  /// `orderly`: the peer closed the connection; `silent`: its host has not acknowledged anything for too
  /// long.
  void on_end(bool orderly, bool silent);
  void fail(ExchangeFailure failure);
  void become_idle();

  EventLoop& loop_;
  bufferevent* connection_ = nullptr;
  http1::MessageParser parser_;
  ExchangeListener* listener_ = nullptr;
  ResponseMatcher matches_request_;
  UnusableHandler on_unusable_;
  ConnectedHandler on_connected_ = [](BackendConnection*) {};
  std::unique_ptr<Hop> hop_;  ///< nullptr: a direct connection
  bool connected_ = false;
  bool refused_ = false;
  bool relay_failed_ = false;
  bool reusable_ = true;
  bool skipping_ = false;           ///< the response being read belongs to another request
  bool matched_ = false;            ///< the head of the response to the request was received
  size_t skipped_bytes_ = 0;        ///< received before the response to the request that was sent
  bool response_complete_ = false;  ///< reported once the parser has returned
  TimePoint idle_until_{0};
};

}  // namespace stoat::dispatch
