/// Structured logging. The line format is described in log_line.h.
#pragma once

#include <initializer_list>
#include <string>
#include <string_view>
#include <vector>

#include "src/common/log_line.h"

namespace stoat {

/// Writes log lines on behalf of one component of the program.
class Logger {
 public:
  explicit Logger(std::string component) : component_(std::move(component)) {}
  void debug(std::string_view log_message, std::initializer_list<LogField> fields = {}) const;
  void info(std::string_view log_message, std::initializer_list<LogField> fields = {}) const;
  void warning(std::string_view log_message, std::initializer_list<LogField> fields = {}) const;
  void error(std::string_view log_message, std::initializer_list<LogField> fields = {}) const;

  /// Writes a typed event, a struct with `kMessage` and `fields()`, at level info.
  template <typename Event>
  void event(const Event& typed_event) const {
    write(log_now(), Event::kMessage, typed_event.fields());
  }
  /// Writes a line at level info with the given time instead of the current time.
  void write(LogTime time, std::string_view log_message, std::vector<LogField> fields) const;

 private:
  std::string format(LogLevel level, std::string_view log_message,
                     std::initializer_list<LogField> fields) const;
  std::string component_;
};

/// Directs log lines to standard output. `level` is the lowest level that is written: debug, info, warning or
/// error; any other value means info.
void configure_logging(const std::string& level);

/// Writes buffered log lines to standard output as far as possible without blocking.
void flush_logs();

}  // namespace stoat
