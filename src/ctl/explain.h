/// stoatctl explain: what happened to one request, from the logs of the processes that saw it.
#pragma once

#include <iosfwd>
#include <string>
#include <vector>

#include "src/common/findings.h"
#include "src/common/log_line.h"

namespace stoat::ctl {

/// A line of a log and where it stands.
struct PlacedLine {
  std::string file;
  size_t number = 0;  ///< from 1
  LogLine line;
};

/// What the logs tell of one request.
struct Explanation {
  std::vector<PlacedLine> request;  ///< lines that name it, in order of time
  std::vector<PlacedLine> around;   ///< changes of the fleet's view while it was under way
  std::string conclusion;           ///< one log_message
};

/// Takes the lines of a log. Lines that are no log lines become findings with their place.
void read_log(std::istream& input, const std::string& file, std::vector<PlacedLine>& lines,
              Findings& findings);

/// Puts the story of a request together from the lines of all processes.
Explanation explain(const std::string& request, const std::vector<PlacedLine>& lines);

/// One line in plain words.
std::string in_words(const LogLine& line);

/// Reads the files and prints the explanation; findings go to `errors`. False when no line names the request.
bool print_explanation(const std::string& request, const std::vector<std::string>& files,
                       std::ostream& output, std::ostream& errors);

}  // namespace stoat::ctl
