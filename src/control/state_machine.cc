#include "src/control/state_machine.h"

#include <utility>

namespace stoat::control {

CommandResult StateMachine::apply(const Command& command) {
  std::visit([this](const auto& fleet_command) { fleet_.apply(fleet_command); }, command.value);
  return {};
}

std::string StateMachine::save() const { return wire::encode(fleet_); }

bool StateMachine::load(const std::string& bytes) {
  auto saved = wire::decode<fleet::FleetState>(bytes);
  if (!saved) {
    return false;
  }
  fleet_ = std::move(*saved);
  return true;
}

}  // namespace stoat::control
