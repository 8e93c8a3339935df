#include "src/control/state_machine.h"

#include <map>
#include <optional>
#include <tuple>
#include <type_traits>
#include <utility>
#include <vector>

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

namespace {

using EmptyMap = std::map<uint32_t, uint32_t>;
using EmptyList = std::vector<uint32_t>;
using EmptyRecord = std::tuple<EmptyList>;
using RemovedList = wire::RemovedField<EmptyList>;
using RemovedMap = wire::RemovedField<EmptyMap>;

/// The encoded form of the state. The removed fields are those that earlier builds read before the fleet.
struct SavedState {
  wire::RemovedField<std::tuple<uint64_t, EmptyMap, EmptyMap, EmptyMap, EmptyRecord>> configuration = {};
  RemovedList changes = {};
  RemovedList history = {};
  RemovedList answers = {};
  RemovedMap orders = {};
  RemovedMap claims = {};
  RemovedMap closed_attempts = {};
  std::optional<fleet::FleetState> fleet;  ///< never missing in a valid encoding
  MSGPACK_DEFINE_ARRAY(configuration, changes, history, answers, orders, claims, closed_attempts, fleet)
};

}  // namespace

std::string StateMachine::save() const {
  SavedState saved;
  saved.fleet = fleet_;
  return wire::encode(saved);
}

bool StateMachine::load(const std::string& bytes) {
  if (auto saved = wire::decode<SavedState>(bytes); saved && saved->fleet) {
    fleet_ = std::move(*saved->fleet);
    return true;
  }
  // Disks of some builds hold the state of the fleet alone.
  constexpr size_t kFleetFields = 6;
  const auto fields = wire::decode<std::vector<msgpack::object>>(bytes);
  auto fleet = wire::decode<fleet::FleetState>(bytes);
  if (!fields || fields->size() != kFleetFields || !fleet) {
    return false;
  }
  fleet_ = std::move(*fleet);
  return true;
}

}  // namespace stoat::control
