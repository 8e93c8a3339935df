/// Log lines as data: formatting and parsing of the log format.
///
///     2026-12-02T12:37:17.241Z INFO [router] request ended request=q1 outcome="no back end" status=503
///
/// Time (UTC), level, component, a short message, then key=value fields. A value that is empty or contains
/// white space, a quote, a backslash, an equals sign or a control character is quoted, with the escapes \",
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

/// Wall-clock time with the millisecond resolution of the log.
using LogTime = std::chrono::time_point<std::chrono::system_clock, std::chrono::milliseconds>;

/// The current wall-clock time.
inline LogTime log_now() {
  return std::chrono::time_point_cast<std::chrono::milliseconds>(std::chrono::system_clock::now());
}

enum class LogLevel : uint8_t { kDebug, kInfo, kWarning, kError };

/// One key=value field.
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

/// One parsed log line. The format is described at the top of this file.
struct LogLine {
  LogTime time{};
  LogLevel level = LogLevel::kInfo;
  std::string component_name;  ///< component that wrote the line
  std::string log_message;     ///< message, without the fields
  std::vector<LogField> fields;

  /// The value of the first field with this key, or an empty string.
  std::string field(std::string_view key) const;
};

/// Formats a line, without a line terminator.
std::string to_text(const LogLine& line);

/// Parses a line. The error describes the first fault found. Text before the time, such as the prefix of a
/// log collector, is skipped.
tl::expected<LogLine, std::string> parse_log_line(std::string_view text);

}  // namespace stoat
