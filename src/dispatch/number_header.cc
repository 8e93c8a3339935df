#include "src/dispatch/number_header.h"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <optional>

namespace stoat::dispatch {

namespace {

/// Longer values are truncated to this many bytes in findings.
constexpr size_t kMaxShownLength = 40;

std::optional<double> parse_number(const std::string& text) {
  double number = 0;
  const char* end = text.data() + text.size();
  const auto parsed = std::from_chars(text.data(), end, number, std::chars_format::fixed);
  if (parsed.ec != std::errc() || parsed.ptr != end || !std::isfinite(number) || number < 0) {
    return std::nullopt;
  }
  return number;
}

void add_finding(NumberReading& reading, const std::string& finding) {
  reading.finding += (reading.finding.empty() ? "" : "; ") + finding;
}

double choose(double left, double right, const NumberRule& rule) {
  return rule.prefer_highest ? std::max(left, right) : std::min(left, right);
}

void apply_line(const http1::HeaderLine& line, const NumberRule& rule, NumberReading& reading) {
  const std::string shown = line.name + ": " + line.value.substr(0, kMaxShownLength);
  const std::optional<double> number = parse_number(line.value);
  if (!number) {
    add_finding(reading, shown + " is not " + rule.description);
    if (reading.kind == NumberReading::Kind::kNone) {
      reading.kind = NumberReading::Kind::kUnreadable;
    }
    return;
  }
  if (*number > rule.max_value) {
    add_finding(reading, shown + " is " + rule.above_max);
  }
  const double bounded = std::clamp(*number, rule.min_value, rule.max_value);
  const bool first = reading.kind != NumberReading::Kind::kPresent;
  reading.value = first ? bounded : choose(reading.value, bounded, rule);
  reading.kind = NumberReading::Kind::kPresent;
}

}  // namespace

NumberReading read_number(const http1::Headers& headers, const std::string& name, const NumberRule& rule) {
  NumberReading reading;
  size_t count = 0;
  for (const http1::HeaderLine& line : headers.lines()) {
    if (http1::equal_ignoring_case(line.name, name)) {
      apply_line(line, rule, reading);
      ++count;
    }
  }
  if (count > 1) {
    add_finding(reading, name + " is named " + std::to_string(count) + " times");
  }
  return reading;
}

}  // namespace stoat::dispatch
