#include "src/rollout/service_versions.h"

#include <algorithm>
#include <cmath>

#include "src/common/hash.h"

namespace stoat::rollout {

namespace {

/// A router without a confirmation for longer than this sends nothing to a version on trial, which may have
/// been rolled back by then. Routers receive confirmations every 400 ms.
constexpr Duration kMaxConfirmationAge = 2s;
/// Fraction of the share that is distributed over routes in proportion to their requests; the rest is
/// distributed evenly over the routes.
constexpr double kProportionalPart = 0.5;
/// Maximum fraction of one route's requests that goes to a version on trial.
constexpr double kMaxRouteShare = 0.3;
/// Weight of the prior: requests, distributed evenly over the routes, that a router assumes before any are
/// counted.
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

bool ServiceVersions::store_newer(const std::vector<fleet::ServiceRollout>& rollouts) {
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

double trial_share_of_route(double share, double route_fraction, size_t routes) {
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
  return random_value < trial_share_of_route(rollout->share, route_fraction, counts.by_route.size());
}

bool ServiceVersions::may_go_on(const std::string& service, const std::string& version, TimePoint now) const {
  const fleet::ServiceRollout* rollout = find(service);
  if (rollout == nullptr || version != rollout->target_version) {
    return true;
  }
  switch (rollout->phase) {
    case fleet::RolloutPhase::kTrial:
      return now - confirmed_at_ <= kMaxConfirmationAge;
    case fleet::RolloutPhase::kWaiting:
    case fleet::RolloutPhase::kSwitching:
    case fleet::RolloutPhase::kCompleted:
      return true;
    case fleet::RolloutPhase::kRollingBack:
    case fleet::RolloutPhase::kRolledBack:
      break;
  }
  return false;
}

VersionLimits ServiceVersions::limits(const std::string& service, bool sampled) const {
  const fleet::ServiceRollout* rollout = find(service);
  if (rollout == nullptr) {
    return {};
  }
  using Preference = VersionLimits::Preference;
  // Without known active versions, the target version may be the only one. It serves even though nothing is
  // known of it; otherwise the service would be down.
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
    case fleet::RolloutPhase::kRollingBack:
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

std::vector<std::string> sampled_backends(std::vector<std::string> ids,
                                          const fleet::ServiceRollout& rollout) {
  if (rollout.all_backends) {
    return ids;
  }
  const size_t wanted = sample_size(rollout.share, ids.size());
  if (ids.size() <= wanted) {
    return ids;
  }
  // The selection changes with each step, so that failures of one backend can be distinguished from those of
  // the version.
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
