#include "tools/link_proxy.h"

#include <arpa/inet.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>
#include <netinet/in.h>

#include <future>
#include <stdexcept>

#include "src/http/socket_options.h"

namespace stoat::tools {

namespace {

sockaddr_in socket_address(const Endpoint& endpoint) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(endpoint.port);
  inet_pton(AF_INET, endpoint.address.c_str(), &address.sin_addr);
  return address;
}

bool passes_to_target(LinkCut cut) { return cut == LinkCut::kNone || cut == LinkCut::kFromTarget; }
bool passes_from_target(LinkCut cut) { return cut == LinkCut::kNone || cut == LinkCut::kToTarget; }

void set_reading(bufferevent* connection, bool reads) {
  if (reads) {
    bufferevent_enable(connection, EV_READ);
  } else {
    bufferevent_disable(connection, EV_READ);
  }
}

}  // namespace

LinkProxy::LinkProxy() : thread_([this] { loop_.run(); }) {}

LinkProxy::~LinkProxy() {
  loop_.post([this] { loop_.stop(); });
  thread_.join();
  for (auto& [name, link] : links_) {
    evconnlistener_free(link->listener);
    while (!link->pairs.empty()) {
      close_pair(*link->pairs.begin());
    }
  }
}

void LinkProxy::add_link(const std::string& name, const Endpoint& listen, const Endpoint& target) {
  std::promise<bool> bound;
  loop_.post([&] {
    auto link = std::make_unique<Link>();
    link->owner = this;
    link->target = target;
    const sockaddr_in address = socket_address(listen);
    const auto on_accept = [](evconnlistener*, evutil_socket_t socket, sockaddr*, int, void* context) {
      Link* accepted_by = static_cast<Link*>(context);
      accepted_by->owner->accept(*accepted_by, socket);
    };
    link->listener = evconnlistener_new_bind(loop_.base(), on_accept, link.get(),
                                             LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE, -1,
                                             reinterpret_cast<const sockaddr*>(&address), sizeof(address));
    const bool good = link->listener != nullptr;
    if (good) {
      links_[name] = std::move(link);
    }
    bound.set_value(good);
  });
  if (!bound.get_future().get()) {
    throw std::runtime_error("cannot listen on " + to_string(listen));
  }
}

void LinkProxy::set_cut(const std::string& name, LinkCut cut) {
  std::promise<void> done;
  loop_.post([&] {
    Link& link = *links_.at(name);
    link.cut = cut;
    for (Pair* pair : std::set<Pair*>(link.pairs)) {
      if (pair->target == nullptr && cut == LinkCut::kNone) {
        dial(*pair);
      }
      apply_cut(*pair);
    }
    done.set_value();
  });
  done.get_future().get();
}

void LinkProxy::accept(Link& link, int socket) {
  auto* pair = new Pair();
  pair->link = &link;
  http::send_without_delay(socket);
  pair->client =
      bufferevent_socket_new(loop_.base(), socket, BEV_OPT_CLOSE_ON_FREE | BEV_OPT_DEFER_CALLBACKS);
  bufferevent_setcb(pair->client, &LinkProxy::on_readable, nullptr, &LinkProxy::on_event, pair);
  link.pairs.insert(pair);
  if (link.cut == LinkCut::kNone) {
    dial(*pair);
  }
  bufferevent_enable(pair->client, EV_WRITE);
  apply_cut(*pair);
}

void LinkProxy::dial(Pair& pair) {
  const sockaddr_in address = socket_address(pair.link->target);
  pair.target = bufferevent_socket_new(loop_.base(), -1, BEV_OPT_CLOSE_ON_FREE | BEV_OPT_DEFER_CALLBACKS);
  bufferevent_setcb(pair.target, &LinkProxy::on_readable, nullptr, &LinkProxy::on_event, &pair);
  bufferevent_enable(pair.target, EV_WRITE);
  bufferevent_socket_connect(pair.target, reinterpret_cast<const sockaddr*>(&address), sizeof(address));
}

void LinkProxy::apply_cut(const Pair& pair) {
  const LinkCut cut = pair.link->cut;
  set_reading(pair.client, pair.target != nullptr && passes_to_target(cut));
  if (pair.target != nullptr) {
    set_reading(pair.target, passes_from_target(cut));
  }
}

void LinkProxy::on_readable(bufferevent* from, void* context) {
  const Pair& pair = *static_cast<Pair*>(context);
  bufferevent* const to = from == pair.client ? pair.target : pair.client;
  bufferevent_write_buffer(to, bufferevent_get_input(from));
}

void LinkProxy::on_event(bufferevent* connection, short events, void* context) {
  auto* pair = static_cast<Pair*>(context);
  if ((events & BEV_EVENT_CONNECTED) != 0) {
    http::send_without_delay(bufferevent_getfd(connection));
    return;
  }
  if ((events & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) == 0) {
    return;
  }
  bufferevent* const other = connection == pair->client ? pair->target : pair->client;
  if (other == nullptr || evbuffer_get_length(bufferevent_get_output(other)) == 0) {
    close_pair(pair);
    return;
  }
  // The other side first gets what was sent before the end.
  bufferevent_disable(other, EV_READ);
  const auto on_drained = [](bufferevent*, void* drained) { close_pair(static_cast<Pair*>(drained)); };
  bufferevent_setcb(other, nullptr, on_drained, &LinkProxy::on_event, pair);
}

void LinkProxy::close_pair(Pair* pair) {
  pair->link->pairs.erase(pair);
  bufferevent_free(pair->client);
  if (pair->target != nullptr) {
    bufferevent_free(pair->target);
  }
  delete pair;
}

}  // namespace stoat::tools
