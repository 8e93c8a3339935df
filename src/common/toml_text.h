/// A look at TOML text before its parser gets it.
#pragma once

#include <optional>
#include <string_view>

namespace stoat {

/// A place in a text, counted from 1.
struct TextPlace {
  int line = 1;
  int column = 1;
};

/// The first character beyond ASCII that stands outside of strings and comments. TOML allows none there, and
/// the parser's behaviour for some of them is undefined.
std::optional<TextPlace> first_bare_non_ascii(std::string_view text);

}  // namespace stoat
