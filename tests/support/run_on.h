/// Calls on the threads of event loops.
#pragma once

#include <future>
#include <memory>
#include <utility>

#include "src/http/event_loop.h"

namespace stoat::test {

/// Runs `action` on the thread of an event loop, waits for it, and returns its result.
template <typename Action>
auto run_on(EventLoop& loop, Action action) {
  auto task = std::make_shared<std::packaged_task<decltype(action())()>>(std::move(action));
  auto result = task->get_future();
  loop.post([task] { (*task)(); });
  return result.get();
}

}  // namespace stoat::test
