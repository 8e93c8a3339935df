/// Command line options common to all server programs: --settings, --set, --check, --log-level, --help,
/// --version.
#pragma once

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "src/common/settings.h"

namespace stoat {

/// Exit status after invalid flags or settings.
inline constexpr int kExitBadInput = 2;

/// Parsed command line of a program.
struct CommandLine {
  std::string settings_file;           ///< empty when none was given
  std::vector<std::string> overrides;  ///< "key=value" strings, in command line order
  bool check_only = false;             ///< exit after validating the settings
  std::string log_level = "info";
  std::vector<std::string> arguments;  ///< positional arguments
};

/// Parses the command line and configures logging. For --help, --version and invalid flags, prints the
/// corresponding text and exits.
CommandLine parse_command_line(int argc, const char** argv, const std::string& program,
                               const std::string& description);

/// Loads the settings through `read`. If there are findings, prints all of them and exits with kExitBadInput.
/// Exits with 0 after --check.
template <typename Settings>
Settings load_program_settings(const CommandLine& command_line,
                               const std::function<Settings(SettingsReader&)>& read);

/// If there are findings, prints them to standard error and exits with kExitBadInput; otherwise exits with 0
/// if --check was given.
void exit_if_invalid_or_check(const CommandLine& command_line, const Findings& findings);

template <typename Settings>
Settings load_program_settings(const CommandLine& command_line,
                               const std::function<Settings(SettingsReader&)>& read) {
  Findings findings;
  SettingsReader reader = SettingsReader::load(command_line.settings_file, command_line.overrides, findings);
  Settings settings = read(reader);
  reader.report_unknown_keys();
  exit_if_invalid_or_check(command_line, findings);
  return settings;
}

}  // namespace stoat
