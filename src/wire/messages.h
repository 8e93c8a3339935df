/// Typed messages between the processes of the system.
#pragma once

#include <string>

#include "src/consensus/message.h"
#include "src/control/command.h"
#include "src/fleet/fleet_messages.h"
#include "src/wire/codec.h"

namespace stoat::wire {

/// From a control member to the leader: proposes a command.
struct ControlCall {
  uint64_t call_id = 0;
  control::Command command;
  MSGPACK_DEFINE_ARRAY(call_id, command)
};

/// Outcome of a control call.
enum class CallStatus : uint8_t { kDone, kNotLeader, kUnavailable };

/// From the leader to a control member: the outcome of its call.
struct ControlResponse {
  uint64_t call_id = 0;
  CallStatus status = CallStatus::kDone;
  control::CommandResult result;
  MSGPACK_DEFINE_ARRAY(call_id, status, result)
};

/// From one control member to another: a consensus message.
struct PeerMessage {
  consensus::Message message;
  MSGPACK_DEFINE_ARRAY(message)
};

/// From a control member that is not in the member list to its peers: requests to be added.
struct JoinRequest {
  consensus::Member member;
  MSGPACK_DEFINE_ARRAY(member)
};

/// Any message. New alternatives must be added at the end.
using Message = TaggedVariant<ControlCall, ControlResponse, PeerMessage, JoinRequest, fleet::RouterStatus,
                              fleet::FleetUpdate, fleet::PeerUpdate, fleet::ConfirmedRead,
                              fleet::ConfirmedReadResponse, fleet::MemberAddresses, fleet::PlacementUpdate,
                              fleet::FleetFeedUpdate, fleet::RouterLoads, fleet::ConfirmationRequest,
                              fleet::ConfirmationResponse, fleet::PermitRequest, fleet::PermitResponse>;

}  // namespace stoat::wire

MSGPACK_ADD_ENUM(stoat::wire::CallStatus);
