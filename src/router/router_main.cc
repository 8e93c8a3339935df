/// stoat-router: admission, placement, dispatch and retries for the requests of sidecars.
#include <iostream>

#include "src/router/router_server.h"

int main(int argc, const char** argv) {
  using namespace stoat;
  const CommandLine command_line = parse_command_line(
      argc, argv, "stoat-router", "Decides which engine runs a request, whether it waits, or is refused.");
  const auto settings =
      load_program_settings<router::RouterSettings>(command_line, router::read_router_settings);
  try {
    EventLoop loop;
    const router::RouterServer server(loop, settings);
    loop.run();
  } catch (const std::exception& error) {
    std::cerr << "stoat-router: " << error.what() << "\n";
    return 1;
  }
  return 0;
}
