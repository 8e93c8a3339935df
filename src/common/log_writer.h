/// Writes log lines to a descriptor without ever blocking on a slow reader. Unwritten lines are kept in a
/// bounded buffer. Lines that do not fit are dropped and counted; once at most half of the buffer is in use,
/// a warning with their number is logged.
#pragma once

#include <cstddef>
#include <cstdint>
#include <mutex>
#include <string>
#include <string_view>

namespace stoat {

/// Non-blocking writer with a bounded buffer. Thread-safe.
class LogWriter {
 public:
  /// The caller keeps ownership of `descriptor`. `capacity` is the size of the buffer in bytes.
  explicit LogWriter(int descriptor, size_t capacity = kDefaultCapacityBytes)
      : descriptor_(descriptor), capacity_(capacity) {}

  /// Queues a line, given without its line terminator, and writes as much as possible without blocking.
  void write(std::string_view line);
  /// Writes buffered lines as far as possible without blocking.
  void flush();
  /// Number of lines dropped so far.
  uint64_t dropped() const;

 private:
  static constexpr size_t kDefaultCapacityBytes = 256U << 10U;
  void write_pending();
  void report_dropped_lines();

  int descriptor_;
  size_t capacity_;
  mutable std::mutex mutex_;
  std::string pending_;
  uint64_t dropped_ = 0;
  uint64_t reported_dropped_ = 0;  ///< part of dropped_ that was already logged
};

/// The writer for standard output of this process.
LogWriter& standard_log_writer();

}  // namespace stoat
