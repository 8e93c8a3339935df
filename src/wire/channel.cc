#include "src/wire/channel.h"

#include <arpa/inet.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>
#include <netinet/in.h>

#include <cstring>
#include <stdexcept>

#include "src/http/socket_options.h"

namespace stoat::wire {

namespace {

constexpr size_t kLengthBytes = 4;
/// A connection that can't be established, or accepts none of the queued data, for this long is closed.
constexpr timeval kWriteTimeout{10, 0};

uint64_t next_channel_id() {
  static uint64_t last = 0;
  return ++last;
}

}  // namespace

Frame make_frame(const Message& message) {
  const std::string body = encode(message);
  const uint32_t length = htonl(static_cast<uint32_t>(body.size()));
  Frame frame;
  frame.bytes = std::string(reinterpret_cast<const char*>(&length), kLengthBytes) + body;
  frame.purposes = bytes_by_purpose(message, frame.bytes.size());
  return frame;
}

std::shared_ptr<Channel> Channel::adopt(bufferevent* connection, MessageHandler on_message,
                                        ClosedHandler on_closed) {
  std::shared_ptr<Channel> channel(new Channel());
  channel->connection_ = connection;
  channel->id_ = next_channel_id();
  channel->self_ = channel;
  channel->on_message_ = std::move(on_message);
  channel->on_closed_ = std::move(on_closed);
  bufferevent_setcb(connection, &Channel::on_readable, nullptr, &Channel::on_event, channel.get());
  bufferevent_set_timeouts(connection, nullptr, &kWriteTimeout);
  bufferevent_enable(connection, EV_READ | EV_WRITE);
  return channel;
}

std::shared_ptr<Channel> Channel::connect(EventLoop& loop, const Endpoint& endpoint,
                                          MessageHandler on_message, ClosedHandler on_closed) {
  bufferevent* connection = http::start_connection(loop.base(), endpoint, kUnacknowledgedTimeout);
  if (connection == nullptr) {
    // Behave as if the peer had refused the connection: return a channel whose closed handler is called from
    // the loop.
    connection = bufferevent_socket_new(loop.base(), -1, BEV_OPT_CLOSE_ON_FREE | BEV_OPT_DEFER_CALLBACKS);
    auto channel = adopt(connection, std::move(on_message), std::move(on_closed));
    bufferevent_trigger_event(connection, BEV_EVENT_ERROR, BEV_TRIG_DEFER_CALLBACKS);
    return channel;
  }
  return adopt(connection, std::move(on_message), std::move(on_closed));
}

Channel::~Channel() {
  if (connection_ != nullptr) {
    http::close_connection(connection_);
  }
}

void Channel::send(const Message& message) { send_frame(make_frame(message)); }

void Channel::send_frame(const Frame& frame) {
  if (connection_ == nullptr || overflowed_) {
    return;
  }
  if (unsent_bytes() > kMaxUnsentBytes) {
    // Close from the loop rather than here, because the caller of send_frame() does not expect the channel to
    // be closed during the call.
    overflowed_ = true;
    bufferevent_trigger_event(connection_, BEV_EVENT_ERROR, BEV_TRIG_DEFER_CALLBACKS);
    return;
  }
  sent_bytes_ += frame.bytes.size();
  if (meter_ != nullptr) {
    meter_->count(frame.purposes, distance_);
  }
  bufferevent_write(connection_, frame.bytes.data(), frame.bytes.size());
}

size_t Channel::unsent_bytes() const {
  return connection_ == nullptr ? 0 : evbuffer_get_length(bufferevent_get_output(connection_));
}

std::string Channel::peer_host() const {
  sockaddr_storage address{};
  socklen_t length = sizeof(address);
  char text[INET6_ADDRSTRLEN] = "";
  const evutil_socket_t socket = connection_ == nullptr ? -1 : bufferevent_getfd(connection_);
  if (socket < 0 || getpeername(socket, reinterpret_cast<sockaddr*>(&address), &length) != 0) {
    return "";
  }
  const void* host = address.ss_family == AF_INET6
                         ? static_cast<const void*>(&reinterpret_cast<sockaddr_in6*>(&address)->sin6_addr)
                         : static_cast<const void*>(&reinterpret_cast<sockaddr_in*>(&address)->sin_addr);
  inet_ntop(address.ss_family, host, text, sizeof(text));
  return text;
}

void Channel::close() {
  if (connection_ == nullptr) {
    return;
  }
  http::close_connection(connection_);
  connection_ = nullptr;
  on_message_ = nullptr;
  on_closed_ = nullptr;
  self_.reset();
}

void Channel::fail() {
  if (connection_ == nullptr) {
    return;
  }
  const std::shared_ptr<Channel> this_channel = shared_from_this();
  const ClosedHandler handler = on_closed_;
  close();
  if (handler) {
    handler(this_channel);
  }
}

void Channel::read_frames() {
  const std::shared_ptr<Channel> this_channel = shared_from_this();
  evbuffer* input = bufferevent_get_input(connection_);
  while (connection_ != nullptr && evbuffer_get_length(input) >= kLengthBytes) {
    uint32_t length = 0;
    evbuffer_copyout(input, &length, kLengthBytes);
    length = ntohl(length);
    if (length > kMaxFrameBytes) {
      fail();
      return;
    }
    if (evbuffer_get_length(input) < kLengthBytes + length) {
      return;
    }
    evbuffer_drain(input, kLengthBytes);
    std::string body(length, '\0');
    evbuffer_remove(input, body.data(), length);
    auto message = decode<Message>(body);
    if (!message) {
      const std::optional<uint32_t> tag = tag_of(body);
      on_unreadable_(*this, {tag, body.size(), message.error().message});
      if (tag && !Message::knows(*tag)) {
        continue;  // of a build that has more types
      }
      fail();
      return;
    }
    const MessageHandler handler = on_message_;
    handler(this_channel, std::move(*message));
  }
}

void Channel::on_readable(bufferevent*, void* context) { static_cast<Channel*>(context)->read_frames(); }

void Channel::on_event(bufferevent* connection, short events, void* context) {
  if ((events & BEV_EVENT_CONNECTED) != 0) {
    http::disable_nagle(bufferevent_getfd(connection));
    return;
  }
  if ((events & (BEV_EVENT_EOF | BEV_EVENT_ERROR | BEV_EVENT_TIMEOUT)) != 0) {
    static_cast<Channel*>(context)->fail();
  }
}

ChannelServer::ChannelServer(EventLoop& loop, const Endpoint& endpoint, Channel::MessageHandler on_message,
                             Channel::ClosedHandler on_closed)
    : loop_(loop), on_message_(std::move(on_message)), on_closed_(std::move(on_closed)) {
  sockaddr_storage storage{};
  int length = sizeof(storage);
  const std::string text = to_string(endpoint);
  if (evutil_parse_sockaddr_port(text.c_str(), reinterpret_cast<sockaddr*>(&storage), &length) != 0) {
    throw std::runtime_error("malformed address " + text);
  }
  const auto on_accept = [](evconnlistener*, evutil_socket_t socket, sockaddr*, int, void* context) {
    auto* server = static_cast<ChannelServer*>(context);
    http::disable_nagle(socket);
    http::set_unacknowledged_timeout(socket, kUnacknowledgedTimeout);
    bufferevent* connection =
        bufferevent_socket_new(server->loop_.base(), socket, BEV_OPT_CLOSE_ON_FREE | BEV_OPT_DEFER_CALLBACKS);
    const auto channel = Channel::adopt(connection, server->on_message_, server->on_closed_);
    channel->set_unreadable_handler(server->on_unreadable_);
    server->track(channel);
  };
  listener_ = evconnlistener_new_bind(loop.base(), on_accept, this, LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE,
                                      -1, reinterpret_cast<sockaddr*>(&storage), length);
  if (listener_ == nullptr) {
    throw std::runtime_error("cannot listen on " + text + ": " + std::strerror(errno));
  }
}

ChannelServer::~ChannelServer() {
  stop_listening();
  for (const std::weak_ptr<Channel>& accepted : accepted_) {
    if (const auto channel = accepted.lock()) {
      channel->close();
    }
  }
}

void ChannelServer::track(const std::shared_ptr<Channel>& channel) {
  std::erase_if(accepted_, [](const std::weak_ptr<Channel>& accepted) { return accepted.expired(); });
  accepted_.push_back(channel);
}

void ChannelServer::stop_listening() {
  if (listener_ != nullptr) {
    evconnlistener_free(listener_);
    listener_ = nullptr;
  }
}

}  // namespace stoat::wire
