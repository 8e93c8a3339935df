#include "src/rollout/service_versions.h"

#include <algorithm>
#include <cmath>

#include "src/common/hash.h"

namespace stoat::rollout {

namespace {

/// A router that has had no confirmed word for so long gives the target version nothing while it is on trial:
/// it may be taken back by now. Routers hear of confirmations each 400 ms.
constexpr Duration kTouchLimit = 2s;
/// So much of the share goes to routes by their requests, the rest to each route alike.
constexpr double kShareByRequests = 0.5;
/// The most of one route's requests that go to a version on trial.
constexpr double kMaxRouteShare = 0.3;
/// Requests, spread evenly over the routes, that a router counts in before it has seen any.
constexpr double kPriorRequests = 20;

}  // namespace

int VersionLimits::rank(const std::string& version) const {
  if (wanted == Wanted::kAny) {
    return 0;
  }
  const bool target = version == rollout->target_version;
  if (wanted == Wanted::kTarget) {
    return target ? 0 : may_fall_back ? 1 : kNever;
  }
  if (target) {
    return may_fall_back ? 2 : kNever;
  }
  const auto& active = rollout->active_versions;
  const bool ordered = active.empty() || std::find(active.begin(), active.end(), version) != active.end();
  return ordered ? 0 : 1;
}

bool ServiceVersions::take(const std::vector<fleet::ServiceRollout>& rollouts) {
  bool newer = false;
  for (const fleet::ServiceRollout& told : rollouts) {
    fleet::ServiceRollout& known = rollouts_[told.service];
    if (std::make_pair(told.id, told.step) > std::make_pair(known.id, known.step)) {
      known = told;
      newer = true;
    }
  }
  return newer;
}

const fleet::ServiceRollout* ServiceVersions::find(const std::string& service) const {
  const auto found = rollouts_.find(service);
  return found == rollouts_.end() ? nullptr : &found->second;
}

double trial_share_of_route(double share, double part, size_t routes) {
  const double evenly = (1 - kShareByRequests) * share / (static_cast<double>(routes) * part);
  return std::min(std::max(share, kMaxRouteShare), kShareByRequests * share + evenly);
}

bool ServiceVersions::draw(const std::string& service, const std::string& route, double unit, TimePoint now) {
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
  const auto own = static_cast<double>(++counts.of[route]);
  const auto routes = static_cast<double>(counts.of.size());
  const double part = (own + kPriorRequests / routes) / (static_cast<double>(counts.all) + kPriorRequests);
  if (now - confirmed_at_ > kTouchLimit) {
    return false;
  }
  return unit < trial_share_of_route(rollout->share, part, counts.of.size());
}

VersionLimits ServiceVersions::limits(const std::string& service, bool sampled) const {
  const fleet::ServiceRollout* rollout = find(service);
  if (rollout == nullptr) {
    return {};
  }
  using Wanted = VersionLimits::Wanted;
  // A version that is the only one serves, whatever is not known of it; else the service would be down.
  const bool only_one = rollout->active_versions.empty();
  switch (rollout->phase) {
    case fleet::RolloutPhase::kTrial:
      if (sampled) {
        return {Wanted::kTarget, true, rollout};
      }
      return {Wanted::kOthers, only_one, rollout};
    case fleet::RolloutPhase::kWaiting:
      return {Wanted::kOthers, only_one, rollout};
    case fleet::RolloutPhase::kSwitching:
    case fleet::RolloutPhase::kCompleted:
      return {Wanted::kTarget, true, rollout};
    case fleet::RolloutPhase::kRollingBack:
    case fleet::RolloutPhase::kRolledBack:
      break;
  }
  return {Wanted::kOthers, false, rollout};
}

size_t sample_size(double share, size_t back_ends) {
  constexpr double kRounding = 1e-6;
  const double even = std::ceil(share * static_cast<double>(back_ends) - kRounding);
  return std::max<size_t>(1, static_cast<size_t>(even));
}

std::vector<std::string> sampled_backends(std::vector<std::string> ids,
                                          const fleet::ServiceRollout& rollout) {
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
