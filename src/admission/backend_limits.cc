#include "src/admission/backend_limits.h"

#include <utility>

namespace stoat::admission {

std::optional<LimitChange> BackendLimits::note_named(const std::string& backend, double per_second,
                                                     TimePoint now) {
  Limited& limited = limited_[backend];
  limited.heard = now;
  const double before = std::exchange(limited.per_second, per_second);
  if (before == per_second) {
    return std::nullopt;
  }
  return LimitChange{backend, per_second, before};
}

std::optional<LimitChange> BackendLimits::note_unnamed(const std::string& backend, TimePoint sent_at) {
  const auto known = limited_.find(backend);
  if (known == limited_.end() || sent_at <= known->second.heard) {
    return std::nullopt;
  }
  const double before = known->second.per_second;
  limited_.erase(known);
  return LimitChange{backend, 0, before};
}

double BackendLimits::per_second(const std::string& backend) const {
  const auto known = limited_.find(backend);
  return known == limited_.end() ? 0 : known->second.per_second;
}

bool BackendLimits::count_send(const std::string& backend) {
  const auto known = limited_.find(backend);
  if (known == limited_.end()) {
    return false;
  }
  ++known->second.sent;
  return true;
}

std::vector<LimitUse> BackendLimits::take_use() {
  std::vector<LimitUse> list;
  for (auto& [backend, limited] : limited_) {
    const uint64_t sent = std::exchange(limited.sent, 0);
    if (sent > 0) {
      list.push_back({backend, limited.per_second, sent});
    }
  }
  return list;
}

}  // namespace stoat::admission
