/// stoat-control: a member of the replicated control log.
#include <iostream>

#include "src/control/control_server.h"

int main(int argc, const char** argv) {
  using namespace stoat;
  const CommandLine command_line = parse_command_line(
      argc, argv, "stoat-control",
      "A member of the replicated control log: configuration, orders, membership and claims.");
  const auto settings =
      load_program_settings<control::ControlSettings>(command_line, control::read_control_settings);
  try {
    EventLoop loop;
    const control::ControlServer server(loop, settings);
    loop.run();
  } catch (const std::exception& error) {
    std::cerr << "stoat-control: " << error.what() << "\n";
    return 1;
  }
  return 0;
}
