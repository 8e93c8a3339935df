/// JSON text of values whose strings may come from other processes.
#pragma once

#include <nlohmann/json.hpp>
#include <string>

namespace stoat {

/// Formats a value. Bytes that are no UTF-8 become the replacement character; nothing is thrown.
inline std::string to_json_text(const nlohmann::json& value) {
  return value.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

/// True if the text is valid UTF-8.
inline bool is_utf8(const std::string& text) {
  const std::string valid_part =
      nlohmann::json(text).dump(-1, ' ', false, nlohmann::json::error_handler_t::ignore);
  return nlohmann::json::parse(valid_part).get<std::string>() == text;
}

}  // namespace stoat
