/// stoat-control: a control member, with the administration API and the router directory.
#include "src/common/server_program.h"
#include "src/control/control_program.h"

int main(int argc, const char** argv) {
  using namespace stoat;
  return run_server_program<control::ControlProgram>(
      argc, argv, "stoat-control", "A control member, with the administration API and the router directory.",
      control::read_control_program_settings);
}
