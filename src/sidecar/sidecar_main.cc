/// stoat-sidecar: the callers' HTTP interface, beside each caller.
#include "src/common/server_program.h"
#include "src/sidecar/sidecar_server.h"

int main(int argc, const char** argv) {
  using namespace stoat;
  return run_server_program<sidecar::SidecarServer>(argc, argv, "stoat-sidecar",
                                                    "The callers' HTTP interface, beside each caller.",
                                                    sidecar::read_sidecar_settings);
}
