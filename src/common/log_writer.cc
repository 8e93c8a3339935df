#include "src/common/log_writer.h"

#include <poll.h>
#include <unistd.h>

#include <algorithm>
#include <climits>

#include "src/common/log_line.h"

namespace stoat {

namespace {

/// A pipe that poll() reports as writable accepts this many bytes without blocking.
constexpr size_t kMaxWriteBytes = PIPE_BUF;

bool is_writable(int descriptor) {
  pollfd entry{descriptor, POLLOUT, 0};
  return ::poll(&entry, 1, 0) > 0 && (entry.revents & POLLOUT) != 0;
}

}  // namespace

void LogWriter::write(std::string_view line) {
  const std::lock_guard<std::mutex> lock(mutex_);
  write_pending();
  report_dropped_lines();
  if (pending_.size() + line.size() + 1 > capacity_) {
    ++dropped_;
    return;
  }
  pending_.append(line);
  pending_ += '\n';
  write_pending();
}

void LogWriter::flush() {
  const std::lock_guard<std::mutex> lock(mutex_);
  write_pending();
  report_dropped_lines();
  write_pending();
}

uint64_t LogWriter::dropped() const {
  const std::lock_guard<std::mutex> lock(mutex_);
  return dropped_;
}

void LogWriter::report_dropped_lines() {
  if (dropped_ == reported_dropped_ || pending_.size() > capacity_ / 2) {
    return;
  }
  LogLine line;
  line.time = log_now();
  line.level = LogLevel::kWarning;
  line.component_name = "log";
  line.log_message = "lines were lost, the reader was too slow";
  line.fields = {{"lines", dropped_ - reported_dropped_}};
  pending_ += to_text(line) + "\n";
  reported_dropped_ = dropped_;
}

void LogWriter::write_pending() {
  size_t written = 0;
  while (written < pending_.size() && is_writable(descriptor_)) {
    const ssize_t count =
        ::write(descriptor_, pending_.data() + written, std::min(kMaxWriteBytes, pending_.size() - written));
    if (count <= 0) {
      break;
    }
    written += static_cast<size_t>(count);
  }
  pending_.erase(0, written);
}

LogWriter& standard_log_writer() {
  static LogWriter writer(STDOUT_FILENO);
  return writer;
}

}  // namespace stoat
