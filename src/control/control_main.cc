/// stoat-control: a control member, with the administration interface and the directory of routers.
#include "src/common/server_program.h"
#include "src/control/control_program.h"

int main(int argc, const char** argv) {
  using namespace stoat;
  return run_server_program<control::ControlProgram>(
      argc, argv, "stoat-control",
      "A control member, with the administration interface and the directory of routers.",
      control::read_control_program_settings);
}
