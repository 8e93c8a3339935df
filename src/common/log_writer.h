/// Writes log lines to a descriptor without ever waiting for its reader. Lines wait in a bounded buffer;
/// those that find it full are counted, and a line tells the count once there is room again.
#pragma once

#include <cstddef>
#include <cstdint>
#include <mutex>
#include <string>
#include <string_view>

namespace stoat {

/// See the head of this file. May be used from any thread.
class LogWriter {
 public:
  /// `descriptor` stays the caller's. `capacity`: bytes that may wait.
  explicit LogWriter(int descriptor, size_t capacity = kDefaultCapacity)
      : descriptor_(descriptor), capacity_(capacity) {}

  /// Takes a line without its end of line, and writes what can be written at once.
  void write(std::string_view line);
  /// Writes what waits, as far as that goes without waiting.
  void flush();
  /// Lines lost so far.
  uint64_t dropped() const;

 private:
  static constexpr size_t kDefaultCapacity = 256U << 10U;
  void drain();
  void tell_dropped();

  int descriptor_;
  size_t capacity_;
  mutable std::mutex mutex_;
  std::string waiting_;
  uint64_t dropped_ = 0;
  uint64_t dropped_told_ = 0;
};

/// The writer of this process's standard output.
LogWriter& standard_log_writer();

}  // namespace stoat
