/// Which control member follows which cache: one in the cache's zone where there is one, so that events cross
/// no zone, else any, by rendezvous order. All members that hear the same members come to the same result.
#pragma once

#include <string>
#include <vector>

namespace stoat::control {

/// A control member that is heard.
struct LiveMember {
  std::string address;  ///< internal; identifies it
  std::string zone;
};

/// The address of the member that is to follow a cache; empty when there is none.
std::string follower_of(const std::string& holder, const std::string& zone,
                        const std::vector<LiveMember>& members);

}  // namespace stoat::control
