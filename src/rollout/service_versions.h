/// Selects the program versions that a router sends requests to, according to the current rollouts. Performs
/// no I/O.
#pragma once

#include <limits>
#include <map>
#include <string>
#include <vector>

#include "src/common/time.h"
#include "src/fleet/service_rollout.h"

namespace stoat::rollout {

/// Preference among versions for one request: it goes to the available version with the lowest rank.
struct VersionLimits {
  static constexpr int kNever = std::numeric_limits<int>::max();
  enum class Preference : uint8_t { kAny, kTarget, kOthers };
  Preference wanted = Preference::kAny;
  bool allow_fallback = true;  ///< other versions may serve while no preferred one is available
  const fleet::ServiceRollout* rollout = nullptr;  ///< set with kTarget and kOthers

  /// Rank of a version; 0 is the best, kNever excludes it.
  int rank(const std::string& version) const;
};

/// The rollouts known to one router, and the selection of versions by them.
class ServiceVersions {
 public:
  /// Stores the rollouts that are newer than the known ones. Returns true if there was any.
  bool store_newer(const std::vector<fleet::ServiceRollout>& rollouts);
  /// Records when a quorum last confirmed the known rollouts.
  void confirm(TimePoint confirmed_at) { confirmed_at_ = std::max(confirmed_at_, confirmed_at); }
  /// The last rollout of a service, or nullptr.
  const fleet::ServiceRollout* find(const std::string& service) const;
  const std::map<std::string, fleet::ServiceRollout>& all() const { return rollouts_; }

  /// Decides whether a request is in the share that goes to the target version. `random_value`: uniform in
  /// [0, 1).
  bool draw(const std::string& service, const std::string& route, double random_value, TimePoint now);
  /// Whether a stream that began at this version of a service may go on there: a version that is rolled back,
  /// or may have been, gets nothing more.
  bool may_go_on(const std::string& service, const std::string& version, TimePoint now) const;
  /// The version preference for a request. `sampled`: the result of draw().
  VersionLimits limits(const std::string& service, bool sampled) const;

 private:
  struct RouteCounts {
    uint64_t id = 0;  ///< id of the rollout that the counts belong to
    uint64_t all = 0;
    std::map<std::string, uint64_t> by_route;  ///< requests by route
  };
  std::map<std::string, fleet::ServiceRollout> rollouts_;  ///< by service
  std::map<std::string, RouteCounts> counts_;              ///< by service
  TimePoint confirmed_at_{Duration::min()};
};

/// The fraction of one route's requests that goes to the target version. Rare routes get more than `share` so
/// that they are tested as well, while the average over all requests stays `share`. `route_fraction`: the
/// route's part of the service's requests.
double trial_share_of_route(double share, double route_fraction, size_t routes);

/// Number of a version's backends that get a share of the requests; at least 1.
size_t sample_size(double share, size_t backends);

/// Selects the backends that get the share: few, so that each bears the load that it would have if its
/// version had all traffic, and the same ones at every router. `ids`: ready backends of the target version.
std::vector<std::string> sampled_backends(std::vector<std::string> ids, const fleet::ServiceRollout& rollout);

}  // namespace stoat::rollout
