/// Kinds of work of a control member's event loop.
#pragma once

#include <cstdint>

#include "src/common/work_meter.h"

namespace stoat::control {

enum class MemberWork : uint8_t {
  kLog,             ///< the replicated log: consensus, commands, confirmed reads
  kConfigurations,  ///< configurations on their way to routers
  kRouterStatus,    ///< statuses and reports of routers, and the answers
  kFeeds,           ///< feeds of running state to routers
  kPeers,           ///< soft state from and to the other members
  kHeartbeats,      ///< heartbeats of backends
  kCaches,          ///< choice of the caches to follow, and their events
  kUpkeep,          ///< expiry, counts and other periodic work
  kCount
};

inline const char* to_text(MemberWork work) {
  switch (work) {
    case MemberWork::kLog:
      return "log";
    case MemberWork::kConfigurations:
      return "configurations";
    case MemberWork::kRouterStatus:
      return "router_status";
    case MemberWork::kFeeds:
      return "feeds";
    case MemberWork::kPeers:
      return "peers";
    case MemberWork::kHeartbeats:
      return "heartbeats";
    case MemberWork::kCaches:
      return "caches";
    case MemberWork::kUpkeep:
      return "upkeep";
    case MemberWork::kCount:
      break;
  }
  return "unknown";
}

using MemberWorkMeter = WorkMeter<MemberWork>;

}  // namespace stoat::control
