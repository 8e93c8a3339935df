/// Structured logging in one form; see log_line.h.
#pragma once

#include <initializer_list>
#include <string>
#include <string_view>
#include <vector>

#include "src/common/log_line.h"

namespace stoat {

/// Writes lines with the fixed prefix of one part of the program.
class Logger {
 public:
  explicit Logger(std::string part) : part_(std::move(part)) {}
  void debug(std::string_view log_message, std::initializer_list<LogField> fields = {}) const;
  void info(std::string_view log_message, std::initializer_list<LogField> fields = {}) const;
  void warning(std::string_view log_message, std::initializer_list<LogField> fields = {}) const;
  void error(std::string_view log_message, std::initializer_list<LogField> fields = {}) const;

  /// Writes a typed event: a struct with `kMessage` and `fields()`.
  template <typename Event>
  void event(const Event& what) const {
    write(log_now(), Event::kMessage, what.fields());
  }
  /// Writes a line of information that stands for another time.
  void write(LogTime time, std::string_view log_message, std::vector<LogField> fields) const;

 private:
  std::string format(LogLevel level, std::string_view log_message,
                     std::initializer_list<LogField> fields) const;
  std::string part_;
};

/// Directs log lines to standard output. `level` is debug, info, warning or error; anything else means info.
void configure_logging(const std::string& level);

/// Writes what waits for its reader, as far as that goes without waiting.
void flush_logs();

}  // namespace stoat
