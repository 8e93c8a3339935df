/// One HTTP/1.1 connection to a back end: sends a request, reads its answer strictly, and tells whether the
/// connection can be used again.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "src/common/settings.h"
#include "src/http/event_loop.h"
#include "src/http1/message.h"

struct bufferevent;

namespace stoat::dispatch {

/// The status with which a back end turns away a request that names another one.
inline constexpr int kMisdirected = 421;

/// Why an exchange ended without a whole answer.
enum class ExchangeFailure : uint8_t {
  kNotConnected,  ///< the connection was never made: certainly nothing was sent
  kSilent,        ///< the other side's machine answers nothing any more
  kBroken,        ///< reset or closed before the answer was whole
  kMalformed,     ///< bytes that are no answer
};

/// The failure in words, for the log.
const char* to_text(ExchangeFailure failure);

/// Hears of one exchange. After on_complete or on_failure nothing more comes.
class ExchangeListener {
 public:
  virtual ~ExchangeListener() = default;
  virtual void on_answer_head(int status, const http1::Headers& headers) = 0;
  virtual void on_answer_body(std::string_view piece) = 0;
  virtual void on_answer_complete() = 0;
  virtual void on_exchange_failure(ExchangeFailure failure) = 0;
};

/// See the head of this file.
class EngineConnection : public http1::MessageSink, public std::enable_shared_from_this<EngineConnection> {
 public:
  /// Tells whether an answer's head belongs to the request that was sent. Others are passed over.
  using Belongs = std::function<bool(int status, const http1::Headers&)>;
  /// An idle connection has died, or may not be used again.
  using UnusableHandler = std::function<void(EngineConnection*)>;

  /// Starts to connect; nullptr when no socket is to be had.
  static std::shared_ptr<EngineConnection> connect(EventLoop& loop, const Endpoint& endpoint,
                                                   UnusableHandler on_unusable);
  ~EngineConnection() override;

  /// Sends a request. The connection must be idle.
  void send(std::string_view head, std::string_view body, ExchangeListener* listener, Belongs belongs);
  /// Closes at once; the listener hears nothing more.
  void close();
  /// Stops or goes on reading the answer. What the back end writes meanwhile waits there.
  void set_reading(bool reading);
  bool connected() const { return connected_; }
  /// True when the other side's machine said that nothing listens there.
  bool refused() const { return refused_; }
  bool usable() const { return connection_ != nullptr && reusable_; }
  /// When an idle connection is closed by the back end, as far as it has said.
  TimePoint idle_until() const { return idle_until_; }

  bool on_head() override;
  bool on_body(std::string_view piece) override;
  void on_complete() override;

 private:
  explicit EngineConnection(EventLoop& loop);
  void read();
  void on_event(short events);
  /// `orderly`: the other side closed it; `silent`: its machine has not answered for too long.
  void on_end(bool orderly, bool silent);
  void fail(ExchangeFailure failure);
  void become_idle();

  EventLoop& loop_;
  bufferevent* connection_ = nullptr;
  http1::MessageParser parser_;
  ExchangeListener* listener_ = nullptr;
  Belongs belongs_;
  UnusableHandler on_unusable_;
  bool connected_ = false;
  bool refused_ = false;
  bool reusable_ = true;
  bool skipping_ = false;     ///< the answer being read belongs to another request
  bool answer_done_ = false;  ///< the answer is whole; told after the parser has returned
  TimePoint idle_until_{0};
};

}  // namespace stoat::dispatch
