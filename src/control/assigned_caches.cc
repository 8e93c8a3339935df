#include "src/control/assigned_caches.h"

namespace stoat::control {

bool AssignedCaches::update(const BackendTable& backends, const StoreZones& stores,
                            const std::vector<LiveMember>& members, TimePoint now) {
  const bool full = members != members_ || stores != stores_ || !backends.can_update_from(revision_) ||
                    last_full_evaluation_ == TimePoint(0) ||
                    now - last_full_evaluation_ > kFullEvaluationInterval;
  if (full) {
    members_ = members;
    stores_ = stores;
    last_full_evaluation_ = now;
    evaluate_all(backends);
    return true;
  }
  const auto apply_change = [&](const std::string& id, const fleet::BackendRecord* record) {
    if (record != nullptr) {
      evaluate_backend(id, *record);
    } else if (holders_.erase(id) > 0) {
      assigned_.erase(id);
      removed_.push_back(id);
    }
  };
  revision_ = backends.visit_since(revision_, SIZE_MAX, apply_change);
  return false;
}

void AssignedCaches::evaluate_all(const BackendTable& backends) {
  holders_.clear();
  assigned_.clear();
  removed_.clear();
  for (const auto& [address, zone] : stores_) {
    evaluate(address, address, zone, true);
  }
  backends.visit_all(
      [&](const std::string& id, const fleet::BackendRecord& record) { evaluate_backend(id, record); });
  revision_ = backends.revision();
}

void AssignedCaches::evaluate_backend(const std::string& id, const fleet::BackendRecord& record) {
  if (!record.models.empty() && holders_.count(id) == 0) {
    evaluate(id, record.address, record.zone, false);
  }
}

void AssignedCaches::evaluate(const std::string& holder, const std::string& address, const std::string& zone,
                              bool store) {
  ++evaluations_;
  holders_.insert(holder);
  if (responsible_member(holder, zone, members_, topology_) == self_) {
    assigned_[holder] = {address, store};
  }
}

}  // namespace stoat::control
