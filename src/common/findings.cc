#include "src/common/findings.h"

namespace stoat {

std::string to_string(const Finding& finding) {
  std::string text = finding.file;
  if (finding.line > 0) {
    text += ":" + std::to_string(finding.line);
  }
  if (finding.column > 0) {
    text += ":" + std::to_string(finding.column);
  }
  if (!text.empty()) {
    text += ": ";
  }
  if (!finding.key.empty()) {
    text += finding.key + ": ";
  }
  return text + finding.message;
}

std::string Findings::to_text() const {
  std::string text;
  for (const Finding& finding : list_) {
    text += to_string(finding) + "\n";
  }
  return text;
}

}  // namespace stoat
