/// JSON text from and for other processes.
#pragma once

#include <nlohmann/json.hpp>
#include <string>
#include <string_view>
#include <tl/expected.hpp>

#include "src/common/findings.h"

namespace stoat {

/// Maximum nesting depth of lists and objects in a parsed text. The parser itself has no limit, but copying,
/// comparing and formatting a value recurse once per level.
inline constexpr size_t kMaxJsonDepth = 64;

/// Parses a text that comes from outside this process. `source`: what the text is, such as "heartbeat", for
/// the finding. Fails on a text that is not JSON or is nested deeper than kMaxJsonDepth. Never throws.
tl::expected<nlohmann::json, Finding> parse_json(std::string_view text, const std::string& source);

/// Formats a value. Bytes that are no UTF-8 become the replacement character; nothing is thrown.
std::string to_json_text(const nlohmann::json& value);

/// True if the text is valid UTF-8.
bool is_utf8(const std::string& text);

}  // namespace stoat
