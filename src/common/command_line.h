/// The command line that all programs share: --settings, --set, --check, --log-level, --help, --version.
#pragma once

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "src/common/settings.h"

namespace stoat {

/// Exit status of a program that was given wrong flags or settings.
inline constexpr int kExitBadInput = 2;

/// What was given on a program's command line.
struct CommandLine {
  std::string settings_file;
  std::vector<std::string> overrides;  ///< "key=value" texts, in order
  bool check_only = false;             ///< stop after the settings were found good
  std::string log_level = "info";
  std::vector<std::string> arguments;  ///< what is not a flag
};

/// Parses the flags. Prints help, version or the error, and exits, where that is what was asked for.
CommandLine parse_command_line(int argc, const char** argv, const std::string& program,
                               const std::string& description);

/// Parses flags, loads the settings through `read`, and prints all findings and exits with kExitBadInput when
/// there are any. Exits with 0 after --check.
template <typename Settings>
Settings load_program_settings(const CommandLine& command_line,
                               const std::function<Settings(SettingsReader&)>& read);

/// Prints the findings to standard error and exits with kExitBadInput when there are any; exits with 0 after
/// --check.
void finish_settings(const CommandLine& command_line, const Findings& findings);

template <typename Settings>
Settings load_program_settings(const CommandLine& command_line,
                               const std::function<Settings(SettingsReader&)>& read) {
  Findings findings;
  SettingsReader reader = SettingsReader::load(command_line.settings_file, command_line.overrides, findings);
  Settings settings = read(reader);
  reader.report_unknown_keys();
  finish_settings(command_line, findings);
  return settings;
}

}  // namespace stoat
