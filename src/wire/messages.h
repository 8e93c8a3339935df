/// Typed messages between the system's own processes.
#pragma once

#include <string>

#include "src/consensus/message.h"
#include "src/control/command.h"
#include "src/fleet/fleet_messages.h"
#include "src/wire/codec.h"

namespace stoat::wire {

/// Control member to the leader: propose a command.
struct ControlCall {
  uint64_t call_id = 0;
  control::Command command;
  MSGPACK_DEFINE_ARRAY(call_id, command)
};

/// Why a control call got no result.
enum class CallStatus : uint8_t { kDone, kNotLeader, kUnavailable };

/// Leader to control member: how the call ended.
struct ControlResponse {
  uint64_t call_id = 0;
  CallStatus status = CallStatus::kDone;
  control::CommandResult result;
  MSGPACK_DEFINE_ARRAY(call_id, status, result)
};

/// Control member to control member.
struct PeerMessage {
  consensus::Message message;
  MSGPACK_DEFINE_ARRAY(message)
};

/// Control member that is in no member list to its peers: I ask to be taken in.
struct JoinRequest {
  consensus::Member member;
  MSGPACK_DEFINE_ARRAY(member)
};

/// Any message. New alternatives go at the end.
using Message = TaggedVariant<ControlCall, ControlResponse, PeerMessage, JoinRequest, fleet::RouterStatus,
                              fleet::FleetUpdate, fleet::PeerUpdate, fleet::ConfirmedRead,
                              fleet::ConfirmedReadResponse, fleet::MemberAddresses, fleet::PlacementUpdate,
                              fleet::FleetFeedUpdate, fleet::RouterLoads, fleet::ConfirmationRequest,
                              fleet::ConfirmationResponse, fleet::PermitRequest, fleet::PermitResponse>;

}  // namespace stoat::wire

MSGPACK_ADD_ENUM(stoat::wire::CallStatus);
