/// standin-backend: a stand-in of an engine or of a plain service. See docs/STANDINS.md.
#include "src/common/server_program.h"
#include "standins/backend_server.h"

int main(int argc, const char** argv) {
  using namespace stoat;
  return run_server_program<standins::BackendServer>(argc, argv, "standin-backend",
                                                     "A stand-in of an engine or of a plain service.",
                                                     standins::read_backend_settings);
}
