/// The replicated state. Applying the same commands in the same order gives the same state on every member.
#pragma once

#include <string>

#include "src/control/command.h"

namespace stoat::control {

/// See the head of this file.
class StateMachine {
 public:
  /// Applies one command. Deterministic.
  CommandResult apply(const Command& command);

  /// The whole state as bytes, and back. load() leaves the state alone when the bytes are bad.
  std::string save() const;
  bool load(const std::string& bytes);

  const fleet::FleetState& fleet() const { return fleet_; }

 private:
  CommandResult apply_start(const fleet::StartServiceRollout& start);

  fleet::FleetState fleet_;
};

}  // namespace stoat::control
