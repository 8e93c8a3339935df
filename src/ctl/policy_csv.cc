#include "src/ctl/policy_csv.h"

#include <csv.h>

#include <array>
#include <cmath>
#include <map>
#include <set>
#include <sstream>

namespace stoat::ctl {

namespace {

using control::PolicyRow;
using control::PolicyTable;
using control::RowKind;

constexpr std::array<const char*, 9> kColumns{
    "kind",       "name",          "share",     "priority", "requests_per_second", "tokens_per_second",
    "concurrent", "queue_time_ms", "repeatable"};
constexpr double kMaxRate = 1e9;
constexpr double kMaxPriority = 1000;
constexpr double kMaxQueueTimeMs = 600000;

/// One cell and where it stood. Rows and columns count from 1, as spreadsheets count them.
struct Cell {
  std::string text;
  int row = 0;
  int column = 0;
};

/// Splits text into rows of cells by libcsv.
class CellReader {
 public:
  std::vector<std::vector<Cell>> read(const std::string& text, std::string& error) {
    csv_parser parser;
    csv_init(&parser, CSV_STRICT | CSV_STRICT_FINI);
    const auto on_field = [](void* bytes, size_t length, void* context) {
      static_cast<CellReader*>(context)->add_cell(std::string(static_cast<char*>(bytes), length));
    };
    const auto on_row = [](int, void* context) { static_cast<CellReader*>(context)->end_row(); };
    const size_t parsed = csv_parse(&parser, text.data(), text.size(), on_field, on_row, this);
    if (parsed != text.size() || csv_fini(&parser, on_field, on_row, this) != 0) {
      error = csv_strerror(csv_error(&parser));
    }
    csv_free(&parser);
    return std::move(rows_);
  }
  int row() const { return row_; }

 private:
  void add_cell(std::string text) {
    cells_.push_back({std::move(text), row_, static_cast<int>(cells_.size()) + 1});
  }
  void end_row() {
    rows_.push_back(std::move(cells_));
    cells_.clear();
    ++row_;
  }

  std::vector<std::vector<Cell>> rows_;
  std::vector<Cell> cells_;
  int row_ = 1;
};

/// Turns cells into a row of the table.
class RowParser {
 public:
  RowParser(std::string file, Findings& findings) : file_(std::move(file)), findings_(findings) {}

  bool read_header(const std::vector<Cell>& header) {
    for (const Cell& cell : header) {
      const bool known = std::find(kColumns.begin(), kColumns.end(), cell.text) != kColumns.end();
      if (!known) {
        add(cell, cell.text, "is not a column of the table");
      } else if (!columns_.emplace(cell.text, cell.column - 1).second) {
        add(cell, cell.text, "stands twice");
      }
    }
    for (const char* required : {"kind", "name"}) {
      if (columns_.count(required) == 0) {
        findings_.add({file_, 1, 0, required, "this column must be given"});
      }
    }
    return columns_.count("kind") > 0 && columns_.count("name") > 0;
  }

  PolicyRow read_row(const std::vector<Cell>& cells) {
    PolicyRow row;
    const Cell kind = cell_of(cells, "kind");
    if (kind.text != "tenant" && kind.text != "service") {
      add(kind, "kind", "must be tenant or service, not '" + kind.text + "'");
    }
    row.kind = kind.text == "service" ? RowKind::kService : RowKind::kTenant;
    const Cell name = cell_of(cells, "name");
    row.name = name.text;
    if (row.name.empty()) {
      add(name, "name", "must not be empty");
    } else if (!seen_.emplace(row.kind, row.name).second) {
      add(name, "name", "'" + row.name + "' has a row already");
    }
    row.share = number(cells, "share", row.share, 0.001, kMaxRate, false);
    row.priority =
        static_cast<int32_t>(number(cells, "priority", row.priority, -kMaxPriority, kMaxPriority, true));
    row.requests_per_second = number(cells, "requests_per_second", 0, 0, kMaxRate, false);
    row.tokens_per_second = number(cells, "tokens_per_second", 0, 0, kMaxRate, false);
    row.concurrent = static_cast<int32_t>(number(cells, "concurrent", 0, 0, kMaxRate, true));
    row.queue_time_ms =
        static_cast<int32_t>(number(cells, "queue_time_ms", row.queue_time_ms, 0, kMaxQueueTimeMs, true));
    row.repeatable = truth(cells, "repeatable");
    return row;
  }

  void check_width(const std::vector<Cell>& cells, size_t header_width) {
    if (cells.size() > header_width) {
      add(cells[header_width], "", "has no column in the first row");
    }
  }

