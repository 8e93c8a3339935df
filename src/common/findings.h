/// Findings: all errors in an input, each with its position, collected and reported together.
#pragma once

#include <string>
#include <vector>

namespace stoat {

/// One error in an input.
struct Finding {
  std::string file;  ///< file name, or a flag such as "--set"
  int line = 0;      ///< 1-based; 0 where the input has no lines
  int column = 0;    ///< 1-based; 0 where unknown
  std::string key;   ///< settings key, CSV column or JSON field; may be empty
  std::string message;
};

/// Formats a finding as "file:line:column: key: message", omitting unknown parts.
std::string to_string(const Finding& finding);

/// The findings collected while an input is validated.
class Findings {
 public:
  void add(Finding finding) { list_.push_back(std::move(finding)); }
  bool empty() const { return list_.empty(); }
  const std::vector<Finding>& list() const { return list_; }
  /// All findings, one per line.
  std::string to_text() const;

 private:
  std::vector<Finding> list_;
};

}  // namespace stoat
