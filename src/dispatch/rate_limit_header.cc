#include "src/dispatch/rate_limit_header.h"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <optional>

namespace stoat::dispatch {

namespace {

/// Longer values are cut in findings.
constexpr size_t kShownLength = 40;

std::optional<double> parse_rate(const std::string& text) {
  double rate = 0;
  const char* end = text.data() + text.size();
  const auto parsed = std::from_chars(text.data(), end, rate, std::chars_format::fixed);
  if (parsed.ec != std::errc() || parsed.ptr != end || !std::isfinite(rate) || rate < 0) {
    return std::nullopt;
  }
  return rate;
}

void add_finding(RateLimitReading& reading, const std::string& finding) {
  reading.finding += (reading.finding.empty() ? "" : "; ") + finding;
}

void take_line(const http1::HeaderLine& line, RateLimitReading& reading) {
  const std::string shown = line.name + ": " + line.value.substr(0, kShownLength);
  const std::optional<double> rate = parse_rate(line.value);
  if (!rate) {
    add_finding(reading, shown + " is not a number of requests a second");
    if (reading.kind == RateLimitReading::Kind::kNone) {
      reading.kind = RateLimitReading::Kind::kUnreadable;
    }
    return;
  }
  if (*rate > kMostRateLimit) {
    add_finding(reading, shown + " is more than any back end takes");
  }
  const double bounded = std::clamp(*rate, kLeastRateLimit, kMostRateLimit);
  const bool first = reading.kind != RateLimitReading::Kind::kNamed;
  reading.per_second = first ? bounded : std::min(reading.per_second, bounded);
  reading.kind = RateLimitReading::Kind::kNamed;
}

}  // namespace

RateLimitReading read_rate_limit(const http1::Headers& headers, const std::string& name) {
  RateLimitReading reading;
  size_t count = 0;
  for (const http1::HeaderLine& line : headers.lines()) {
    if (http1::same_name(line.name, name)) {
      take_line(line, reading);
      ++count;
    }
  }
  if (count > 1) {
    add_finding(reading, name + " is named " + std::to_string(count) + " times");
  }
  return reading;
}

}  // namespace stoat::dispatch
