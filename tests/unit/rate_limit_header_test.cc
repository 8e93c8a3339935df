/// Parsing of the rate limit header, with valid and malformed values.
#include "src/dispatch/rate_limit_header.h"

#include <gtest/gtest.h>

namespace stoat::dispatch {
namespace {

using Kind = NumberReading::Kind;

NumberReading read(const std::vector<std::string>& values) {
  http1::Headers headers;
  headers.add("X-Other", "7");
  for (const std::string& value : values) {
    headers.add("x-rate-limit", value);
  }
  return read_rate_limit(headers, "X-Rate-Limit");
}

TEST(RateLimitHeader, ReadsDecimalNumbers) {
  EXPECT_EQ(read({}).kind, Kind::kNone);
  EXPECT_EQ(read({"1.2"}).kind, Kind::kPresent);
  EXPECT_DOUBLE_EQ(read({"1.2"}).value, 1.2);
  EXPECT_DOUBLE_EQ(read({"40"}).value, 40);
  EXPECT_EQ(read({"40"}).finding, "");
}

TEST(RateLimitHeader, MalformedValueIsUnreadable) {
  for (const char* value : {"", "fast", "1.2 ", "1,2", "-1", "nan", "inf", "1e3", "0x10", "--1"}) {
    const NumberReading reading = read({value});
    EXPECT_EQ(reading.kind, Kind::kUnreadable) << value;
    EXPECT_NE(reading.finding.find(value), std::string::npos) << reading.finding;
  }
}

TEST(RateLimitHeader, ClampsLimitsToTheAllowedRange) {
  EXPECT_DOUBLE_EQ(read({"0"}).value, kMinRateLimit);
  EXPECT_EQ(read({"0"}).kind, Kind::kPresent);
  const NumberReading huge = read({"99999999999999999999"});
  EXPECT_DOUBLE_EQ(huge.value, kMaxRateLimit);
  EXPECT_NE(huge.finding, "");
}

TEST(RateLimitHeader, TheLowestOfSeveralLimitsApplies) {
  const NumberReading twice = read({"5", "2"});
  EXPECT_DOUBLE_EQ(twice.value, 2);
  EXPECT_NE(twice.finding.find("2 times"), std::string::npos) << twice.finding;
  const NumberReading half = read({"x", "3"});
  EXPECT_EQ(half.kind, Kind::kPresent);
  EXPECT_DOUBLE_EQ(half.value, 3);
  EXPECT_EQ(read({"3", "x"}).kind, Kind::kPresent);
}

}  // namespace
}  // namespace stoat::dispatch
