/// The main function shared by all server programs: loads the settings, runs a server on an event loop and
/// reloads the settings while it runs.
#pragma once

#include <sys/stat.h>

#include <csignal>
#include <iostream>
#include <utility>

#include "src/common/command_line.h"
#include "src/common/log.h"
#include "src/http/event_loop.h"

namespace stoat {

/// Modification time of a file as seconds and nanoseconds; {0, 0} when it does not exist.
inline std::pair<int64_t, int64_t> modification_time(const std::string& path) {
  struct stat status {};
  if (path.empty() || stat(path.c_str(), &status) != 0) {
    return {0, 0};
  }
  return {status.st_mtim.tv_sec, status.st_mtim.tv_nsec};
}

/// Reads the settings again and passes them to `server.reload(settings)` if the server has that method.
/// Invalid settings are logged and do not affect the server.
template <typename Server, typename Settings>
void reload_settings(const CommandLine& command_line, Settings (*read)(SettingsReader&), Server& server) {
  if constexpr (requires(const Settings& settings) { server.reload(settings); }) {
    const Logger log("settings");
    Findings findings;
    SettingsReader reader =
        SettingsReader::load(command_line.settings_file, command_line.overrides, findings);
    const Settings settings = read(reader);
    reader.report_unknown_keys();
    if (!findings.empty()) {
      log.error("not taken", {{"findings", findings.to_text()}});
      return;
    }
    log.info("read again");
    server.reload(settings);
  }
}

/// Reads the settings, runs `Server(loop, settings)` until it stops its loop, and returns the exit status. If
/// the server throws on construction, prints the error to standard error and returns 1. The settings are
/// reloaded on SIGHUP and when the modification time of the settings file changes.
template <typename Server, typename Settings>
int run_server_program(int argc, const char** argv, const char* program, const char* description,
                       Settings (*read)(SettingsReader&)) {
  constexpr Duration kSettingsCheckInterval = 1s;
  constexpr Duration kLogFlushInterval = 1s;
  const CommandLine command_line = parse_command_line(argc, argv, program, description);
  const auto settings = load_program_settings<Settings>(command_line, read);
  try {
    EventLoop loop;
    Server server(loop, settings);
    loop.on_signal(SIGHUP, [&] { reload_settings(command_line, read, server); });
    auto known_modification = modification_time(command_line.settings_file);
    if (!command_line.settings_file.empty()) {
      loop.every(kSettingsCheckInterval, [&] {
        const auto current_modification = modification_time(command_line.settings_file);
        if (current_modification != known_modification) {
          known_modification = current_modification;
          reload_settings(command_line, read, server);
        }
      });
    }
    loop.every(kLogFlushInterval, [] { flush_logs(); });
    loop.run();
    flush_logs();
  } catch (const std::exception& error) {
    std::cerr << program << ": " << error.what() << "\n";
    return 1;
  }
  return 0;
}

}  // namespace stoat
