/// Versions of the protocol between routers and control members. A process states the version that it speaks
/// in its periodic messages. Builds from before the versions state none, which is read as 0.
#pragma once

#include <cstdint>

namespace stoat::fleet {

using ProtocolVersion = uint32_t;

/// The first version in which members read compact heartbeats and rollout commands, routers obey rollouts,
/// and leaders answer permit requests.
inline constexpr ProtocolVersion kStatedVersions = 1;

/// The version that this build speaks.
inline constexpr ProtocolVersion kProtocolVersion = kStatedVersions;

}  // namespace stoat::fleet
