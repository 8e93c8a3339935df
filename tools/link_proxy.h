/// Links between processes on loopback that a test can cut in silence: bytes wait, nothing is closed, and
/// what waited arrives late when the link heals, as it does over a network that loses packets for a while.
#pragma once

#include <map>
#include <memory>
#include <set>
#include <string>
#include <thread>

#include "src/common/settings.h"
#include "src/http/event_loop.h"

struct bufferevent;
struct evconnlistener;

namespace stoat::tools {

/// Which direction of a link passes nothing.
enum class LinkCut : uint8_t {
  kNone,
  kToTarget,    ///< what is sent to the process does not arrive
  kFromTarget,  ///< what the process answers does not arrive
  kBoth,
};

/// Passes bytes between clients and targets on a thread of its own. All calls are safe from any one thread.
class LinkProxy {
 public:
  LinkProxy();
  ~LinkProxy();
  LinkProxy(const LinkProxy&) = delete;
  LinkProxy& operator=(const LinkProxy&) = delete;

  /// Listens at `listen` for clients of `target`. Throws std::runtime_error when the address can't be bound.
  void add_link(const std::string& name, const Endpoint& listen, const Endpoint& target);
  /// Cuts or heals a link, with the connections that it has. New connections of a cut link wait.
  void set_cut(const std::string& name, LinkCut cut);

 private:
  struct Link;
  /// One client's connection and the one to the target that belongs to it.
  struct Pair {
    Link* link = nullptr;
    bufferevent* client = nullptr;
    bufferevent* target = nullptr;  ///< nullptr: not dialled yet
  };
  struct Link {
    LinkProxy* owner = nullptr;
    Endpoint target;
    LinkCut cut = LinkCut::kNone;
    evconnlistener* listener = nullptr;
    std::set<Pair*> pairs;
  };
  static void on_readable(bufferevent* from, void* context);
  static void on_event(bufferevent* connection, short events, void* context);
  void accept(Link& link, int socket);
  void dial(Pair& pair);
  static void apply_cut(const Pair& pair);
  static void close_pair(Pair* pair);

  EventLoop loop_;
  std::map<std::string, std::unique_ptr<Link>> links_;
  std::thread thread_;
};

}  // namespace stoat::tools
