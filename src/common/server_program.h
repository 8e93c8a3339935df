/// The main function that all serving programs share: settings, an event loop, one server on it, and settings
/// that change while it runs.
#pragma once

#include <sys/stat.h>

#include <csignal>
#include <iostream>
#include <utility>

#include "src/common/command_line.h"
#include "src/common/log.h"
#include "src/http/event_loop.h"

namespace stoat {

/// When a settings file was last changed; {0, 0} when there is none.
inline std::pair<int64_t, int64_t> modification_time(const std::string& path) {
  struct stat status {};
  if (path.empty() || stat(path.c_str(), &status) != 0) {
    return {0, 0};
  }
  return {status.st_mtim.tv_sec, status.st_mtim.tv_nsec};
}

/// Reads the settings again and hands them to `server.reload(settings)`, where it has that. Settings with
/// findings are reported and leave the server as it is.
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

/// Reads the settings, runs `Server(loop, settings)` until it stops its loop, and gives the exit status. A
/// server that can't be made is reported on standard error with status 1. On SIGHUP, and when the settings
/// file is found changed, the settings are read again.
template <typename Server, typename Settings>
int run_server_program(int argc, const char** argv, const char* program, const char* description,
                       Settings (*read)(SettingsReader&)) {
  constexpr Duration kFileCheck = 1s;
  constexpr Duration kLogFlush = 1s;
  const CommandLine command_line = parse_command_line(argc, argv, program, description);
  const auto settings = load_program_settings<Settings>(command_line, read);
  try {
    EventLoop loop;
    Server server(loop, settings);
    loop.on_signal(SIGHUP, [&] { reload_settings(command_line, read, server); });
    auto seen = modification_time(command_line.settings_file);
    if (!command_line.settings_file.empty()) {
      loop.every(kFileCheck, [&] {
        const auto present = modification_time(command_line.settings_file);
        if (present != seen) {
          seen = present;
          reload_settings(command_line, read, server);
        }
      });
    }
    loop.every(kLogFlush, [] { flush_logs(); });
    loop.run();
    flush_logs();
  } catch (const std::exception& error) {
    std::cerr << program << ": " << error.what() << "\n";
    return 1;
  }
  return 0;
}

}  // namespace stoat
