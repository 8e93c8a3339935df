/// The replicated state. Applying the same commands in the same order gives the same state on every member.
#pragma once

#include <string>

#include "src/control/command.h"

namespace stoat::control {

/// Applies replicated commands to the state of the fleet.
class StateMachine {
 public:
  /// Applies one command. Must be deterministic.
  CommandResult apply(const Command& command);

  /// Encodes and restores the whole state. load() returns false and leaves the state unchanged when the bytes
  /// are malformed.
  std::string save() const;
  bool load(const std::string& bytes);

  const fleet::FleetState& fleet() const { return fleet_; }

 private:
  CommandResult apply_rollout_start(const fleet::StartServiceRollout& start);

  fleet::FleetState fleet_;
};

}  // namespace stoat::control
