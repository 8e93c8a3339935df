/// stoat-router: takes callers' requests and runs each at the back end where it is served best.
#include "src/common/server_program.h"
#include "src/gateway/router_program.h"

int main(int argc, const char** argv) {
  using namespace stoat;
  return run_server_program<gateway::RouterProgram>(
      argc, argv, "stoat-router",
      "Takes callers' requests and runs each at the back end where it is served best.",
      gateway::read_router_program_settings);
}
