/// Event loop based on libevent: timers, signals, deferred calls, and calls from other threads.
#pragma once

#include <functional>
#include <memory>
#include <mutex>
#include <vector>

#include "src/common/time.h"

struct event_base;
struct event;

namespace stoat {

/// Owns an event_base. All methods except post() must be called from the loop's thread.
class EventLoop {
 public:
  EventLoop();
  ~EventLoop();
  EventLoop(const EventLoop&) = delete;
  EventLoop& operator=(const EventLoop&) = delete;

  event_base* base() const { return base_; }
  TimePoint now() const { return monotonic_now(); }

  /// Runs until stop().
  void run();
  void stop();

  /// Calls `action` every `period` until the loop is destroyed.
  void every(Duration period, std::function<void()> action);
  /// Calls `action` once after `delay`.
  void after(Duration delay, std::function<void()> action);
  /// Calls `action` on SIGTERM and SIGINT.
  void on_terminate(const std::function<void()>& action);
  /// Calls `action` on each delivery of a signal.
  void on_signal(int signal_number, std::function<void()> action);
  /// Calls `action` on the loop's thread. May be called from any thread.
  void post(std::function<void()> action);

 private:
  struct EventHandler;
  void run_posted();

  event_base* base_ = nullptr;
  std::vector<std::unique_ptr<EventHandler>> handlers_;
  std::mutex posted_mutex_;
  std::vector<std::function<void()>> posted_;
  event* posted_event_ = nullptr;
};

}  // namespace stoat
