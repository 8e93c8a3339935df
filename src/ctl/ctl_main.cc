/// stoatctl: the command line tool for operators.
#include <popt.h>

#include <cstdlib>
#include <iostream>
#include <sstream>

#include "src/common/command_line.h"
#include "src/ctl/commands.h"

namespace {

using stoat::ctl::CtlOptions;

std::string value_or_default(const char* value, const std::string& fallback) {
  return value == nullptr ? fallback : value;
}

std::string environment_variable(const char* name) {
  const char* value = std::getenv(name);
  return value == nullptr ? "" : value;
}

/// Parses a comma-separated list of "address:port"; prints an error and returns false if one is malformed.
bool parse_members(const std::string& list, CtlOptions& options) {
  std::istringstream stream(list);
  for (std::string member; std::getline(stream, member, ',');) {
    stoat::Endpoint endpoint;
    if (!stoat::parse_endpoint(member, endpoint)) {
      std::cerr << "stoatctl: --control: '" << member << "' is not ADDRESS:PORT\n";
      return false;
    }
    options.members.push_back(endpoint);
  }
  return true;
}

}  // namespace

int main(int argc, const char** argv) {
  CtlOptions options;
  char* control = nullptr;
  int json = 0;
  int version = 0;
  long long timeout_s = std::chrono::duration_cast<std::chrono::seconds>(options.timeout).count();
  const poptOption table[] = {
      {"control", 'c', POPT_ARG_STRING, &control, 0, "administration addresses (or STOAT_CONTROL)",
       "ADDRESS:PORT,..."},
      {"json", 'j', POPT_ARG_NONE, &json, 0, "print JSON", nullptr},
      {"timeout", 't', POPT_ARG_LONGLONG, &timeout_s, 0, "repeat calls for so long", "SECONDS"},
      {"version", 'V', POPT_ARG_NONE, &version, 0, "print the version and stop", nullptr},
      POPT_AUTOHELP POPT_TABLEEND};
  poptContext context = poptGetContext("stoatctl", argc, argv, table, 0);
  const std::string help = "[OPTION...] COMMAND\n\nCommands:\n" + stoat::ctl::command_help();
  poptSetOtherOptionHelp(context, help.c_str());
  const int result = poptGetNextOpt(context);
  if (result < -1) {
    std::cerr << "stoatctl: " << poptBadOption(context, POPT_BADOPTION_NOALIAS) << ": "
              << poptStrerror(result) << "\nTry 'stoatctl --help'.\n";
    return stoat::kExitBadInput;
  }
  if (version != 0) {
    std::cout << "stoatctl " << STOAT_VERSION << "\n";
    return 0;
  }
  while (const char* argument = poptGetArg(context)) {
    options.arguments.emplace_back(argument);
  }
  options.json = json != 0;
  options.timeout = std::chrono::seconds(timeout_s);
  const std::string members = value_or_default(control, environment_variable("STOAT_CONTROL"));
  if (!parse_members(members.empty() ? "127.0.0.1:7001" : members, options)) {
    return stoat::kExitBadInput;
  }
  const auto status = stoat::ctl::run_command(options);
  poptFreeContext(context);
  return static_cast<int>(status);
}
