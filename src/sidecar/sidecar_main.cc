/// stoat-sidecar: the callers' HTTP interface, beside each caller.
#include <iostream>

#include "src/sidecar/sidecar_server.h"

int main(int argc, const char** argv) {
  using namespace stoat;
  const CommandLine command_line =
      parse_command_line(argc, argv, "stoat-sidecar", "The callers' HTTP interface, beside each caller.");
  const auto settings =
      load_program_settings<sidecar::SidecarSettings>(command_line, sidecar::read_sidecar_settings);
  try {
    EventLoop loop;
    const sidecar::SidecarServer server(loop, settings);
    loop.run();
  } catch (const std::exception& error) {
    std::cerr << "stoat-sidecar: " << error.what() << "\n";
    return 1;
  }
  return 0;
}
