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
  RemovedField<std::string> leader = {};
  MSGPACK_DEFINE_ARRAY(call_id, status, leader, result)
};

/// From one control member to another: a consensus message.
struct PeerMessage {
  consensus::Message message;
  MSGPACK_DEFINE_ARRAY(message)
};

/// From a control member that is not in the member list to its peers: requests to be added.
struct JoinRequest {
  consensus::Member member;
  RemovedField<bool> is_blank = {};
  MSGPACK_DEFINE_ARRAY(member, is_blank)
};

/// Tags of the messages of a request path that no longer exists.
using ReservedMessageTags = ReservedTags<0, 1, 2, 3, 4, 5, 8, 9, 10, 11, 12, 13, 16, 17, 18>;

/// Any message between processes.
using Message =
    TaggedVariant<ReservedMessageTags, Alternative<6, ControlCall>, Alternative<7, ControlResponse>,
                  Alternative<14, PeerMessage>, Alternative<15, JoinRequest>,
                  Alternative<19, fleet::RouterStatus>, Alternative<20, fleet::FleetUpdate>,
                  Alternative<21, fleet::PeerUpdate>, Alternative<22, fleet::ConfirmedRead>,
                  Alternative<23, fleet::ConfirmedReadResponse>, Alternative<24, fleet::MemberAddresses>,
                  Alternative<25, fleet::PlacementUpdate>, Alternative<26, fleet::FleetFeedUpdate>,
                  Alternative<27, fleet::RouterLoads>, Alternative<28, fleet::ConfirmationRequest>,
                  Alternative<29, fleet::ConfirmationResponse>, Alternative<30, fleet::PermitRequest>,
                  Alternative<31, fleet::PermitResponse>, Alternative<32, fleet::ConfigurationRequest>,
                  Alternative<33, fleet::ConfigurationPart>, Alternative<34, fleet::StreamRecordBatch>,
                  Alternative<35, fleet::StreamRecordBatchResponse>,
                  Alternative<36, fleet::StreamRecordRequest>, Alternative<37, fleet::StreamRecordResponse>,
                  Alternative<38, fleet::SlotReport>, Alternative<39, fleet::SlotAnswer>,
                  Alternative<40, fleet::IncarnationRequest>, Alternative<41, fleet::IncarnationResponse>>;

}  // namespace stoat::wire

MSGPACK_ADD_ENUM(stoat::wire::CallStatus);
