#include "src/common/toml_text.h"

#include <cctype>

namespace stoat {

namespace {

constexpr unsigned char kLastAscii = 0x7F;

/// Walks through a text, telling strings and comments from the rest.
class TextCheck {
 public:
  explicit TextCheck(std::string_view text) : text_(text) {}

  std::optional<TextFinding> run() {
    for (; position_ < text_.size(); advance()) {
      const bool bare = quote_ == 0 && !in_comment_;
      if (bare && static_cast<unsigned char>(text_[position_]) > kLastAscii) {
        return finding("outside of quotes and comments only ASCII characters are allowed");
      }
      if (bare && line_is_blank_ && depth_ == 0 && text_[position_] == '[' && !header_has_key()) {
        return finding("a table's name must begin with a letter, a digit, '_', '-' or a quote");
      }
    }
    return std::nullopt;
  }

 private:
  TextFinding finding(const char* message) const { return {line_, column_, message}; }

  bool header_has_key() const {
    size_t next = position_ + 1;
    next += next < text_.size() && text_[next] == '[' ? 1 : 0;
    while (next < text_.size() && (text_[next] == ' ' || text_[next] == '\t')) {
      ++next;
    }
    if (next == text_.size()) {
      return true;  // the parser reports a text that ends too soon
    }
    const char first = text_[next];
    const bool is_key = std::isalnum(static_cast<unsigned char>(first)) != 0 || first == '_' || first == '-';
    return is_key || first == '"' || first == '\'' || first == ']';
  }

  void advance() {
    const char character = text_[position_++];
    const bool bare = quote_ == 0 && !in_comment_;
    if (character == '\n') {
      in_comment_ = false;
      line_is_blank_ = quote_ == 0;
      ++line_;
      column_ = 1;
      escaped_ = false;
      return;
    }
    ++column_;
    if (bare) {
      take_bare(character);
    } else if (quote_ != 0 && character == quote_ && !escaped_) {
      quote_ = 0;
    }
    escaped_ = quote_ == '"' && character == '\\' && !escaped_;
  }

  void take_bare(char character) {
    line_is_blank_ = line_is_blank_ && (character == ' ' || character == '\t');
    if (character == '#') {
      in_comment_ = true;
    } else if (character == '"' || character == '\'') {
      quote_ = character;
    } else if (character == '[' || character == '{') {
      ++depth_;
    } else if ((character == ']' || character == '}') && depth_ > 0) {
      --depth_;
    }
  }

  std::string_view text_;
  size_t position_ = 0;
  int line_ = 1;
  int column_ = 1;
  int depth_ = 0;   ///< of brackets and braces
  char quote_ = 0;  ///< the one that opened the string that we are in
  bool in_comment_ = false;
  bool escaped_ = false;
  bool line_is_blank_ = true;  ///< so far
};

}  // namespace

std::optional<TextFinding> check_toml_text(std::string_view text) { return TextCheck(text).run(); }

}  // namespace stoat
