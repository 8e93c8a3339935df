/// Findings: everything that is wrong with an input, each with its place, collected and reported together.
#pragma once

#include <string>
#include <vector>

namespace stoat {

/// One thing wrong with an input.
struct Finding {
  std::string file;  ///< file name, or a flag such as "--set"
  int line = 0;      ///< 1-based; 0 where the input has no lines
  int column = 0;    ///< 1-based; 0 where unknown
  std::string key;   ///< settings key, CSV column or JSON field; may be empty
  std::string message;
};

/// "file:line:column: key: message", leaving out the parts that are unknown.
std::string to_string(const Finding& finding);

/// A list of findings that grows while an input is checked.
class Findings {
 public:
  void add(Finding finding) { list_.push_back(std::move(finding)); }
  bool empty() const { return list_.empty(); }
  const std::vector<Finding>& list() const { return list_; }
  /// All findings, one to a line.
  std::string to_text() const;

 private:
  std::vector<Finding> list_;
};

}  // namespace stoat
