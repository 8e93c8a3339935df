#include "src/fleet/version_history.h"

#include <algorithm>

namespace stoat::fleet {

namespace {

/// Maximum number of versions kept. Only versions set within the time that one or two loads of weights take
/// are relevant at once, and there are never more of these.
constexpr size_t kMaxVersions = 16;

}  // namespace

void VersionHistory::record_version(uint64_t version, TimePoint since) {
  const auto [entry, added] = since_.emplace(version, since);
  entry->second = std::min(entry->second, since);
  if (since_.size() > kMaxVersions) {
    since_.erase(since_.begin());
  }
}

std::optional<TimePoint> VersionHistory::outdated_since(uint64_t version) const {
  const auto next = since_.upper_bound(version);
  return next == since_.end() ? std::nullopt : std::optional<TimePoint>(next->second);
}

std::optional<Duration> VersionHistory::outdated_for(uint64_t version, TimePoint now) const {
  const auto since = outdated_since(version);
  return since ? std::optional<Duration>(now - *since) : std::nullopt;
}

}  // namespace stoat::fleet
