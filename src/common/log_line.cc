#include "src/common/log_line.h"

#include <algorithm>
#include <array>
#include <cctype>
#include <cstdio>
#include <optional>

namespace stoat {

namespace {

constexpr std::array<const char*, 4> kLevelNames = {"DEBUG", "INFO", "WARNING", "ERROR"};
/// "2026-12-02T12:37:17.241Z"
constexpr size_t kTimeLength = 24;

std::string time_text(LogTime time) {
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

std::string in_quotes(std::string_view value) {
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

/// Takes words and fields off the front of a text.
class LineReader {
 public:
  explicit LineReader(std::string_view text) : rest_(text) {}

  bool at_end() {
    while (!rest_.empty() && rest_.front() == ' ') {
      rest_.remove_prefix(1);
    }
    return rest_.empty();
  }
  std::string_view word() {
    const size_t end = std::min(rest_.find(' '), rest_.size());
    const std::string_view text = rest_.substr(0, end);
    rest_.remove_prefix(end);
    return text;
  }
  /// Whether the next word is a field.
  bool at_field() const { return rest_.substr(0, rest_.find(' ')).find('=') != std::string_view::npos; }
  /// Reads key=value; nullopt when a quote is not closed.
  std::optional<LogField> field() {
    const size_t equals = rest_.find('=');
    const std::string key(rest_.substr(0, equals));
    rest_.remove_prefix(equals + 1);
    if (rest_.empty() || rest_.front() != '"') {
      return LogField(key, word());
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

/// The position at which a time begins that a level and a part follow.
std::optional<size_t> find_time(std::string_view text) {
  for (size_t mark = text.find("Z "); mark != std::string_view::npos; mark = text.find("Z ", mark + 1)) {
    if (mark + 1 >= kTimeLength && parse_time(text.substr(mark + 1 - kTimeLength, kTimeLength))) {
      return mark + 1 - kTimeLength;
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
  std::string text = time_text(line.time) + " " + kLevelNames.at(static_cast<size_t>(line.level)) + " [" +
                     line.part + "] " + line.log_message;
  for (const LogField& field : line.fields) {
    text += " " + field.key + "=" + (needs_quotes(field.value) ? in_quotes(field.value) : field.value);
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
  const std::string_view level = reader.word();
  const auto known = std::find(kLevelNames.begin(), kLevelNames.end(), level);
  if (known == kLevelNames.end()) {
    return tl::make_unexpected("has an unknown level '" + std::string(level) + "'");
  }
  line.level = static_cast<LogLevel>(known - kLevelNames.begin());
  const std::string_view part = reader.at_end() ? std::string_view() : reader.word();
  if (part.size() < 3 || part.front() != '[' || part.back() != ']') {
    return tl::make_unexpected("names no [part]");
  }
  line.part = std::string(part.substr(1, part.size() - 2));
  while (!reader.at_end() && !reader.at_field()) {
    line.log_message += (line.log_message.empty() ? "" : " ") + std::string(reader.word());
  }
  while (!reader.at_end()) {
    if (!reader.at_field()) {
      return tl::make_unexpected("has words after its first field");
    }
    const auto field = reader.field();
    if (!field) {
      return tl::make_unexpected("ends within quotes");
    }
    line.fields.push_back(*field);
  }
  return line;
}

}  // namespace stoat
