/// stoat-control: a member of the replicated control log.
#include "src/common/server_program.h"
#include "src/control/control_server.h"

int main(int argc, const char** argv) {
  using namespace stoat;
  return run_server_program<control::ControlServer>(
      argc, argv, "stoat-first-control",
      "A member of the replicated control log: configuration, orders, membership and claims.",
      control::read_control_settings);
}
