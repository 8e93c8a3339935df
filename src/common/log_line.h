/// One line of the log as data: written in one form, and read back from it.
///
///     2026-12-02T12:37:17.241Z INFO [router] request ended request=q1 outcome="no back end" status=503
///
/// Time (UTC), level, the part of the program, a short log_message, then key=value facts. A value that is
/// empty or has a blank, a quote, a backslash, an equals sign or a control character stands in quotes, with
/// \",
/// \\ and \n.
#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <type_traits>
#include <vector>

namespace stoat {

/// Wall-clock time with the resolution of the log.
using LogTime = std::chrono::time_point<std::chrono::system_clock, std::chrono::milliseconds>;

/// The present time for the log.
inline LogTime log_now() {
  return std::chrono::time_point_cast<std::chrono::milliseconds>(std::chrono::system_clock::now());
}

enum class LogLevel : uint8_t { kDebug, kInfo, kWarning, kError };

/// One key=value fact.
struct LogField {
  LogField(std::string_view field_key, std::string_view text) : key(field_key), value(text) {}
  LogField(std::string_view field_key, const char* text) : key(field_key), value(text) {}
  LogField(std::string_view field_key, bool flag) : key(field_key), value(flag ? "true" : "false") {}
  template <typename Number,
            typename = std::enable_if_t<std::is_arithmetic_v<Number> && !std::is_same_v<Number, bool>>>
  LogField(std::string_view field_key, Number number) : key(field_key), value(std::to_string(number)) {}
  bool operator==(const LogField&) const = default;

  std::string key;
  std::string value;
};

/// See the head of this file.
struct LogLine {
  LogTime time{};
  LogLevel level = LogLevel::kInfo;
  std::string part;
  std::string log_message;
  std::vector<LogField> fields;

  /// The value of a field, or an empty string.
  std::string field(std::string_view key) const;
};

/// The line's text, without an end of line.
std::string to_text(const LogLine& line);

/// Reads a line. The error says what is wrong with it. Text before the time (as a collector adds) is passed
/// over.
tl::expected<LogLine, std::string> parse_log_line(std::string_view text);

}  // namespace stoat
