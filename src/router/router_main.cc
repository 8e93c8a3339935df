/// stoat-router: admission, placement, dispatch and retries for the requests of sidecars.
#include "src/common/server_program.h"
#include "src/router/router_server.h"

int main(int argc, const char** argv) {
  using namespace stoat;
  return run_server_program<router::RouterServer>(
      argc, argv, "stoat-router", "Decides which engine runs a request, whether it waits, or is refused.",
      router::read_router_settings);
}
