#include "src/common/log_line.h"

#include <algorithm>
#include <array>
#include <cctype>
#include <cstdio>
#include <optional>

namespace stoat {

namespace {

constexpr std::array<const char*, 4> kLevelNames = {"DEBUG", "INFO", "WARNING", "ERROR"};
/// Length of a time such as "2026-12-02T12:37:17.241Z".
constexpr size_t kTimeLength = 24;

std::string format_time(LogTime time) {
  const auto days = std::chrono::floor<std::chrono::days>(time);
  const std::chrono::year_month_day date(days);
  const std::chrono::hh_mm_ss<std::chrono::milliseconds> clock(time - days);
  char text[48];
  std::snprintf(text, sizeof(text), "%04d-%02u-%02uT%02d:%02d:%02d.%03dZ", static_cast<int>(date.year()),
                static_cast<unsigned>(date.month()), static_cast<unsigned>(date.day()),
                static_cast<int>(clock.hours().count()), static_cast<int>(clock.minutes().count()),
                static_cast<int>(clock.seconds().count()), static_cast<int>(clock.subseconds().count()));
  return text;
}

std::optional<LogTime> parse_time(std::string_view text) {
  int year = 0;
  unsigned month = 0;
  unsigned day = 0;
  int hour = 0;
  int minute = 0;
  int second = 0;
  int millisecond = 0;
  const std::string copy(text);
  if (std::sscanf(copy.c_str(), "%4d-%2u-%2uT%2d:%2d:%2d.%3dZ", &year, &month, &day, &hour, &minute, &second,
                  &millisecond) != 7) {
    return std::nullopt;
  }
  const std::chrono::year_month_day date{std::chrono::year(year), std::chrono::month(month),
                                         std::chrono::day(day)};
  if (!date.ok()) {
    return std::nullopt;
  }
  return LogTime(std::chrono::sys_days(date).time_since_epoch() + std::chrono::hours(hour) +
                 std::chrono::minutes(minute) + std::chrono::seconds(second) +
                 std::chrono::milliseconds(millisecond));
}

bool needs_quotes(std::string_view value) {
  return value.empty() || std::any_of(value.begin(), value.end(), [](char c) {
           return c == '"' || c == '\\' || c == '=' || std::isspace(static_cast<unsigned char>(c)) != 0 ||
                  std::iscntrl(static_cast<unsigned char>(c)) != 0;
         });
}

std::string quote(std::string_view value) {
  std::string text = "\"";
  for (const char c : value) {
    if (c == '\n') {
      text += "\\n";
      continue;
    }
    if (c == '"' || c == '\\') {
      text += '\\';
    }
    text += c;
  }
  return text + "\"";
}

/// Consumes words and fields from the front of a log line.
class LineReader {
 public:
  explicit LineReader(std::string_view text) : rest_(text) {}

  bool at_end() {
    while (!rest_.empty() && rest_.front() == ' ') {
      rest_.remove_prefix(1);
    }
    return rest_.empty();
  }
  std::string_view take_word() {
    const size_t end = std::min(rest_.find(' '), rest_.size());
    const std::string_view text = rest_.substr(0, end);
    rest_.remove_prefix(end);
    return text;
  }
  /// True when the next word is a key=value field.
  bool next_is_field() const { return rest_.substr(0, rest_.find(' ')).find('=') != std::string_view::npos; }
  /// Consumes a key=value field; nullopt when a quoted value is not terminated.
  std::optional<LogField> take_field() {
    const size_t equals = rest_.find('=');
    const std::string key(rest_.substr(0, equals));
    rest_.remove_prefix(equals + 1);
    if (rest_.empty() || rest_.front() != '"') {
      return LogField(key, take_word());
    }
    rest_.remove_prefix(1);
    std::string value;
    while (!rest_.empty() && rest_.front() != '"') {
      if (rest_.front() == '\\' && rest_.size() > 1) {
        rest_.remove_prefix(1);
        value += rest_.front() == 'n' ? '\n' : rest_.front();
      } else {
        value += rest_.front();
      }
      rest_.remove_prefix(1);
    }
    if (rest_.empty()) {
      return std::nullopt;
    }
    rest_.remove_prefix(1);
    return LogField(key, value);
  }

 private:
  std::string_view rest_;
};

/// The position of the first valid time that is followed by a space. Text before it, such as the prefix of a
/// log collector, is skipped.
std::optional<size_t> find_time(std::string_view text) {
  for (size_t zone_suffix = text.find("Z "); zone_suffix != std::string_view::npos;
       zone_suffix = text.find("Z ", zone_suffix + 1)) {
    if (zone_suffix + 1 >= kTimeLength &&
        parse_time(text.substr(zone_suffix + 1 - kTimeLength, kTimeLength))) {
      return zone_suffix + 1 - kTimeLength;
    }
  }
  return std::nullopt;
}

}  // namespace

std::string LogLine::field(std::string_view key) const {
  const auto found =
      std::find_if(fields.begin(), fields.end(), [key](const LogField& entry) { return entry.key == key; });
  return found == fields.end() ? "" : found->value;
}

std::string to_text(const LogLine& line) {
  std::string text = format_time(line.time) + " " + kLevelNames.at(static_cast<size_t>(line.level)) + " [" +
                     line.component_name + "] " + line.log_message;
  for (const LogField& field : line.fields) {
    text += " " + field.key + "=" + (needs_quotes(field.value) ? quote(field.value) : field.value);
  }
  return text;
}

tl::expected<LogLine, std::string> parse_log_line(std::string_view text) {
  const auto begin = find_time(text);
  if (!begin) {
    return tl::make_unexpected("has no time");
  }
  LogLine line;
  line.time = *parse_time(text.substr(*begin, kTimeLength));
  LineReader reader(text.substr(*begin + kTimeLength));
  if (reader.at_end()) {
    return tl::make_unexpected("ends after its time");
  }
  const std::string_view level = reader.take_word();
  const auto known = std::find(kLevelNames.begin(), kLevelNames.end(), level);
  if (known == kLevelNames.end()) {
    return tl::make_unexpected("has an unknown level '" + std::string(level) + "'");
  }
  line.level = static_cast<LogLevel>(known - kLevelNames.begin());
  const std::string_view component = reader.at_end() ? std::string_view() : reader.take_word();
  if (component.size() < 3 || component.front() != '[' || component.back() != ']') {
    return tl::make_unexpected("names no [part]");
  }
  line.component_name = std::string(component.substr(1, component.size() - 2));
  while (!reader.at_end() && !reader.next_is_field()) {
    line.log_message += (line.log_message.empty() ? "" : " ") + std::string(reader.take_word());
  }
  while (!reader.at_end()) {
    if (!reader.next_is_field()) {
      return tl::make_unexpected("has words after its first field");
    }
    const auto field = reader.take_field();
    if (!field) {
      return tl::make_unexpected("ends within quotes");
    }
    line.fields.push_back(*field);
  }
  return line;
}

}  // namespace stoat
