/// stoatctl explain: reconstructs what happened to one request from the logs of the processes that handled
/// it.
#pragma once

#include <iosfwd>
#include <string>
#include <vector>

#include "src/common/findings.h"
#include "src/common/log_line.h"

namespace stoat::ctl {

/// A log line and its position.
struct LocatedLine {
  std::string file;
  size_t line_number = 0;  ///< counted from 1
  LogLine line;
};

/// What the logs contain about one request.
struct Explanation {
  std::vector<LocatedLine> request_lines;  ///< log lines of the request, ordered by time
  /// Fleet events from 2 s before the first line of the request until its last line, ordered by time.
  std::vector<LocatedLine> related_events;
  std::string summary;  ///< outcome of the request and its causes
};

/// Appends the lines of a log to `lines`. Malformed lines become findings with their position.
void read_log(std::istream& input, const std::string& file, std::vector<LocatedLine>& lines,
              Findings& findings);

/// Builds the explanation of a request from the log lines of all processes.
Explanation explain(const std::string& request_id, const std::vector<LocatedLine>& lines);

/// Describes a log line as a phrase. A line of an unknown kind is described by its message and fields.
std::string describe(const LogLine& line);

/// Reads the log files and prints the explanation to `output` and findings to `errors`. Returns false if no
/// line names the request.
bool print_explanation(const std::string& request_id, const std::vector<std::string>& files,
                       std::ostream& output, std::ostream& errors);

}  // namespace stoat::ctl
