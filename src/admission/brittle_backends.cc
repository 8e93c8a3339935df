#include "src/admission/brittle_backends.h"

#include <algorithm>
#include <utility>

#include "src/fleet/backend_limit.h"

namespace stoat::admission {

namespace {

/// For this long, what was heard in a response takes precedence over the control plane, whose word is older.
constexpr Duration kResponsePrecedence = 1s;
/// Assumed of a brittle backend whose number can't be read.
constexpr double kMinRejectionsPerSecond = 1;

}  // namespace

bool BrittleBackends::record_announcement(const std::string& backend, double rejections_per_second,
                                          TimePoint now) {
  const auto [entry, added] = brittle_.try_emplace(backend);
  const double rejections = std::max(kMinRejectionsPerSecond, rejections_per_second);
  const bool first_here = !std::exchange(entry->second.heard_here, true);
  entry->second.heard_at = now;
  if (first_here || entry->second.rejections_per_second != rejections) {
    unreported_[backend] = rejections;
  }
  entry->second.rejections_per_second = rejections;
  return added;
}

bool BrittleBackends::record_response_without(const std::string& backend, TimePoint sent_at) {
  const auto known = brittle_.find(backend);
  if (known == brittle_.end() || sent_at <= known->second.heard_at) {
    return false;
  }
  brittle_.erase(known);
  unreported_[backend] = 0;
  return true;
}

bool BrittleBackends::apply_shared(const fleet::BrittleBackend& announcement, TimePoint now) {
  const auto known = brittle_.find(announcement.backend);
  if (announcement.rejections_per_second > 0) {
    if (known == brittle_.end()) {
      brittle_[announcement.backend] = {announcement.rejections_per_second, now, false};
    }
    return known == brittle_.end();
  }
  const bool recently_heard = known != brittle_.end() && known->second.heard_here &&
                              now - known->second.heard_at < kResponsePrecedence;
  if (known == brittle_.end() || recently_heard) {
    return false;
  }
  brittle_.erase(known);
  return true;
}

std::vector<std::string> BrittleBackends::ids() const {
  std::vector<std::string> list;
  list.reserve(brittle_.size());
  for (const auto& [backend, entry] : brittle_) {
    list.push_back(backend);
  }
  return list;
}

std::vector<fleet::BrittleBackend> BrittleBackends::take_unreported(bool include_all) {
  std::map<std::string, double> reported = std::exchange(unreported_, {});
  for (const auto& [backend, entry] : brittle_) {
    if (include_all && entry.heard_here) {
      reported.emplace(backend, entry.rejections_per_second);
    }
  }
  return fleet::to_list<fleet::BrittleBackend>(reported);
}

}  // namespace stoat::admission
