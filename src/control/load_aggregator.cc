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
  std::vector<BackendLoad>& known = routers_[router];
  if (known == loads) {
    return;
  }
  std::map<std::string, bool> touched;
  for (const BackendLoad& load : known) {
    subtract(load, own_[load.backend]);
    touched[load.backend] = true;
  }
  for (const BackendLoad& load : loads) {
    add(load, own_[load.backend]);
    touched[load.backend] = true;
  }
  known = loads;
  for (const auto& [backend, changed] : touched) {
    changed_[backend] = changed;
    publish(backend);
  }
}

void LoadAggregator::forget_router(const std::string& router) {
  set_router_loads(router, {});
  routers_.erase(router);
}

void LoadAggregator::on_peer(const std::string& peer, const std::vector<BackendLoad>& changes) {
  Loads& sums = peers_[peer];
  for (const BackendLoad& change : changes) {
    sums[change.backend] = change;
    publish(change.backend);
  }
}

void LoadAggregator::forget_peer(const std::string& peer) {
  const auto found = peers_.find(peer);
  if (found == peers_.end()) {
    return;
  }
  const Loads sums = std::move(found->second);
  peers_.erase(found);
  for (const auto& [backend, sum] : sums) {
    publish(backend);
  }
}

void LoadAggregator::publish(const std::string& backend) {
  BackendLoad total;
  total.backend = backend;
  const auto own = own_.find(backend);
  if (own != own_.end()) {
    add(own->second, total);
    if (own->second.outstanding == 0 && own->second.prefill_tokens == 0) {
      own_.erase(own);
    }
  }
  for (auto& [peer, sums] : peers_) {
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
  for (const auto& [backend, changed] : changed_) {
    const auto own = own_.find(backend);
    changes.push_back(own == own_.end() ? BackendLoad{backend, 0, 0} : own->second);
    changes.back().backend = backend;
  }
  changed_.clear();
  return changes;
}

std::vector<BackendLoad> LoadAggregator::own_sums() const {
  std::vector<BackendLoad> sums;
  for (const auto& [backend, sum] : own_) {
    sums.push_back(sum);
    sums.back().backend = backend;
  }
  return sums;
}

}  // namespace stoat::control
