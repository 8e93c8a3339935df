/// Time as microseconds. Decision code does not read a clock: the caller passes the time in, so that tests
/// and the simulator can pass their own.
#pragma once

#include <time.h>

#include <chrono>
#include <cstdint>

namespace stoat {

/// A length of time in microseconds.
using Duration = std::chrono::microseconds;

/// A point in time on a monotonic clock, in microseconds since an arbitrary start.
using TimePoint = std::chrono::microseconds;

using std::chrono_literals::operator""ms;
using std::chrono_literals::operator""s;
using std::chrono_literals::operator""us;

/// Converts a duration to whole milliseconds, rounded towards zero.
inline int64_t to_milliseconds(Duration span) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(span).count();
}

/// Converts a duration to fractional milliseconds.
inline double to_fractional_ms(Duration span) {
  return std::chrono::duration<double, std::milli>(span).count();
}

/// Converts fractional milliseconds to a duration.
inline Duration from_fractional_ms(double milliseconds) {
  constexpr double kMicrosecondsPerMillisecond = 1000;
  return Duration(static_cast<int64_t>(milliseconds * kMicrosecondsPerMillisecond));
}

/// Converts a duration to fractional seconds.
inline double to_seconds(Duration span) { return std::chrono::duration<double>(span).count(); }

/// Converts fractional seconds to a duration.
inline Duration from_seconds(double seconds) { return Duration(static_cast<int64_t>(seconds * 1e6)); }

/// Time since boot (CLOCK_BOOTTIME). It never steps, and it advances while the machine is suspended, so that
/// a lease that expires during a suspend is seen as expired. Timers of event loops use the steady clock,
/// which does not advance during a suspend, so these timers fire late. Only event loops and programs may call
/// this function.
inline TimePoint monotonic_now() {
  timespec now{};
  ::clock_gettime(CLOCK_BOOTTIME, &now);  // fails only if the kernel lacks this clock
  return std::chrono::duration_cast<TimePoint>(std::chrono::seconds(now.tv_sec) +
                                               std::chrono::nanoseconds(now.tv_nsec));
}

/// Wall-clock time in milliseconds since 1970. It may step. Only programs may call this function.
inline int64_t wall_clock_ms() {
  const auto since_epoch = std::chrono::system_clock::now().time_since_epoch();
  return std::chrono::duration_cast<std::chrono::milliseconds>(since_epoch).count();
}

}  // namespace stoat
