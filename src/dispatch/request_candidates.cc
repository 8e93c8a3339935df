/// ActiveRequest: which back ends a request may be sent to, out of the cell of its service.
#include <algorithm>

#include "src/common/hash.h"
#include "src/dispatch/active_request.h"

namespace stoat::dispatch {

std::optional<Duration> ActiveRequest::outdated_for(const Backend& backend) const {
  // Each version has its own limit: the lowest one above counts, however soon others followed.
  const auto wanted = context_.wanted.find(plan_.fields.model);
  if (wanted == context_.wanted.end()) {
    return std::nullopt;
  }
  return wanted->second.outdated_for(backend.record.version_of(plan_.fields.model), context_.loop.now());
}

ActiveRequest::Candidates ActiveRequest::find_candidates() const {
  const size_t known = context_.pool.count(plan_.service);
  const auto free = [](const BackendPtr& backend) { return backend->has_free_slot(); };
  // The back ends of a version on trial are few, and drawn from all.
  const bool on_trial = context_.versions.find(plan_.service) != nullptr;
  for (size_t size = on_trial ? known : kCellSize;; size *= kCellGrowth) {
    Candidates found;
    const auto cell = context_.pool.cell(plan_.service, cell_key(), size);
    sort_candidates(of_wanted_version(cell), found);
    if (size >= known || std::any_of(found.usable.begin(), found.usable.end(), free)) {
      return found;
    }
  }
}

uint64_t ActiveRequest::cell_key() const {
  return chain_.links.empty() ? hash_bytes(plan_.fields.id) : placement::shared_key(chain_);
}

std::vector<BackendPtr> ActiveRequest::present_in_cell(size_t candidates) const {
  return context_.pool.cell(plan_.service, cell_key(), std::max(kCellSize, candidates),
                            fleet::BackendState::kDraining);
}

std::vector<BackendPtr> ActiveRequest::serving_in_cell() const {
  return context_.pool.cell(plan_.service, cell_key(), kCellSize);
}

void ActiveRequest::sort_candidates(const std::vector<BackendPtr>& among, Candidates& candidates) const {
  const fleet::Service* service = plan_.table->service(plan_.service);
  const TimePoint now = context_.loop.now();
  for (const BackendPtr& backend : among) {
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
    if (!backend->rest.may_send(backend->outstanding, now)) {
      if (sound) {
        candidates.resting.push_back(backend);
      }
      continue;
    }
    // The limit holds for all routers together, which only the leader of control can see.
    if (!context_.limits.may_send(record.id, now)) {
      if (sound) {
        candidates.limited.push_back(backend);
      }
      continue;
    }
    (sound ? candidates.usable : candidates.doubtful).push_back(backend);
  }
}

}  // namespace stoat::dispatch
