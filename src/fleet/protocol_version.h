/// Versions of the protocol between routers and control members. A process states the version that it speaks
/// in its periodic messages. A build that states none is read as version 0.
#pragma once

#include <cstdint>

namespace stoat::fleet {

using ProtocolVersion = uint32_t;

/// The first version that processes state. From it on members read compact heartbeats and rollout commands,
/// routers obey rollouts, and leaders answer permit requests.
inline constexpr ProtocolVersion kFirstStatedVersion = 1;

/// From this version on, members announce configurations and routers request them. Earlier routers are sent
/// whole configurations unasked.
inline constexpr ProtocolVersion kFirstFetchingVersion = 2;

/// From this version on, routers relay connections to backends for one another, and members tell them which
/// do.
inline constexpr ProtocolVersion kFirstRelayingVersion = 3;

/// From this version on, members keep records of streams for routers.
inline constexpr ProtocolVersion kFirstStreamRecordVersion = 4;

/// From this version on, leaders lease the slots of brittle backends to routers.
inline constexpr ProtocolVersion kFirstSlotLeaseVersion = 5;

/// From this version on, routers and members tell which incarnations of a backend they know.
inline constexpr ProtocolVersion kFirstIncarnationLookupVersion = 6;

/// The version that this build speaks.
inline constexpr ProtocolVersion kProtocolVersion = kFirstIncarnationLookupVersion;

}  // namespace stoat::fleet
