#include "src/http/event_loop.h"

#include <event2/event.h>
#include <event2/thread.h>

#include <csignal>
#include <stdexcept>

namespace stoat {

namespace {

timeval to_timeval(Duration span) {
  constexpr int64_t kMicrosecondsPerSecond = 1000000;
  return {span.count() / kMicrosecondsPerSecond, span.count() % kMicrosecondsPerSecond};
}

}  // namespace

/// A repeating timer or a signal handler, which lives as long as the loop.
struct EventLoop::EventHandler {
  std::function<void()> action;
  event* handle = nullptr;
  ~EventHandler() { event_free(handle); }
};

EventLoop::EventLoop() {
  static const int threads_ready = evthread_use_pthreads();
  std::signal(SIGPIPE, SIG_IGN);
  base_ = event_base_new();
  if (base_ == nullptr || threads_ready != 0) {
    throw std::runtime_error("cannot create the event loop");
  }
  const auto on_posted = [](evutil_socket_t, short, void* context) {
    static_cast<EventLoop*>(context)->run_posted();
  };
  posted_event_ = event_new(base_, -1, EV_PERSIST, on_posted, this);
  event_add(posted_event_, nullptr);
}

EventLoop::~EventLoop() {
  handlers_.clear();
  event_free(posted_event_);
  event_base_free(base_);
}

void EventLoop::run() { event_base_loop(base_, EVLOOP_NO_EXIT_ON_EMPTY); }

void EventLoop::stop() { event_base_loopbreak(base_); }

void EventLoop::every(Duration period, std::function<void()> action) {
  auto handler = std::make_unique<EventHandler>();
  handler->action = std::move(action);
  const auto on_timer = [](evutil_socket_t, short, void* context) {
    static_cast<EventHandler*>(context)->action();
  };
  handler->handle = event_new(base_, -1, EV_PERSIST, on_timer, handler.get());
  const timeval interval = to_timeval(period);
  event_add(handler->handle, &interval);
  handlers_.push_back(std::move(handler));
}

void EventLoop::after(Duration delay, std::function<void()> action) {
  auto owned_action = std::make_unique<std::function<void()>>(std::move(action));
  const auto on_timer = [](evutil_socket_t, short, void* context) {
    const std::unique_ptr<std::function<void()>> owned(static_cast<std::function<void()>*>(context));
    (*owned)();
  };
  const timeval interval = to_timeval(delay);
  event_base_once(base_, -1, EV_TIMEOUT, on_timer, owned_action.release(), &interval);
}

void EventLoop::on_terminate(const std::function<void()>& action) {
  on_signal(SIGTERM, action);
  on_signal(SIGINT, action);
}

void EventLoop::on_signal(int signal_number, std::function<void()> action) {
  auto handler = std::make_unique<EventHandler>();
  handler->action = std::move(action);
  const auto on_signal = [](evutil_socket_t, short, void* context) {
    static_cast<EventHandler*>(context)->action();
  };
  handler->handle = event_new(base_, signal_number, EV_SIGNAL | EV_PERSIST, on_signal, handler.get());
  event_add(handler->handle, nullptr);
  handlers_.push_back(std::move(handler));
}

void EventLoop::post(std::function<void()> action) {
  {
    const std::lock_guard<std::mutex> lock(posted_mutex_);
    posted_.push_back(std::move(action));
  }
  event_active(posted_event_, EV_READ, 0);
}

void EventLoop::run_posted() {
  std::vector<std::function<void()>> ready;
  {
    const std::lock_guard<std::mutex> lock(posted_mutex_);
    ready.swap(posted_);
  }
  for (const auto& action : ready) {
    action();
  }
}

}  // namespace stoat
