/// Time as the decision code sees it: a count of microseconds handed in by the caller.
/// Nothing below the programs reads a clock; tests and the simulator pass their own time.
#pragma once

#include <time.h>

#include <chrono>
#include <cstdint>

namespace stoat {

/// A span of time in microseconds.
using Duration = std::chrono::microseconds;

/// A moment on a monotonic clock, as microseconds since an arbitrary start.
using TimePoint = std::chrono::microseconds;

using std::chrono_literals::operator""ms;
using std::chrono_literals::operator""s;
using std::chrono_literals::operator""us;

/// Whole milliseconds of a span, rounded towards zero.
inline int64_t to_milliseconds(Duration span) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(span).count();
}

/// A span as fractional milliseconds.
inline double to_fractional_ms(Duration span) {
  return std::chrono::duration<double, std::milli>(span).count();
}

/// A span from fractional milliseconds.
inline Duration from_fractional_ms(double milliseconds) {
  constexpr double kMicrosecondsPerMillisecond = 1000;
  return Duration(static_cast<int64_t>(milliseconds * kMicrosecondsPerMillisecond));
}

/// A span as fractional seconds.
inline double to_seconds(Duration span) { return std::chrono::duration<double>(span).count(); }

/// A span from fractional seconds.
inline Duration from_seconds(double seconds) { return Duration(static_cast<int64_t>(seconds * 1e6)); }

/// The machine's clock since its boot, which never steps and goes on while the machine is suspended: a lease
/// that ended meanwhile has ended. Timers of event loops go by the steady clock, which stands still then, so
/// they come late. Only event loops and programs call it.
inline TimePoint monotonic_now() {
  timespec now{};
  ::clock_gettime(CLOCK_BOOTTIME, &now);  // fails only for a clock that the kernel does not have
  return std::chrono::duration_cast<TimePoint>(std::chrono::seconds(now.tv_sec) +
                                               std::chrono::nanoseconds(now.tv_nsec));
}

/// The wall clock, in milliseconds since 1970. It may step; only programs call it.
inline int64_t wall_clock_ms() {
  const auto since_epoch = std::chrono::system_clock::now().time_since_epoch();
  return std::chrono::duration_cast<std::chrono::milliseconds>(since_epoch).count();
}

}  // namespace stoat
