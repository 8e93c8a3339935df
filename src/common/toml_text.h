/// A look at TOML text before its parser gets it. The parser aborts the process, or behaves in an undefined
/// way, on some malformed texts; these are found here.
#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace stoat {

/// What is wrong with a text, and where, counted from 1.
struct TextFinding {
  int line = 1;
  int column = 1;
  std::string message;
};

/// The first character beyond ASCII that stands outside of strings and comments, or the first table header
/// that does not begin with a key. Nothing else is looked for.
std::optional<TextFinding> check_toml_text(std::string_view text);

}  // namespace stoat
