/// stoat-router: accepts client requests and sends each to the backend that can serve it best.
#include "src/common/server_program.h"
#include "src/gateway/router_program.h"

int main(int argc, const char** argv) {
  using namespace stoat;
  return run_server_program<gateway::RouterProgram>(
      argc, argv, "stoat-router",
      "Accepts client requests and sends each to the backend that can serve it best.",
      gateway::read_router_program_settings);
}
