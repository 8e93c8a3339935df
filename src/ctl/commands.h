/// The commands of stoatctl.
#pragma once

#include <string>
#include <vector>

#include "src/common/settings.h"
#include "src/common/time.h"

namespace stoat::ctl {

/// Exit statuses of stoatctl. Listed in docs/OPERATIONS.md.
enum class ExitStatus : int {
  kDone = 0,
  kRefused = 1,      ///< a control member refused the call; explain: no log line names the request
  kBadInput = 2,     ///< wrong flags, arguments or file
  kUnreachable = 4,  ///< no control member answers, or there is no leader
};

/// Parsed command line of stoatctl.
struct CtlOptions {
  std::vector<Endpoint> members;  ///< administration addresses of control members
  Duration timeout{30s};          ///< how long failed calls are retried
  bool json = false;
  std::vector<std::string> arguments;
};

/// Runs one command. Prints its result to standard output and errors to standard error.
ExitStatus run_command(const CtlOptions& options);

/// One line for each command, for the help text.
std::string command_help();

}  // namespace stoat::ctl
