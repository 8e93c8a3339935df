/// Structured logging in one form: "[part] short sentence key=value key=value".
#pragma once

#include <initializer_list>
#include <string>
#include <string_view>
#include <type_traits>

namespace stoat {

/// One key=value fact of a log line. Text values with spaces are quoted.
struct LogField {
  LogField(std::string_view field_key, std::string_view text) : key(field_key), value(text) {}
  LogField(std::string_view field_key, const char* text) : key(field_key), value(text) {}
  template <typename Number, typename = std::enable_if_t<std::is_arithmetic_v<Number>>>
  LogField(std::string_view field_key, Number number) : key(field_key), value(std::to_string(number)) {}

  std::string key;
  std::string value;
};

/// Writes lines with the fixed prefix of one part of the program.
class Logger {
 public:
  explicit Logger(std::string part) : part_(std::move(part)) {}
  void debug(std::string_view sentence, std::initializer_list<LogField> fields = {}) const;
  void info(std::string_view sentence, std::initializer_list<LogField> fields = {}) const;
  void warning(std::string_view sentence, std::initializer_list<LogField> fields = {}) const;
  void error(std::string_view sentence, std::initializer_list<LogField> fields = {}) const;

 private:
  std::string format(std::string_view sentence, std::initializer_list<LogField> fields) const;
  std::string part_;
};

/// Directs log lines to standard output. `level` is debug, info, warning or error; anything else means info.
void configure_logging(const std::string& level);

}  // namespace stoat
