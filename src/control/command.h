/// Commands that go through the replicated log, and the results that applying them gives.
#pragma once

#include <string>

#include "src/fleet/fleet_state.h"
#include "src/wire/codec.h"

namespace stoat::control {

/// Any command. New alternatives go at the end.
using Command = wire::TaggedVariant<fleet::PutConfiguration, fleet::SetTargetWeights, fleet::RetireBackend,
                                    fleet::StartServiceRollout, fleet::StepServiceRollout>;

/// How a command ended.
enum class ResultCode : uint8_t {
  kOk,
  kInvalid,            ///< the command contradicts the state; `message` says how
  kRolloutInProgress,  ///< another order of its kind runs; `message` says which
};

/// The result of a command.
struct CommandResult {
  ResultCode code = ResultCode::kOk;
  std::string message;
  MSGPACK_DEFINE_ARRAY(code, message)
};

}  // namespace stoat::control

MSGPACK_ADD_ENUM(stoat::control::ResultCode);
