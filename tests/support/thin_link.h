/// A slow link in front of one process: a proxy for its outgoing connections that limits what all of them
/// together receive.
#pragma once

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include <atomic>
#include <map>
#include <memory>
#include <stdexcept>
#include <string>
#include <thread>
#include <vector>

#include "src/common/settings.h"
#include "src/http/event_loop.h"
#include "src/http/socket_options.h"
#include "tests/support/small_fleet.h"

namespace stoat::test {

/// Runs the proxy on a thread of its own, with one listener for each destination.
class ThinLink {
 public:
  /// Starts listening. `bytes_per_second` is shared by all connections.
  ThinLink(const std::vector<Endpoint>& destinations, size_t bytes_per_second) {
    const timeval slice{0, 10000};
    constexpr size_t kSlicesPerSecond = 100;
    const size_t slice_bytes = bytes_per_second / kSlicesPerSecond;
    limit_ = ev_token_bucket_cfg_new(slice_bytes, slice_bytes, EV_RATE_LIMIT_MAX, EV_RATE_LIMIT_MAX, &slice);
    group_ = bufferevent_rate_limit_group_new(loop_.base(), limit_);
    for (const Endpoint& destination : destinations) {
      listeners_.push_back(std::make_unique<Listener>(*this, destination));
    }
    thread_ = std::thread([this] { loop_.run(); });
  }
  ~ThinLink() {
    loop_.post([this] { loop_.stop(); });
    thread_.join();
    while (!pairs_.empty()) {
      close(pairs_.begin()->first);
    }
    listeners_.clear();
    bufferevent_rate_limit_group_free(group_);
    ev_token_bucket_cfg_free(limit_);
  }
  ThinLink(const ThinLink&) = delete;
  ThinLink& operator=(const ThinLink&) = delete;

  /// The proxy's endpoint for a destination; the destination itself if the proxy does not know it.
  Endpoint entrance_of(const Endpoint& destination) const {
    for (const auto& listener : listeners_) {
      if (listener->destination == destination) {
        return listener->entrance;
      }
    }
    return destination;
  }
  /// Bytes that went through towards the process.
  uint64_t received_bytes() const { return received_bytes_; }

 private:
  struct Listener {
    Listener(ThinLink& owner, const Endpoint& to) : link(owner), destination(to) {
      entrance = {"127.0.0.1", free_port()};
      sockaddr_storage address{};
      int length = sizeof(address);
      evutil_parse_sockaddr_port(to_string(entrance).c_str(), reinterpret_cast<sockaddr*>(&address), &length);
      listener = evconnlistener_new_bind(owner.loop_.base(), &ThinLink::on_accept, this,
                                         LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE, -1,
                                         reinterpret_cast<sockaddr*>(&address), length);
      if (listener == nullptr) {
        throw std::runtime_error("cannot listen on " + to_string(entrance));
      }
    }
    ~Listener() { evconnlistener_free(listener); }
    ThinLink& link;
    Endpoint destination;
    Endpoint entrance;
    evconnlistener* listener = nullptr;
  };

  /// Receive buffer of the connections to destinations, in bytes: what is under way on the link.
  static constexpr int kReceiveBufferBytes = 32 << 10;

  static void on_accept(evconnlistener*, evutil_socket_t socket, sockaddr*, int, void* context) {
    auto* listener = static_cast<Listener*>(context);
    ThinLink& link = listener->link;
    sockaddr_storage address{};
    int length = sizeof(address);
    evutil_parse_sockaddr_port(to_string(listener->destination).c_str(),
                               reinterpret_cast<sockaddr*>(&address), &length);
    const int outgoing_socket = ::socket(AF_INET, SOCK_STREAM, 0);
    ::setsockopt(outgoing_socket, SOL_SOCKET, SO_RCVBUF, &kReceiveBufferBytes, sizeof(kReceiveBufferBytes));
    evutil_make_socket_nonblocking(outgoing_socket);
    http::disable_nagle(socket);
    http::disable_nagle(outgoing_socket);
    bufferevent* incoming = bufferevent_socket_new(link.loop_.base(), socket, BEV_OPT_CLOSE_ON_FREE);
    bufferevent* outgoing = bufferevent_socket_new(link.loop_.base(), outgoing_socket, BEV_OPT_CLOSE_ON_FREE);
    bufferevent_add_to_rate_limit_group(outgoing, link.group_);
    link.pairs_[incoming] = outgoing;
    link.pairs_[outgoing] = incoming;
    for (bufferevent* end : {incoming, outgoing}) {
      bufferevent_setcb(end, &ThinLink::on_readable, nullptr, &ThinLink::on_event, &link);
      bufferevent_enable(end, EV_READ | EV_WRITE);
    }
    link.outgoing_[outgoing] = true;
    bufferevent_socket_connect(outgoing, reinterpret_cast<sockaddr*>(&address), length);
  }
  static void on_readable(bufferevent* from, void* context) {
    auto* link = static_cast<ThinLink*>(context);
    const auto to = link->pairs_.find(from);
    evbuffer* input = bufferevent_get_input(from);
    if (link->outgoing_.count(from) > 0) {
      link->received_bytes_ += evbuffer_get_length(input);
    }
    bufferevent_write_buffer(to->second, input);
  }
  static void on_event(bufferevent* end, short events, void* context) {
    if ((events & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) != 0) {
      static_cast<ThinLink*>(context)->close(end);
    }
  }
  void close(bufferevent* end) {
    bufferevent* other = pairs_.at(end);
    for (bufferevent* closed : {end, other}) {
      if (outgoing_.erase(closed) > 0) {
        bufferevent_remove_from_rate_limit_group(closed);
      }
      pairs_.erase(closed);
      bufferevent_free(closed);
    }
  }

  EventLoop loop_;
  ev_token_bucket_cfg* limit_ = nullptr;
  bufferevent_rate_limit_group* group_ = nullptr;
  std::vector<std::unique_ptr<Listener>> listeners_;
  std::map<bufferevent*, bufferevent*> pairs_;  ///< both ends of each connection, by each of them
  std::map<bufferevent*, bool> outgoing_;       ///< the ends towards destinations
  std::atomic<uint64_t> received_bytes_{0};
  std::thread thread_;
};

}  // namespace stoat::test
