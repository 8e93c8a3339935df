#include "src/common/json_text.h"

#include <algorithm>
#include <optional>
#include <utility>

namespace stoat {

namespace {

using nlohmann::json;

Finding finding_at(std::string_view text, size_t offset, const std::string& source, std::string message) {
  const std::string_view before = text.substr(0, offset);
  const size_t line_start = before.rfind('\n') + 1;  // 0 on the first line, since npos + 1 is 0
  const auto line_breaks = std::count(before.begin(), before.end(), '\n');
  return {source, static_cast<int>(line_breaks) + 1, static_cast<int>(before.size() - line_start) + 1, "",
          std::move(message)};
}

/// The offset of the first bracket or brace beyond kMaxJsonDepth; nullopt if there is none. Exact for valid
/// JSON.
std::optional<size_t> offset_beyond_max_depth(std::string_view text) {
  size_t depth = 0;
  bool in_string = false;
  for (size_t offset = 0; offset < text.size(); ++offset) {
    const char character = text[offset];
    if (character == '"') {
      in_string = !in_string;
    } else if (in_string) {
      offset += character == '\\' ? 1 : 0;  // skips the escaped character
    } else if (character == '[' || character == '{') {
      if (++depth > kMaxJsonDepth) {
        return offset;
      }
    } else if ((character == ']' || character == '}') && depth > 0) {
      --depth;
    }
  }
  return std::nullopt;
}

}  // namespace

tl::expected<json, Finding> parse_json(std::string_view text, const std::string& source) {
  if (const auto offset = offset_beyond_max_depth(text)) {
    return tl::make_unexpected(finding_at(
        text, *offset, source,
        "lists and objects are nested more than " + std::to_string(kMaxJsonDepth) + " levels deep"));
  }
  try {
    return json::parse(text);
  } catch (const json::parse_error& error) {
    const size_t offset = std::min(text.size(), error.byte - std::min<size_t>(error.byte, 1));
    return tl::make_unexpected(finding_at(text, offset, source, "is not JSON"));
  } catch (const json::exception&) {
    return tl::make_unexpected(Finding{source, 0, 0, "", "has a number that is out of range"});
  }
}

std::string to_json_text(const json& value) {
  return value.dump(-1, ' ', false, json::error_handler_t::replace);
}

bool is_utf8(const std::string& text) {
  const std::string valid_part = json(text).dump(-1, ' ', false, json::error_handler_t::ignore);
  return json::parse(valid_part).get<std::string>() == text;
}

}  // namespace stoat
