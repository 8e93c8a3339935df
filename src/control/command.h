/// The commands of the replicated log, and the results of applying them.
#pragma once

#include <string>

#include "src/fleet/fleet_state.h"
#include "src/wire/codec.h"

namespace stoat::control {

/// Any command. New alternatives go at the end, since the encoding contains the index of the alternative.
using Command = wire::TaggedVariant<fleet::PutConfiguration, fleet::SetTargetWeights, fleet::RetireBackend,
                                    fleet::StartServiceRollout, fleet::StepServiceRollout>;

/// Outcome of applying a command.
enum class ResultCode : uint8_t {
  kOk,
  kInvalid,            ///< the command contradicts the state; `message` gives the reason
  kRolloutInProgress,  ///< another rollout of the service is in progress; `message` names it
};

/// Result of applying a command, returned to its caller.
struct CommandResult {
  ResultCode code = ResultCode::kOk;
  std::string message;
  MSGPACK_DEFINE_ARRAY(code, message)
};

}  // namespace stoat::control

MSGPACK_ADD_ENUM(stoat::control::ResultCode);
