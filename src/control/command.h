/// The commands of the replicated log, and the results of applying them.
#pragma once

#include <string>

#include "src/fleet/fleet_state.h"
#include "src/wire/codec.h"

namespace stoat::control {

/// Any command.
using Command = wire::TaggedVariant<
    wire::ReservedTags<>, wire::Alternative<0, fleet::PutConfiguration>,
    wire::Alternative<1, fleet::SetTargetWeights>, wire::Alternative<2, fleet::RetireBackend>,
    wire::Alternative<3, fleet::StartServiceRollout>, wire::Alternative<4, fleet::StepServiceRollout>>;

/// Outcome of applying a command. Members of other builds send 1, 3 and 4 with other meanings.
enum class ResultCode : uint8_t {
  kOk = 0,
  kInvalid = 2,            ///< the command contradicts the state; `message` gives the reason
  kRolloutInProgress = 5,  ///< another rollout of the service is in progress; `message` names it
};

/// Result of applying a command, returned to its caller.
struct CommandResult {
  ResultCode code = ResultCode::kOk;
  std::string message;
  wire::RemovedField<uint64_t> version = {};
  wire::RemovedField<uint8_t> claim_state = {};
  wire::RemovedField<std::string> outcome = {};
  MSGPACK_DEFINE_ARRAY(code, version, claim_state, outcome, message)
};

}  // namespace stoat::control

MSGPACK_ADD_ENUM(stoat::control::ResultCode);
