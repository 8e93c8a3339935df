/// The main function that all serving programs share: settings, an event loop, one server on it.
#pragma once

#include <iostream>

#include "src/common/command_line.h"
#include "src/http/event_loop.h"

namespace stoat {

/// Reads the settings, runs `Server(loop, settings)` until it stops its loop, and gives the exit status. A
/// server that can't be made is reported on standard error with status 1.
template <typename Server, typename Settings>
int run_server_program(int argc, const char** argv, const char* program, const char* description,
                       Settings (*read)(SettingsReader&)) {
  const CommandLine command_line = parse_command_line(argc, argv, program, description);
  const auto settings = load_program_settings<Settings>(command_line, read);
  try {
    EventLoop loop;
    const Server server(loop, settings);
    loop.run();
  } catch (const std::exception& error) {
    std::cerr << program << ": " << error.what() << "\n";
    return 1;
  }
  return 0;
}

}  // namespace stoat
