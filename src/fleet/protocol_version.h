/// Versions of the protocol between routers and control members. A process states the version that it speaks
/// in its periodic messages. A build that states none is read as version 0.
#pragma once

#include <cstdint>

namespace stoat::fleet {

using ProtocolVersion = uint32_t;

/// The first version that processes state. From it on members read compact heartbeats and rollout commands,
/// routers obey rollouts, and leaders answer permit requests.
inline constexpr ProtocolVersion kFirstStatedVersion = 1;

/// The version that this build speaks.
inline constexpr ProtocolVersion kProtocolVersion = kFirstStatedVersion;

}  // namespace stoat::fleet
