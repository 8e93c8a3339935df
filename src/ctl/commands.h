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
  kRefused = 1,      ///< a control member refused it
  kBadInput = 2,     ///< wrong flags, arguments or file
  kUnreachable = 4,  ///< no control member answers, or none leads
};

/// What was given on the command line.
struct CtlOptions {
  std::vector<Endpoint> members;  ///< administration addresses
  Duration timeout{30s};          ///< calls are repeated for so long
  bool json = false;
  std::vector<std::string> arguments;
};

/// Runs one command; prints its result to standard output and errors to standard error.
ExitStatus run_command(const CtlOptions& options);

/// One line for each command, for the help text.
std::string command_help();

}  // namespace stoat::ctl
