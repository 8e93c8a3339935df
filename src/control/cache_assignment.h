/// Assigns each KV cache and each backend to one control member: the member that reads the cache's events and
/// receives the backend's heartbeats. The nearest member is chosen, so that events and heartbeats do not
/// cross zones needlessly; rendezvous hashing decides between equally near ones. Members that see the same
/// live members compute the same assignment.
#pragma once

#include <string>
#include <vector>

#include "src/topology/topology.h"

namespace stoat::control {

/// A control member that is currently reachable.
struct LiveMember {
  std::string address;  ///< of the internal protocol; identifies the member
  std::string zone;
  bool operator==(const LiveMember&) const = default;
};

/// The address of the member responsible for a cache or a backend; empty when `members` is empty. `holder`:
/// id of the backend, or address of the KV store. `zone`: where the holder runs.
std::string responsible_member(const std::string& holder, const std::string& zone,
                               const std::vector<LiveMember>& members, const topology::Topology& topology);

}  // namespace stoat::control
