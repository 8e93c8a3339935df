/// Which versions of a service's program a router sends requests to, by the orders in force. Free of I/O.
#pragma once

#include <limits>
#include <map>
#include <string>
#include <vector>

#include "src/common/time.h"
#include "src/fleet/service_rollout.h"

namespace stoat::rollout {

/// The versions that a request may go to: those of the lowest rank that a back end is there of.
struct VersionLimits {
  static constexpr int kNever = std::numeric_limits<int>::max();
  enum class Wanted : uint8_t { kAny, kTarget, kOthers };
  Wanted wanted = Wanted::kAny;
  bool may_fall_back = true;  ///< the versions that aren't wanted serve while nothing else is there
  const fleet::ServiceRollout* rollout = nullptr;  ///< with kTarget and kOthers

  /// 0 is the best; kNever: not at all.
  int rank(const std::string& version) const;
};

/// See the head of this file.
class ServiceVersions {
 public:
  /// Takes orders that are newer than those known. Returns true when one was.
  bool take(const std::vector<fleet::ServiceRollout>& rollouts);
  /// A quorum has confirmed what was told, so long ago as the moment says.
  void confirm(TimePoint confirmed_at) { confirmed_at_ = std::max(confirmed_at_, confirmed_at); }
  /// The last order of a service, or nullptr.
  const fleet::ServiceRollout* find(const std::string& service) const;
  const std::map<std::string, fleet::ServiceRollout>& all() const { return rollouts_; }

  /// Decides whether a request is of the share that goes to the target version. `unit`: a draw from [0, 1).
  bool draw(const std::string& service, const std::string& route, double unit, TimePoint now);
  /// `sampled`: the request is of that share.
  VersionLimits limits(const std::string& service, bool sampled) const;

 private:
  struct RouteCounts {
    uint64_t id = 0;  ///< of the order that they are of
    uint64_t all = 0;
    std::map<std::string, uint64_t> of;  ///< by route
  };
  std::map<std::string, fleet::ServiceRollout> rollouts_;  ///< by service
  std::map<std::string, RouteCounts> counts_;              ///< likewise
  TimePoint confirmed_at_{Duration::min()};
};

/// The share of one route's requests that goes to the target version, so that rare routes are seen as well
/// and the sum over all routes stays `share`. `part`: of the service's requests that the route has.
double trial_share_of_route(double share, double part, size_t routes);

/// How many of a version's back ends bear a share of the requests.
size_t sample_size(double share, size_t back_ends);

/// The back ends that bear the share, so that each bears as much as it would if its version had all: few, and
/// at all routers the same. `ids`: ready ones of the target version.
std::vector<std::string> sampled_backends(std::vector<std::string> ids, const fleet::ServiceRollout& rollout);

}  // namespace stoat::rollout
