/// Framed connections between the processes of the system. A frame is a 4-byte big-endian length followed by
/// one MessagePack message.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "src/common/settings.h"
#include "src/http/event_loop.h"
#include "src/wire/messages.h"
#include "src/wire/traffic.h"

struct bufferevent;
struct evconnlistener;

namespace stoat::wire {

/// Largest accepted message in bytes, without its length prefix. A longer one closes the connection.
inline constexpr uint32_t kMaxFrameBytes = 64U << 20U;

/// Limit in bytes for data queued on a connection. Sending while more than this is queued closes the
/// connection. The message that takes the queue above the limit is still queued as a whole.
inline constexpr size_t kMaxUnsentBytes = 16U << 20U;

/// How long sent data may stay unacknowledged before the connection is closed.
inline constexpr Duration kUnacknowledgedTimeout = 1500ms;

/// An encoded message, and its bytes by purpose.
struct Frame {
  std::string bytes;
  PurposeBytes purposes;
  bool empty() const { return bytes.empty(); }
};

/// Encodes a message as a frame.
Frame make_frame(const Message& message);

/// A received message that could not be decoded.
struct UnreadableMessage {
  std::optional<uint32_t> tag;  ///< of the message's type; nullopt: the bytes are no tagged message
  size_t bytes = 0;
  std::string error;
};

/// One connection. It skips messages of unknown type, and closes on other unreadable ones. A channel keeps
/// itself alive until it is closed. A closed channel can't be reopened.
class Channel : public std::enable_shared_from_this<Channel> {
 public:
  using MessageHandler = std::function<void(const std::shared_ptr<Channel>&, Message)>;
  using ClosedHandler = std::function<void(const std::shared_ptr<Channel>&)>;
  /// Called for each message that could not be decoded.
  using UnreadableHandler = std::function<void(const Channel&, const UnreadableMessage&)>;

  /// Takes ownership of a connected or connecting bufferevent.
  static std::shared_ptr<Channel> adopt(bufferevent* connection, MessageHandler on_message,
                                        ClosedHandler on_closed);
  /// Starts connecting. Messages sent before the connection is established are queued.
  static std::shared_ptr<Channel> connect(EventLoop& loop, const Endpoint& endpoint,
                                          MessageHandler on_message, ClosedHandler on_closed);
  ~Channel();

  /// Queues a message. Does nothing on a closed channel. If more than kMaxUnsentBytes are already queued,
  /// drops the message; the event loop then closes the channel and calls its closed handler.
  void send(const Message& message);
  /// Like send(), for a frame from make_frame(). A frame may be sent on many channels.
  void send_frame(const Frame& frame);
  /// Sets the meter that counts all data sent from now on, as sent over `distance`.
  void set_meter(std::shared_ptr<TrafficMeter> meter, topology::Distance distance) {
    meter_ = std::move(meter);
    distance_ = distance;
  }
  bool metered() const { return meter_ != nullptr; }
  void set_unreadable_handler(UnreadableHandler handler) { on_unreadable_ = std::move(handler); }
  /// Address of the other side without its port; empty if the channel is not connected.
  std::string peer_host() const;
  /// Closes without calling the closed handler.
  void close();
  bool open() const { return connection_ != nullptr; }
  uint64_t id() const { return id_; }
  uint64_t sent_bytes() const { return sent_bytes_; }
  /// Bytes queued because the peer does not read fast enough or the connection is not established yet.
  size_t unsent_bytes() const;

 private:
  Channel() = default;
  static void on_readable(bufferevent* connection, void* context);
  static void on_event(bufferevent* connection, short events, void* context);
  void read_frames();
  void fail();

  bufferevent* connection_ = nullptr;
  uint64_t id_ = 0;
  uint64_t sent_bytes_ = 0;
  bool overflowed_ = false;  ///< kMaxUnsentBytes was exceeded; the loop is about to close the channel
  std::shared_ptr<TrafficMeter> meter_;
  topology::Distance distance_ = topology::Distance::kSameZone;
  std::shared_ptr<Channel> self_;  ///< keeps the channel alive until it is closed
  MessageHandler on_message_;
  ClosedHandler on_closed_;
  UnreadableHandler on_unreadable_ = [](const Channel&, const UnreadableMessage&) {};
};

/// Closes the channels of a map without calling their closed handlers.
template <typename Key>
void close_all(const std::map<Key, std::shared_ptr<Channel>>& channels) {
  for (const auto& [key, channel] : channels) {
    if (channel != nullptr) {
      channel->close();
    }
  }
}

/// Accepts channels on one address.
class ChannelServer {
 public:
  /// Throws std::runtime_error if the address is malformed or can't be bound.
  ChannelServer(EventLoop& loop, const Endpoint& endpoint, Channel::MessageHandler on_message,
                Channel::ClosedHandler on_closed);
  ~ChannelServer();
  ChannelServer(const ChannelServer&) = delete;
  ChannelServer& operator=(const ChannelServer&) = delete;
  /// Sets the handler of the channels that are accepted from now on.
  void set_unreadable_handler(Channel::UnreadableHandler handler) { on_unreadable_ = std::move(handler); }
  /// Stops accepting new connections.
  void stop_listening();

 private:
  /// Records an accepted channel, so that the destructor can close it.
  void track(const std::shared_ptr<Channel>& channel);

  EventLoop& loop_;
  evconnlistener* listener_ = nullptr;
  std::vector<std::weak_ptr<Channel>> accepted_;  ///< closed by the destructor
  Channel::MessageHandler on_message_;
  Channel::ClosedHandler on_closed_;
  Channel::UnreadableHandler on_unreadable_ = [](const Channel&, const UnreadableMessage&) {};
};

}  // namespace stoat::wire
