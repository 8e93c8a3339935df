/// standin-backend: a simulated inference engine or plain service for tests and demos. See docs/STANDINS.md.
#include "src/common/server_program.h"
#include "standins/backend_server.h"

int main(int argc, const char** argv) {
  using namespace stoat;
  return run_server_program<standins::BackendServer>(
      argc, argv, "standin-backend", "A simulated inference engine or plain service, for tests and demos.",
      standins::read_backend_settings);
}
