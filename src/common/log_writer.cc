#include "src/common/log_writer.h"

#include <poll.h>
#include <unistd.h>

#include <algorithm>
#include <climits>

#include "src/common/log_line.h"

namespace stoat {

namespace {

/// A pipe that poll() calls writable takes so many bytes without waiting.
constexpr size_t kMaxWrite = PIPE_BUF;

bool writable(int descriptor) {
  pollfd entry{descriptor, POLLOUT, 0};
  return ::poll(&entry, 1, 0) > 0 && (entry.revents & POLLOUT) != 0;
}

}  // namespace

void LogWriter::write(std::string_view line) {
  const std::lock_guard<std::mutex> lock(mutex_);
  drain();
  tell_dropped();
  if (waiting_.size() + line.size() + 1 > capacity_) {
    ++dropped_;
    return;
  }
  waiting_.append(line);
  waiting_ += '\n';
  drain();
}

void LogWriter::flush() {
  const std::lock_guard<std::mutex> lock(mutex_);
  drain();
  tell_dropped();
  drain();
}

uint64_t LogWriter::dropped() const {
  const std::lock_guard<std::mutex> lock(mutex_);
  return dropped_;
}

void LogWriter::tell_dropped() {
  if (dropped_ == dropped_told_ || waiting_.size() > capacity_ / 2) {
    return;
  }
  LogLine line;
  line.time = log_now();
  line.level = LogLevel::kWarning;
  line.part = "log";
  line.log_message = "lines were lost, the reader was too slow";
  line.fields = {{"lines", dropped_ - dropped_told_}};
  waiting_ += to_text(line) + "\n";
  dropped_told_ = dropped_;
}

void LogWriter::drain() {
  size_t written = 0;
  while (written < waiting_.size() && writable(descriptor_)) {
    const ssize_t count =
        ::write(descriptor_, waiting_.data() + written, std::min(kMaxWrite, waiting_.size() - written));
    if (count <= 0) {
      break;
    }
    written += static_cast<size_t>(count);
  }
  waiting_.erase(0, written);
}

LogWriter& standard_log_writer() {
  static LogWriter writer(STDOUT_FILENO);
  return writer;
}

}  // namespace stoat
