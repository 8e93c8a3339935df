// Texts that are not accepted as JSON, and where.
#include "src/common/json_text.h"

#include <gtest/gtest.h>

namespace stoat {
namespace {

std::string nested(size_t levels) { return std::string(levels, '[') + std::string(levels, ']'); }

TEST(JsonTextTest, TextAtTheDepthLimitIsParsed) {
  EXPECT_TRUE(parse_json(nested(kMaxJsonDepth), "body"));
  EXPECT_TRUE(parse_json("[" + nested(kMaxJsonDepth - 1) + "," + nested(kMaxJsonDepth - 1) + "]", "body"));
}

// Copying such a value overran the stack.
TEST(JsonTextTest, TextBeyondTheDepthLimitIsRejectedWithItsPlace) {
  const auto parsed = parse_json("{\n \"a\": " + nested(200000) + "}", "body");
  ASSERT_FALSE(parsed);
  EXPECT_EQ(parsed.error().line, 2);
  EXPECT_EQ(parsed.error().column, 6 + static_cast<int>(kMaxJsonDepth));
  EXPECT_EQ(parsed.error().file, "body");
}

TEST(JsonTextTest, BracketsInStringsDoNotCount) {
  const std::string brackets = std::string(200, '[') + R"(\"\\)" + std::string(200, '{');
  const auto parsed = parse_json("[\"" + brackets + "\",\"" + brackets + "\"]", "body");
  ASSERT_TRUE(parsed);
  EXPECT_EQ(parsed->size(), 2U);
}

TEST(JsonTextTest, SyntaxErrorsAreReportedWithTheirPlace) {
  const auto place = [](const std::string& text) {
    const auto parsed = parse_json(text, "body");
    return parsed ? "none" : to_string(parsed.error());
  };
  EXPECT_EQ(place(""), "body:1:1: is not JSON");
  EXPECT_EQ(place("{\"a\":1,\n  \"b\":x}"), "body:2:7: is not JSON");
  EXPECT_EQ(place("[1]]"), "body:1:4: is not JSON");
  EXPECT_EQ(place("[1e999]"), "body: has a number that is out of range");
}

}  // namespace
}  // namespace stoat
