/// The commands of stoatctl.
#pragma once

#include <string>
#include <vector>

#include "src/ctl/admin_connection.h"

namespace stoat::ctl {

/// Exit statuses of stoatctl. Listed in docs/OPERATIONS.md.
enum class ExitStatus : int {
  kDone = 0,
  kRefused = 1,        ///< the control members refused it, or the state forbids it
  kBadInput = 2,       ///< wrong flags, arguments or file
  kConflict = 3,       ///< another change came first
  kUnreachable = 4,    ///< no control member leads or answers
  kNotInForceYet = 5,  ///< --wait ran out of time
};

/// What was given on the command line.
struct CtlOptions {
  std::vector<Endpoint> members;
  std::string operator_key;
  std::string operator_name;
  std::string request_id;     ///< empty: a random one
  int64_t base_version = -1;  ///< -1: the present version
  std::string api_key;
  std::string sharing_group;
  std::string kind = "engine";
  std::string serves;
  std::string endpoint;
  std::string zone;
  std::string weights_version;
  std::string adapter;
  bool json = false;
  bool wait = false;
  int64_t timeout_s = 30;
  std::vector<std::string> arguments;
};

/// Runs one command; prints its result to standard output and errors to standard error.
ExitStatus run_command(const CtlOptions& options);

/// One line for each command, for the help text.
std::string command_help();

}  // namespace stoat::ctl
