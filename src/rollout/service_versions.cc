#include "src/rollout/service_versions.h"

#include <algorithm>
#include <cmath>

#include "src/common/hash.h"

namespace stoat::rollout {

namespace {

/// A router that has had no confirmed word for so long gives the target version nothing while it is on trial:
/// it may be taken back by now. Routers hear of confirmations each 400 ms.
constexpr Duration kMaxConfirmationAge = 2s;
/// So much of the share goes to routes by their requests, the rest to each route alike.
constexpr double kProportionalPart = 0.5;
/// The most of one route's requests that go to a version on trial.
constexpr double kMaxRouteShare = 0.3;
/// Requests, spread evenly over the routes, that a router counts in before it has seen any.
constexpr double kPriorRequests = 20;

}  // namespace

int VersionLimits::rank(const std::string& version) const {
  if (wanted == Preference::kAny) {
    return 0;
  }
  const bool target = version == rollout->target_version;
  if (wanted == Preference::kTarget) {
    return target ? 0 : allow_fallback ? 1 : kNever;
  }
  if (target) {
    return allow_fallback ? 2 : kNever;
  }
  const auto& active = rollout->active_versions;
  const bool is_active = active.empty() || std::find(active.begin(), active.end(), version) != active.end();
  return is_active ? 0 : 1;
}

bool ServiceVersions::take(const std::vector<fleet::ServiceRollout>& rollouts) {
  bool has_newer = false;
  for (const fleet::ServiceRollout& received : rollouts) {
    fleet::ServiceRollout& known = rollouts_[received.service];
    if (std::make_pair(received.id, received.step) > std::make_pair(known.id, known.step)) {
      known = received;
      has_newer = true;
    }
  }
  return has_newer;
}

const fleet::ServiceRollout* ServiceVersions::find(const std::string& service) const {
  const auto found = rollouts_.find(service);
  return found == rollouts_.end() ? nullptr : &found->second;
}

double share_of_route(double share, double route_fraction, size_t routes) {
  const double evenly = (1 - kProportionalPart) * share / (static_cast<double>(routes) * route_fraction);
  return std::min(std::max(share, kMaxRouteShare), kProportionalPart * share + evenly);
}

bool ServiceVersions::draw(const std::string& service, const std::string& route, double random_value,
                           TimePoint now) {
  const fleet::ServiceRollout* rollout = find(service);
  if (rollout == nullptr || rollout->phase != fleet::RolloutPhase::kTrial) {
    return false;
  }
  RouteCounts& counts = counts_[service];
  if (counts.id != rollout->id) {
    counts = {};
    counts.id = rollout->id;
  }
  ++counts.all;
  const auto route_count = static_cast<double>(++counts.by_route[route]);
  const auto routes = static_cast<double>(counts.by_route.size());
  const double route_fraction =
      (route_count + kPriorRequests / routes) / (static_cast<double>(counts.all) + kPriorRequests);
  if (now - confirmed_at_ > kMaxConfirmationAge) {
    return false;
  }
  return random_value < share_of_route(rollout->share, route_fraction, counts.by_route.size());
}

VersionLimits ServiceVersions::limits(const std::string& service, bool sampled) const {
  const fleet::ServiceRollout* rollout = find(service);
  if (rollout == nullptr) {
    return {};
  }
  using Preference = VersionLimits::Preference;
  // A version that is the only one serves, whatever is not known of it; else the service would be down.
  const bool is_only_version = rollout->active_versions.empty();
  switch (rollout->phase) {
    case fleet::RolloutPhase::kTrial:
      if (sampled) {
        return {Preference::kTarget, true, rollout};
      }
      return {Preference::kOthers, is_only_version, rollout};
    case fleet::RolloutPhase::kWaiting:
      return {Preference::kOthers, is_only_version, rollout};
    case fleet::RolloutPhase::kSwitching:
    case fleet::RolloutPhase::kCompleted:
      return {Preference::kTarget, true, rollout};
    case fleet::RolloutPhase::kReturning:
    case fleet::RolloutPhase::kRolledBack:
      break;
  }
  return {Preference::kOthers, false, rollout};
}

size_t sample_size(double share, size_t backends) {
  constexpr double kRounding = 1e-6;
  const double even = std::ceil(share * static_cast<double>(backends) - kRounding);
  return std::max<size_t>(1, static_cast<size_t>(even));
}

std::vector<std::string> sample_of(std::vector<std::string> ids, const fleet::ServiceRollout& rollout) {
  if (rollout.spread) {
    return ids;
  }
  const size_t wanted = sample_size(rollout.share, ids.size());
  if (ids.size() <= wanted) {
    return ids;
  }
  // With each step it is the turn of others, so that the failures of one can be told from the version's.
  std::vector<std::pair<uint64_t, std::string>> ranked;
  ranked.reserve(ids.size());
  for (std::string& id : ids) {
    const uint64_t rank = hash_pair(rollout.id + rollout.step, hash_bytes(id));
    ranked.emplace_back(rank, std::move(id));
  }
  std::partial_sort(ranked.begin(), ranked.begin() + static_cast<std::ptrdiff_t>(wanted), ranked.end());
  ids.resize(wanted);
  for (size_t index = 0; index < wanted; ++index) {
    ids[index] = std::move(ranked[index].second);
  }
  return ids;
}

}  // namespace stoat::rollout
