/// The network between one router and the backends: a proxy whose connections a test can cut in different
/// ways.
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

/// Listens on a loopback port and never completes a new connection: SYN packets are dropped.
class UnansweringListener {
 public:
  UnansweringListener() : listener_(::socket(AF_INET, SOCK_STREAM, 0)) {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t length = sizeof(address);
    if (::bind(listener_, reinterpret_cast<sockaddr*>(&address), sizeof(address)) != 0 ||
        ::listen(listener_, 0) != 0 ||
        ::getsockname(listener_, reinterpret_cast<sockaddr*>(&address), &length) != 0) {
      throw std::runtime_error("cannot listen");
    }
    endpoint_ = {"127.0.0.1", ntohs(address.sin_port)};
    // The kernel drops SYN packets while the queue of established connections is full.
    constexpr size_t kQueuedConnections = 4;
    for (size_t number = 0; number < kQueuedConnections; ++number) {
      const int filler = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
      // The connection attempt may stay in progress indefinitely, which is intended.
      (void)::connect(filler, reinterpret_cast<sockaddr*>(&address), sizeof(address));
      fillers_.push_back(filler);
    }
  }
  ~UnansweringListener() {
    for (const int filler : fillers_) {
      ::close(filler);
    }
    ::close(listener_);
  }
  UnansweringListener(const UnansweringListener&) = delete;
  UnansweringListener& operator=(const UnansweringListener&) = delete;
  const Endpoint& endpoint() const { return endpoint_; }

 private:
  int listener_;
  std::vector<int> fillers_;
  Endpoint endpoint_;
};

/// How a link is cut.
enum class LinkState : uint8_t {
  kOpen,
  kSilent,      ///< open connections carry nothing, and new ones are not answered
  kReset,       ///< open connections are reset, and new ones are refused
  kNewRefused,  ///< open connections live on, and new ones are refused
};

/// Runs the proxy on a thread of its own, with one listener for each destination.
class CuttableLink {
 public:
  CuttableLink() : closed_port_{"127.0.0.1", free_port()}, thread_([this] { loop_.run(); }) {}
  ~CuttableLink() {
    loop_.post([this] { loop_.stop(); });
    thread_.join();
    while (!pairs_.empty()) {
      close(pairs_.begin()->first);
    }
    listeners_.clear();
  }
  CuttableLink(const CuttableLink&) = delete;
  CuttableLink& operator=(const CuttableLink&) = delete;

  /// Where a new connection to a destination leads in the current state.
  Endpoint entrance_of(const Endpoint& destination) {
    switch (state_.load()) {
      case LinkState::kSilent:
        return unanswering_.endpoint();
      case LinkState::kReset:
      case LinkState::kNewRefused:
        return closed_port_;
      case LinkState::kOpen:
        break;
    }
    return run_on(loop_, [this, destination] { return listener_for(destination).entrance; });
  }
  void set_state(LinkState state) {
    state_ = state;
    run_on(loop_, [this, state] {
      apply(state);
      return true;
    });
  }

 private:
  struct Listener {
    CuttableLink* link = nullptr;
    Endpoint destination;
    Endpoint entrance;
    evconnlistener* listener = nullptr;
    ~Listener() { evconnlistener_free(listener); }
  };

  Listener& listener_for(const Endpoint& destination) {
    std::unique_ptr<Listener>& known = listeners_[to_string(destination)];
    if (known == nullptr) {
      known = std::make_unique<Listener>();
      known->link = this;
      known->destination = destination;
      sockaddr_in address{};
      address.sin_family = AF_INET;
      address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
      known->listener =
          evconnlistener_new_bind(loop_.base(), &CuttableLink::on_accept, known.get(), LEV_OPT_CLOSE_ON_FREE,
                                  -1, reinterpret_cast<sockaddr*>(&address), sizeof(address));
      if (known->listener == nullptr) {
        throw std::runtime_error("cannot listen");
      }
      socklen_t length = sizeof(address);
      ::getsockname(evconnlistener_get_fd(known->listener), reinterpret_cast<sockaddr*>(&address), &length);
      known->entrance = {"127.0.0.1", ntohs(address.sin_port)};
    }
    return *known;
  }
  void apply(LinkState state) {
    if (state == LinkState::kReset) {
      while (!pairs_.empty()) {
        reset(pairs_.begin()->first);
      }
    }
    for (const auto& [end, other] : pairs_) {
      if (state == LinkState::kSilent) {
        bufferevent_disable(end, EV_READ);
      } else {
        bufferevent_enable(end, EV_READ);
      }
    }
  }
  static void on_accept(evconnlistener*, evutil_socket_t socket, sockaddr*, int, void* context) {
    auto* listener = static_cast<Listener*>(context);
    CuttableLink& link = *listener->link;
    http::disable_nagle(socket);
    bufferevent* incoming =
        bufferevent_socket_new(link.loop_.base(), socket, BEV_OPT_CLOSE_ON_FREE | BEV_OPT_DEFER_CALLBACKS);
    bufferevent* outgoing = http::start_connection(link.loop_.base(), listener->destination, kNoTimeout);
    if (outgoing == nullptr) {
      bufferevent_free(incoming);
      return;
    }
    link.pairs_[incoming] = outgoing;
    link.pairs_[outgoing] = incoming;
    for (bufferevent* end : {incoming, outgoing}) {
      bufferevent_setcb(end, &CuttableLink::on_readable, nullptr, &CuttableLink::on_event, &link);
      bufferevent_enable(end, link.state_ == LinkState::kSilent ? EV_WRITE : EV_READ | EV_WRITE);
    }
  }
  static void on_readable(bufferevent* from, void* context) {
    auto* link = static_cast<CuttableLink*>(context);
    if (link->state_ != LinkState::kSilent) {
      bufferevent_write_buffer(link->pairs_.at(from), bufferevent_get_input(from));
    }
  }
  static void on_event(bufferevent* end, short events, void* context) {
    auto* link = static_cast<CuttableLink*>(context);
    if ((events & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) != 0) {
      link->close(end);
    }
  }
  void reset(bufferevent* end) {
    const linger at_once{1, 0};
    for (bufferevent* closed : {end, pairs_.at(end)}) {
      ::setsockopt(bufferevent_getfd(closed), SOL_SOCKET, SO_LINGER, &at_once, sizeof(at_once));
    }
    close(end);
  }
  void close(bufferevent* end) {
    bufferevent* other = pairs_.at(end);
    for (bufferevent* closed : {end, other}) {
      pairs_.erase(closed);
      http::close_connection(closed);
    }
  }

  static constexpr Duration kNoTimeout = 60s;

  EventLoop loop_;
  std::atomic<LinkState> state_{LinkState::kOpen};
  UnansweringListener unanswering_;
  Endpoint closed_port_;
  std::map<std::string, std::unique_ptr<Listener>> listeners_;  ///< by destination
  std::map<bufferevent*, bufferevent*> pairs_;  ///< both ends of each connection, by each of them
  std::thread thread_;
};

}  // namespace stoat::test
