#include "src/common/toml_text.h"

namespace stoat {

namespace {

constexpr unsigned char kLastAscii = 0x7F;

}  // namespace

std::optional<TextPlace> first_bare_non_ascii(std::string_view text) {
  TextPlace place;
  char quote = 0;  // the one that opened the string that we are in
  bool in_comment = false;
  bool escaped = false;
  for (const char character : text) {
    const bool bare = quote == 0 && !in_comment;
    if (bare && static_cast<unsigned char>(character) > kLastAscii) {
      return place;
    }
    if (character == '\n') {
      in_comment = false;
      ++place.line;
      place.column = 0;
    } else if (bare && character == '#') {
      in_comment = true;
    } else if (bare && (character == '"' || character == '\'')) {
      quote = character;
    } else if (quote != 0 && character == quote && !escaped) {
      quote = 0;
    }
    escaped = quote == '"' && character == '\\' && !escaped;
    ++place.column;
  }
  return std::nullopt;
}

}  // namespace stoat
