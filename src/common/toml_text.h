/// Check of TOML text before it is parsed. On some malformed texts the TOML parser aborts the process or has
/// undefined behaviour; this check rejects them first.
#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace stoat {

/// An error in a text and its position, counted from 1.
struct TomlTextError {
  int line = 1;
  int column = 1;
  std::string message;
};

/// Finds the first non-ASCII character outside of strings and comments, or the first table header that does
/// not begin with a key. Other errors are left to the parser.
std::optional<TomlTextError> check_toml_text(std::string_view text);

}  // namespace stoat
