/// The versions of one model's weights that were named, each with the time since when engines should have it.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "src/common/time.h"

namespace stoat::fleet {

/// See the head of this file. Keeps the newest few.
class VersionHistory {
 public:
  /// Notes a named version. Of several times for one version the earliest counts.
  void note(uint64_t version, TimePoint since);
  /// When the first version above this one was named; nullopt when none is.
  std::optional<TimePoint> outdated_since(uint64_t version) const;
  /// How long a version has been out of date; nullopt when no higher one is named.
  std::optional<Duration> outdated_for(uint64_t version, TimePoint now) const;
  uint64_t newest() const { return since_.empty() ? 0 : since_.rbegin()->first; }
  /// The versions, oldest first, each with its time.
  const std::map<uint64_t, TimePoint>& versions() const { return since_; }

 private:
  std::map<uint64_t, TimePoint> since_;  ///< by version
};

/// By model.
using TargetWeights = std::map<std::string, VersionHistory>;

}  // namespace stoat::fleet
