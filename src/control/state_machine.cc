#include "src/control/state_machine.h"

#include <type_traits>
#include <utility>

namespace stoat::control {

CommandResult StateMachine::apply(const Command& command) {
  if (const auto* start = std::get_if<fleet::StartServiceRollout>(&command.value)) {
    return apply_rollout_start(*start);
  }
  const auto apply_to_fleet = [this](const auto& fleet_command) {
    if constexpr (!std::is_same_v<std::decay_t<decltype(fleet_command)>, ExpireClaims>) {
      fleet_.apply(fleet_command);
    }
  };
  std::visit(apply_to_fleet, command.value);
  return {};
}

CommandResult StateMachine::apply_rollout_start(const fleet::StartServiceRollout& start) {
  CommandResult result;
  switch (fleet_.apply(start)) {
    case fleet::RolloutOrderResult::kAccepted:
      break;
    case fleet::RolloutOrderResult::kUnknownService:
      result.code = ResultCode::kInvalid;
      result.message = "service: '" + start.service + "' is no service with back ends";
      break;
    case fleet::RolloutOrderResult::kRolloutInProgress:
      result.code = ResultCode::kRolloutInProgress;
      result.message =
          "a rollout to '" + fleet_.rollouts().at(start.service).target_version + "' is under way";
      break;
  }
  return result;
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
