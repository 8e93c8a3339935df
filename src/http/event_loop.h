/// One libevent loop a process: timers, signals, deferred calls, and calls from other threads.
#pragma once

#include <functional>
#include <memory>
#include <mutex>
#include <vector>

#include "src/common/time.h"

struct event_base;
struct event;

namespace stoat {

/// Owns an event_base. All calls but post() come from the loop's own thread.
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

  /// Calls `action` every `period` for as long as the loop lives.
  void every(Duration period, std::function<void()> action);
  /// Calls `action` once after `delay`.
  void after(Duration delay, std::function<void()> action);
  /// Calls `action` on SIGTERM and SIGINT.
  void on_terminate(const std::function<void()>& action);
  /// Calls `action` on a signal.
  void on_signal(int signal_number, std::function<void()> action);
  /// From any thread: calls `action` on the loop's thread.
  void post(std::function<void()> action);

 private:
  struct Timer;
  void run_posted();

  event_base* base_ = nullptr;
  std::vector<std::unique_ptr<Timer>> timers_;
  std::mutex posted_mutex_;
  std::vector<std::function<void()>> posted_;
  event* posted_event_ = nullptr;
};

}  // namespace stoat
