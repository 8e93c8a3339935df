#include "src/common/toml_text.h"

#include <cctype>

namespace stoat {

namespace {

constexpr unsigned char kLastAscii = 0x7F;
/// Maximum number of dots in a key. Each part is a table within the one before, and the parser's tables are
/// destroyed recursively.
constexpr int kMaxKeyDots = 16;

/// Scans a text and distinguishes strings and comments from the rest, the syntax.
class TomlScanner {
 public:
  explicit TomlScanner(std::string_view text) : text_(text) {}

  std::optional<TomlTextError> run() {
    for (; position_ < text_.size(); advance()) {
      const bool in_syntax = open_quote_ == 0 && !in_comment_;
      if (in_syntax && static_cast<unsigned char>(text_[position_]) > kLastAscii) {
        return finding("only ASCII characters are allowed outside of strings and comments");
      }
      if (in_syntax && text_[position_] == '.' && key_dots_ == kMaxKeyDots) {
        return finding("a key has too many parts");
      }
      if (in_syntax && line_blank_so_far_ && nesting_depth_ == 0 && text_[position_] == '[' &&
          !header_has_key()) {
        return finding("a table's name must begin with a letter, a digit, '_', '-' or a quote");
      }
    }
    return std::nullopt;
  }

 private:
  TomlTextError finding(const char* message) const { return {line_, column_, message}; }

  bool header_has_key() const {
    size_t next = position_ + 1;
    next += next < text_.size() && text_[next] == '[' ? 1 : 0;
    while (next < text_.size() && (text_[next] == ' ' || text_[next] == '\t')) {
      ++next;
    }
    if (next == text_.size()) {
      return true;  // the parser reports truncated input
    }
    const char first = text_[next];
    const bool is_key = std::isalnum(static_cast<unsigned char>(first)) != 0 || first == '_' || first == '-';
    return is_key || first == '"' || first == '\'' || first == ']';
  }

  void advance() {
    const char character = text_[position_++];
    const bool in_syntax = open_quote_ == 0 && !in_comment_;
    if (character == '\n') {
      in_comment_ = false;
      line_blank_so_far_ = open_quote_ == 0;
      ++line_;
      column_ = 1;
      escaped_ = false;
      key_dots_ = 0;
      return;
    }
    ++column_;
    if (in_syntax) {
      scan_syntax(character);
    } else if (open_quote_ != 0 && character == open_quote_ && !escaped_) {
      open_quote_ = 0;
    }
    escaped_ = open_quote_ == '"' && character == '\\' && !escaped_;
  }

  void scan_syntax(char character) {
    line_blank_so_far_ = line_blank_so_far_ && (character == ' ' || character == '\t');
    count_key_dots(character);
    if (character == '#') {
      in_comment_ = true;
    } else if (character == '"' || character == '\'') {
      open_quote_ = character;
    } else if (character == '[' || character == '{') {
      ++nesting_depth_;
    } else if ((character == ']' || character == '}') && nesting_depth_ > 0) {
      --nesting_depth_;
    }
  }

  void count_key_dots(char character) {
    const bool ends_key = character == '=' || character == ',' || character == '{' || character == '[';
    key_dots_ = ends_key ? 0 : key_dots_ + (character == '.' ? 1 : 0);
  }

  std::string_view text_;
  size_t position_ = 0;
  int line_ = 1;
  int column_ = 1;
  int nesting_depth_ = 0;  ///< of brackets and braces
  int key_dots_ = 0;       ///< in the current key, or in what stands in its place
  char open_quote_ = 0;    ///< quote that opened the current string; 0 outside of strings
  bool in_comment_ = false;
  bool escaped_ = false;
  bool line_blank_so_far_ = true;  ///< only spaces and tabs were seen on the current line
};

}  // namespace

std::optional<TomlTextError> check_toml_text(std::string_view text) { return TomlScanner(text).run(); }

}  // namespace stoat
