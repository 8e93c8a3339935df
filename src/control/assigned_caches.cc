#include "src/control/assigned_caches.h"

namespace stoat::control {

bool AssignedCaches::update(const BackendTable& backends, const StoreZones& stores,
                            const std::vector<LiveMember>& members, TimePoint now) {
  const bool all = members != members_ || stores != stores_ || !backends.reaches(revision_) ||
                   chosen_all_at_ == TimePoint(0) || now - chosen_all_at_ > kFullLook;
  if (all) {
    members_ = members;
    stores_ = stores;
    chosen_all_at_ = now;
    choose_all(backends);
    return true;
  }
  const auto look = [&](const std::string& id, const fleet::BackendRecord* record) {
    if (record != nullptr) {
      consider_backend(id, *record);
    } else if (known_.erase(id) > 0) {
      mine_.erase(id);
      gone_.push_back(id);
    }
  };
  revision_ = backends.visit_since(revision_, SIZE_MAX, look);
  return false;
}

void AssignedCaches::choose_all(const BackendTable& backends) {
  known_.clear();
  mine_.clear();
  gone_.clear();
  for (const auto& [address, zone] : stores_) {
    consider(address, address, zone, true);
  }
  backends.visit_all(
      [&](const std::string& id, const fleet::BackendRecord& record) { consider_backend(id, record); });
  revision_ = backends.revision();
}

void AssignedCaches::consider_backend(const std::string& id, const fleet::BackendRecord& record) {
  if (!record.models.empty() && known_.count(id) == 0) {
    consider(id, record.address, record.zone, false);
  }
}

void AssignedCaches::consider(const std::string& holder, const std::string& address, const std::string& zone,
                              bool store) {
  ++looked_at_;
  known_.insert(holder);
  if (responsible_member(holder, zone, members_, topology_) == self_) {
    mine_[holder] = {address, store};
  }
}

}  // namespace stoat::control
