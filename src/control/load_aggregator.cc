#include "src/control/load_aggregator.h"

namespace stoat::control {

using fleet::BackendLoad;

void LoadAggregator::add(const BackendLoad& load, BackendLoad& sum) {
  sum.outstanding += load.outstanding;
  sum.prefill_tokens += load.prefill_tokens;
}

void LoadAggregator::subtract(const BackendLoad& load, BackendLoad& sum) {
  sum.outstanding -= load.outstanding;
  sum.prefill_tokens -= load.prefill_tokens;
}

void LoadAggregator::set_router_loads(const std::string& router, const std::vector<BackendLoad>& loads) {
  std::vector<BackendLoad>& known = router_loads_[router];
  if (known == loads) {
    return;
  }
  std::map<std::string, bool> affected;
  for (const BackendLoad& load : known) {
    subtract(load, own_sums_[load.backend]);
    affected[load.backend] = true;
  }
  for (const BackendLoad& load : loads) {
    add(load, own_sums_[load.backend]);
    affected[load.backend] = true;
  }
  known = loads;
  for (const auto& [backend, changed] : affected) {
    changed_backends_[backend] = changed;
    update_total(backend);
  }
}

void LoadAggregator::forget_router(const std::string& router) {
  set_router_loads(router, {});
  router_loads_.erase(router);
}

void LoadAggregator::on_peer(const std::string& peer, const std::vector<BackendLoad>& changes) {
  Loads& sums = peer_sums_[peer];
  for (const BackendLoad& change : changes) {
    sums[change.backend] = change;
    update_total(change.backend);
  }
}

void LoadAggregator::forget_peer(const std::string& peer) {
  const auto found = peer_sums_.find(peer);
  if (found == peer_sums_.end()) {
    return;
  }
  const Loads sums = std::move(found->second);
  peer_sums_.erase(found);
  for (const auto& [backend, sum] : sums) {
    update_total(backend);
  }
}

void LoadAggregator::update_total(const std::string& backend) {
  BackendLoad total;
  total.backend = backend;
  const auto own = own_sums_.find(backend);
  if (own != own_sums_.end()) {
    add(own->second, total);
    if (own->second.outstanding == 0 && own->second.prefill_tokens == 0) {
      own_sums_.erase(own);
    }
  }
  for (auto& [peer, sums] : peer_sums_) {
    const auto sum = sums.find(backend);
    if (sum != sums.end()) {
      add(sum->second, total);
    }
  }
  if (total.outstanding == 0 && total.prefill_tokens == 0) {
    totals_.erase(backend);
  } else {
    totals_.set(backend, total);
  }
}

std::vector<BackendLoad> LoadAggregator::take_own_changes() {
  std::vector<BackendLoad> changes;
  for (const auto& [backend, changed] : changed_backends_) {
    const auto own = own_sums_.find(backend);
    changes.push_back(own == own_sums_.end() ? BackendLoad{backend, 0, 0} : own->second);
    changes.back().backend = backend;
  }
  changed_backends_.clear();
  return changes;
}

std::vector<BackendLoad> LoadAggregator::own_sums() const {
  std::vector<BackendLoad> sums;
  for (const auto& [backend, sum] : own_sums_) {
    sums.push_back(sum);
    sums.back().backend = backend;
  }
  return sums;
}

}  // namespace stoat::control
