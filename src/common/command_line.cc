#include "src/common/command_line.h"

#include <popt.h>

#include <cstdlib>
#include <iostream>

#include "src/common/log.h"

namespace stoat {

namespace {

enum Option { kSettings = 1, kSet, kCheck, kLogLevel, kVersion };

}  // namespace

CommandLine parse_command_line(int argc, const char** argv, const std::string& program,
                               const std::string& description) {
  CommandLine result;
  const poptOption options[] = {
      {"settings", 's', POPT_ARG_STRING, nullptr, kSettings, "TOML settings file", "FILE"},
      {"set", 'S', POPT_ARG_STRING, nullptr, kSet, "override one setting of the file; may be repeated",
       "KEY=VALUE"},
      {"check", 'c', POPT_ARG_NONE, nullptr, kCheck, "validate the settings, print all findings and exit",
       nullptr},
      {"log-level", 'l', POPT_ARG_STRING, nullptr, kLogLevel, "debug, info, warning or error", "LEVEL"},
      {"version", 'V', POPT_ARG_NONE, nullptr, kVersion, "print the version and stop", nullptr},
      POPT_AUTOHELP POPT_TABLEEND};
  poptContext context = poptGetContext(program.c_str(), argc, argv, options, 0);
  poptSetOtherOptionHelp(context, ("[OPTION...]\n" + description).c_str());
  int option = 0;
  while ((option = poptGetNextOpt(context)) > 0) {
    char* raw_argument = poptGetOptArg(context);
    const std::string argument = raw_argument == nullptr ? "" : raw_argument;
    std::free(raw_argument);
    switch (option) {
      case kSettings:
        result.settings_file = argument;
        break;
      case kSet:
        result.overrides.push_back(argument);
        break;
      case kCheck:
        result.check_only = true;
        break;
      case kLogLevel:
        result.log_level = argument;
        break;
      default:
        std::cout << program << " " << STOAT_VERSION << "\n";
        poptFreeContext(context);
        std::exit(0);
    }
  }
  if (option < -1) {
    std::cerr << program << ": " << poptBadOption(context, POPT_BADOPTION_NOALIAS) << ": "
              << poptStrerror(option) << "\nTry '" << program << " --help'.\n";
    std::exit(kExitBadInput);
  }
  while (const char* argument = poptGetArg(context)) {
    result.arguments.emplace_back(argument);
  }
  poptFreeContext(context);
  configure_logging(result.log_level);
  return result;
}

void exit_if_invalid_or_check(const CommandLine& command_line, const Findings& findings) {
  if (!findings.empty()) {
    std::cerr << findings.to_text();
    std::exit(kExitBadInput);
  }
  if (command_line.check_only) {
    std::cout << "settings are valid\n";
    std::exit(0);
  }
}

}  // namespace stoat
