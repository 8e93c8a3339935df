/// ActiveRequest: selects the backends that a request may be sent to from its subset of the service.
#include <algorithm>

#include "src/common/hash.h"
#include "src/dispatch/active_request.h"

namespace stoat::dispatch {

std::optional<Duration> ActiveRequest::outdated_for(const Backend& backend) const {
  // The age counts from the announcement of the lowest newer version, even if later versions followed soon.
  const auto wanted = context_.announced_weights.find(plan_.fields.model);
  if (wanted == context_.announced_weights.end()) {
    return std::nullopt;
  }
  return wanted->second.outdated_for(backend.record.version_of(plan_.fields.model), context_.loop.now());
}

ActiveRequest::Candidates ActiveRequest::find_candidates() const {
  const size_t known = context_.pool.count(plan_.service);
  const auto free = [](const BackendPtr& backend) { return backend->has_free_slot(); };
  // The sample of a version on trial is small, and drawn from all backends of the service.
  const bool on_trial = context_.versions.find(plan_.service) != nullptr;
  for (size_t size = on_trial ? known : kSubsetSize;; size *= kSubsetGrowthFactor) {
    Candidates found;
    const auto subset = context_.pool.subset(plan_.service, subset_key(), size);
    classify_candidates(filter_by_version(subset), found);
    if (size >= known || std::any_of(found.usable.begin(), found.usable.end(), free)) {
      return found;
    }
  }
}

uint64_t ActiveRequest::subset_key() const {
  return chain_.prompt_parts.empty() ? hash_bytes(plan_.fields.id) : placement::shared_key(chain_);
}

std::vector<BackendPtr> ActiveRequest::cache_sources_in_subset(size_t candidates) const {
  return context_.pool.subset(plan_.service, subset_key(), std::max(kSubsetSize, candidates),
                              fleet::BackendState::kDraining);
}

std::vector<BackendPtr> ActiveRequest::ready_in_subset() const {
  return context_.pool.subset(plan_.service, subset_key(), kSubsetSize);
}

void ActiveRequest::classify_candidates(const std::vector<BackendPtr>& considered,
                                        Candidates& candidates) const {
  const fleet::Service* service = plan_.table->service(plan_.service);
  const TimePoint now = context_.loop.now();
  for (const BackendPtr& backend : considered) {
    const fleet::BackendRecord& record = backend->record;
    if (record.loading || tried_.count(record.id) > 0) {
      continue;
    }
    if (outdated_for(*backend).value_or(Duration(0)) > context_.old_weights_timeout) {
      continue;
    }
    if (service != nullptr && service->connection_limit > 0 && backend->idle.empty() &&
        backend->connections >=
            std::max<size_t>(2, service->connection_limit / (context_.router_count + 1))) {
      continue;
    }
    const bool sound = context_.pool.is_sound(*backend);
    if (!backend->backoff.may_send(backend->outstanding, now)) {
      if (sound) {
        candidates.backing_off.push_back(backend);
      }
      continue;
    }
    if (needs_slot(*backend)) {
      if (sound) {
        candidates.brittle_first = candidates.brittle_first || candidates.usable.empty();
        candidates.brittle.push_back(backend);
      }
      continue;
    }
    // The limit applies to all routers together, so permits come from the leader of the control plane.
    if (!context_.limits.may_send(record.id, now)) {
      if (sound) {
        candidates.limited.push_back(backend);
      }
      continue;
    }
    (sound ? candidates.usable : candidates.unhealthy).push_back(backend);
  }
}

}  // namespace stoat::dispatch
