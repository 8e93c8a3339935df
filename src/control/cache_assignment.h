/// Which control member follows which cache, and hears which back end: the nearest one, so that events and
/// heartbeats cross no zone where they need not; of several that are as near one by rendezvous order. All
/// members that hear the same members come to the same result.
#pragma once

#include <string>
#include <vector>

#include "src/topology/topology.h"

namespace stoat::control {

/// A control member that is heard.
struct LiveMember {
  std::string address;  ///< internal; identifies it
  std::string zone;
  bool operator==(const LiveMember&) const = default;
};

/// The address of the member that is to follow a cache, or to hear a back end; empty when there is none.
std::string responsible_member(const std::string& holder, const std::string& zone,
                               const std::vector<LiveMember>& members, const topology::Topology& topology);

}  // namespace stoat::control
