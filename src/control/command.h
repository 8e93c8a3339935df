/// The commands of the replicated log, and the results of applying them.
#pragma once

#include <string>

#include "src/fleet/fleet_state.h"
#include "src/wire/codec.h"

namespace stoat::control {

/// Written by members of earlier builds at intervals; has no effect.
struct ExpireClaims {
  int64_t before_ms = 0;
  MSGPACK_DEFINE_ARRAY(before_ms)
};

/// Any command. The tags 0 to 4 are read from the disks of builds that wrote them.
using Command = wire::TaggedVariant<
    wire::ReservedTags<>, wire::Alternative<5, ExpireClaims>,
    wire::Alternative<6, fleet::PutConfiguration, 0>, wire::Alternative<7, fleet::SetTargetWeights, 1>,
    wire::Alternative<8, fleet::RetireBackend, 2>, wire::Alternative<9, fleet::StartServiceRollout, 3>,
    wire::Alternative<10, fleet::StepServiceRollout, 4>>;

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
