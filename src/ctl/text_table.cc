#include "src/ctl/text_table.h"

#include <algorithm>
#include <vector>

namespace stoat::ctl {

namespace {

using nlohmann::json;

constexpr size_t kMaxCellWidth = 48;
constexpr size_t kColumnGap = 2;

std::string cell_text(const json& value) {
  if (value.is_null()) {
    return "-";
  }
  std::string text = value.is_string() ? value.get<std::string>() : value.dump();
  if (text.size() > kMaxCellWidth) {
    text.resize(kMaxCellWidth);
    text += "...";
  }
  return text;
}

}  // namespace

std::string format_table(const json& rows) {
  const bool is_table = rows.is_array() && std::all_of(rows.begin(), rows.end(),
                                                       [](const json& row) { return row.is_object(); });
  if (!is_table || rows.empty()) {
    return "none\n";
  }
  std::vector<std::string> keys;
  for (const auto& [key, value] : rows.front().items()) {
    keys.push_back(key);
  }
  std::vector<std::vector<std::string>> lines;
  lines.push_back(keys);
  for (const json& row : rows) {
    std::vector<std::string> line;
    line.reserve(keys.size());
    for (const std::string& key : keys) {
      line.push_back(cell_text(row.value(key, json())));
    }
    lines.push_back(std::move(line));
  }
  std::vector<size_t> widths(keys.size());
  for (const auto& line : lines) {
    for (size_t column = 0; column < line.size(); ++column) {
      widths[column] = std::max(widths[column], line[column].size());
    }
  }
  std::string text;
  for (const auto& line : lines) {
    for (size_t column = 0; column < line.size(); ++column) {
      text += line[column];
      text.append(widths[column] - line[column].size() + kColumnGap, ' ');
    }
    text.erase(text.find_last_not_of(' ') + 1);
    text += "\n";
  }
  return text;
}

}  // namespace stoat::ctl