 private:
  Cell cell_of(const std::vector<Cell>& cells, const std::string& column) const {
    const auto found = columns_.find(column);
    if (found == columns_.end()) {
      return {};
    }
    const auto position = static_cast<size_t>(found->second);
    return position < cells.size() ? cells[position] : Cell{"", cells.front().row, found->second + 1};
  }

  double number(const std::vector<Cell>& cells, const std::string& column, double fallback, double low,
                double high, bool whole) {
    const Cell cell = cell_of(cells, column);
    if (cell.text.empty()) {
      return fallback;
    }
    char* end = nullptr;
    const double value = std::strtod(cell.text.c_str(), &end);
    const bool is_number = end != cell.text.c_str() && *end == '\0' && std::isfinite(value);
    if (!is_number || value < low || value > high || (whole && value != std::floor(value))) {
      std::ostringstream message;
      message << "must be a " << (whole ? "whole " : "") << "number from " << low << " to " << high
              << ", not '" << cell.text << "'";
      add(cell, column, message.str());
      return fallback;
    }
    return value;
  }

  bool truth(const std::vector<Cell>& cells, const std::string& column) {
    const Cell cell = cell_of(cells, column);
    if (cell.text.empty() || cell.text == "yes" || cell.text == "true" || cell.text == "TRUE") {
      return true;
    }
    if (cell.text != "no" && cell.text != "false" && cell.text != "FALSE") {
      add(cell, column, "must be yes or no, not '" + cell.text + "'");
    }
    return false;
  }

  void add(const Cell& cell, const std::string& key, const std::string& message) {
    findings_.add({file_, cell.row, cell.column, key, message});
  }

  std::string file_;
  Findings& findings_;
  std::map<std::string, int> columns_;
  std::set<std::pair<RowKind, std::string>> seen_;
};

std::string quote_cell(const std::string& text) {
  std::string quoted(csv_write(nullptr, 0, text.data(), text.size()), '\0');
  csv_write(quoted.data(), quoted.size(), text.data(), text.size());
  return text.find_first_of(",\"\n") == std::string::npos ? text : quoted;
}

std::string row_line(const PolicyRow& row) {
  std::ostringstream line;
  line << (row.kind == RowKind::kTenant ? "tenant" : "service") << "," << quote_cell(row.name) << ","
       << row.share << "," << row.priority << "," << row.requests_per_second << "," << row.tokens_per_second
       << "," << row.concurrent << "," << row.queue_time_ms << "," << (row.repeatable ? "yes" : "no");
  return line.str();
}

}  // namespace

PolicyTable parse_policy_csv(const std::string& file, const std::string& text, Findings& findings) {
  CellReader reader;
  std::string error;
  // A byte order mark, which some spreadsheets write first, is skipped.
  const std::string content = text.starts_with("\xEF\xBB\xBF") ? text.substr(3) : text;
  const std::vector<std::vector<Cell>> rows = reader.read(content, error);
  if (!error.empty()) {
    findings.add({file, reader.row(), 0, "", error});
  }
  PolicyTable table;
  RowParser parser(file, findings);
  if (rows.empty()) {
    findings.add({file, 1, 0, "", "the first row must name the columns"});
    return table;
  }
  if (!parser.read_header(rows.front())) {
    return table;
  }
  for (size_t row = 1; row < rows.size(); ++row) {
    const bool blank =
        std::all_of(rows[row].begin(), rows[row].end(), [](const Cell& cell) { return cell.text.empty(); });
    if (!blank) {
      parser.check_width(rows[row], rows.front().size());
      table.rows.push_back(parser.read_row(rows[row]));
    }
  }
  return table;
}

std::string to_policy_csv(const PolicyTable& table) {
  std::string text;
  for (const char* column : kColumns) {
    text += (text.empty() ? "" : ",") + std::string(column);
  }
  text += "\n";
  for (const PolicyRow& row : table.rows) {
    text += row_line(row) + "\n";
  }
  return text;
}

std::string diff_tables(const PolicyTable& before, const PolicyTable& after) {
  std::string text;
  const auto lines_missing_from = [&text](const PolicyTable& from, const PolicyTable& other,
                                          const char* mark) {
    for (const PolicyRow& row : from.rows) {
      if (std::find(other.rows.begin(), other.rows.end(), row) == other.rows.end()) {
        text += mark + row_line(row) + "\n";
      }
    }
  };
  lines_missing_from(before, after, "- ");
  lines_missing_from(after, before, "+ ");
  return text;
}

}  // namespace stoat::ctl
