/// Framed connections between the system's processes: a 4-byte big-endian length, then one MessagePack
/// message.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "src/common/settings.h"
#include "src/http/event_loop.h"
#include "src/wire/messages.h"
#include "src/wire/traffic.h"

struct bufferevent;
struct evconnlistener;

namespace stoat::wire {

/// The largest frame that is accepted, in bytes. A longer one closes the connection.
inline constexpr uint32_t kMaxFrameBytes = 64U << 20U;

/// The most that may wait to be written on a connection, in bytes, before it counts as cut off and is closed.
/// A message that finds less waiting is still taken whole.
inline constexpr size_t kMaxUnsentBytes = 16U << 20U;

/// How long what was sent may go unacknowledged before a connection counts as cut off and is closed.
inline constexpr Duration kSilenceLimit = 1500ms;

/// A message as it is sent, and what its bytes are for.
struct Frame {
  std::string bytes;
  PurposeBytes purposes;
  bool empty() const { return bytes.empty(); }
};

/// One frame for a message.
Frame make_frame(const Message& message);

/// One connection. Owned through shared_ptr; closing is final.
class Channel : public std::enable_shared_from_this<Channel> {
 public:
  using MessageHandler = std::function<void(const std::shared_ptr<Channel>&, Message)>;
  using ClosedHandler = std::function<void(const std::shared_ptr<Channel>&)>;

  /// Takes over a connected or connecting bufferevent.
  static std::shared_ptr<Channel> adopt(bufferevent* connection, MessageHandler on_message,
                                        ClosedHandler on_closed);
  /// Starts to connect; messages sent meanwhile are queued.
  static std::shared_ptr<Channel> connect(EventLoop& loop, const Endpoint& endpoint,
                                          MessageHandler on_message, ClosedHandler on_closed);
  ~Channel();

  /// Queues a message. Does nothing on a closed channel. One that finds more than kMaxUnsentBytes waiting is
  /// dropped, and the channel is closed soon after, with its closed handler.
  void send(const Message& message);
  /// The same with a frame that make_frame() has made, which may go to many channels.
  void send_frame(const Frame& frame);
  /// Counts what is sent from now on, as sent over this distance.
  void set_meter(std::shared_ptr<TrafficMeter> meter, topology::Distance distance) {
    meter_ = std::move(meter);
    distance_ = distance;
  }
  bool metered() const { return meter_ != nullptr; }
  /// Closes without calling the closed handler.
  void close();
  bool open() const { return connection_ != nullptr; }
  uint64_t id() const { return id_; }
  uint64_t sent_bytes() const { return sent_bytes_; }
  /// Bytes that wait to be written, because the other side does not take them or the connection is not made
  /// yet.
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
  bool overflowed_ = false;  ///< more was to be sent than kMaxUnsentBytes; about to be closed
  std::shared_ptr<TrafficMeter> meter_;
  topology::Distance distance_ = topology::Distance::kSameZone;
  std::shared_ptr<Channel> self_;
  MessageHandler on_message_;
  ClosedHandler on_closed_;
};

/// Closes the channels of a map, for owners that go away.
template <typename Key>
void close_all(const std::map<Key, std::shared_ptr<Channel>>& channels) {
  for (const auto& [key, channel] : channels) {
    if (channel != nullptr) {
      channel->close();
    }
  }
}

/// Listens for channels.
class ChannelServer {
 public:
  /// Throws std::runtime_error when the address can't be bound.
  ChannelServer(EventLoop& loop, const Endpoint& endpoint, Channel::MessageHandler on_message,
                Channel::ClosedHandler on_closed);
  ~ChannelServer();
  ChannelServer(const ChannelServer&) = delete;
  ChannelServer& operator=(const ChannelServer&) = delete;
  /// Stops taking new connections.
  void stop_listening();

 private:
  void keep(const std::shared_ptr<Channel>& channel);

  EventLoop& loop_;
  evconnlistener* listener_ = nullptr;
  std::vector<std::weak_ptr<Channel>> accepted_;  ///< closed with the server
  Channel::MessageHandler on_message_;
  Channel::ClosedHandler on_closed_;
};

}  // namespace stoat::wire
