/// Waiting for a condition that other threads or processes bring about.
#pragma once

#include <chrono>
#include <thread>

namespace stoat::test {

/// Waits until the condition holds, evaluating it every few milliseconds. Returns false if it does not hold
/// within that time.
template <typename Condition>
bool eventually(const Condition& condition,
                std::chrono::steady_clock::duration within = std::chrono::seconds(10)) {
  constexpr std::chrono::milliseconds kPollInterval{10};
  const auto until = std::chrono::steady_clock::now() + within;
  while (!condition()) {
    if (std::chrono::steady_clock::now() >= until) {
      return false;
    }
    std::this_thread::sleep_for(kPollInterval);
  }
  return true;
}

}  // namespace stoat::test
