// Settings files, in particular texts on which the TOML parser would crash and that must not reach it.
#include "src/common/settings.h"

#include <gtest/gtest.h>

#include "src/common/toml_text.h"

namespace stoat {
namespace {

TEST(SettingsTest, ANonAsciiCharacterOutsideQuotesIsReportedWithItsPosition) {
  Findings findings;
  SettingsReader::load("", {"\xc7\x8a\n"}, findings);
  ASSERT_EQ(findings.list().size(), 1U);
  EXPECT_EQ(findings.list().front().line, 1);
  EXPECT_EQ(findings.list().front().column, 1);
  EXPECT_NE(findings.to_text().find("only ASCII"), std::string::npos) << findings.to_text();
}

TEST(SettingsTest, NonAsciiCharactersAreAllowedInStringsAndComments) {
  Findings findings;
  SettingsReader reader = SettingsReader::load("", {"name = \"\\\"h\xc3\xa4ll\"  # f\xc3\xbcr"}, findings);
  EXPECT_TRUE(findings.empty()) << findings.to_text();
  EXPECT_EQ(reader.text("name", ""), "\"h\xc3\xa4ll");
}

TEST(SettingsTest, ThePositionIsGivenAsLineAndColumn) {
  const auto position = check_toml_text("a = 'x'\nb\xc3\xa4 = 1");
  ASSERT_TRUE(position.has_value());
  EXPECT_EQ(position->line, 2);
  EXPECT_EQ(position->column, 2);
}

TEST(SettingsTest, ATableWithoutANameIsReported) {
  for (const char* text : {"[)", "a = 1\n[[ .b]]", "[=]"}) {
    Findings findings;
    SettingsReader::load("", {text}, findings);
    EXPECT_FALSE(findings.empty()) << text;
  }
}

TEST(SettingsTest, TablesAndNestedArraysAreAccepted) {
  const std::string text = "a = [\n  [1, 2],\n  [{b = 1}],\n]\n[table.'one']\nx = '['\n[[more]]\n[ \"q\" ]\n";
  EXPECT_FALSE(check_toml_text(text).has_value()) << check_toml_text(text)->message;
  Findings findings;
  SettingsReader::load("", {text}, findings);
  EXPECT_TRUE(findings.empty()) << findings.to_text();
}

// The program was ended when the tables of such a key were destroyed.
TEST(SettingsTest, KeyOfManyPartsEndsTheProgram) {
  std::string key = "a";
  for (int part = 0; part < 100000; ++part) {
    key += part % 2 == 0 ? ".a" : ".'a'";
  }
  for (const std::string& text : {key + " = 1", "[" + key + "]", "x = {" + key + " = 1}"}) {
    Findings findings;
    SettingsReader::load("", {text}, findings).report_unknown_keys();
    ASSERT_EQ(findings.list().size(), 1U);
    EXPECT_NE(findings.to_text().find("too many parts"), std::string::npos) << findings.to_text();
  }
  Findings none;
  SettingsReader::load(
      "", {"a.b.c = 1.5\nd = [1.5, 2.5]\n'x.y' = '1.2.3.4.5.6.7.8.9.10.11.12.13.14.15.16.17.18'"}, none);
  EXPECT_TRUE(none.empty()) << none.to_text();
}

TEST(SettingsTest, AnUnreadableFileIsReported) {
  Findings findings;
  SettingsReader::load("/nowhere/settings.toml", {}, findings);
  EXPECT_FALSE(findings.empty());
}

}  // namespace
}  // namespace stoat
