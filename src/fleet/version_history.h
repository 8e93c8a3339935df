/// History of the target versions of one model's weights, each with the time from which engines should have
/// it.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "src/common/time.h"

namespace stoat::fleet {

/// The target versions of one model. Only the newest are kept.
class VersionHistory {
 public:
  /// Records a target version. If a version is recorded several times, the earliest time is kept.
  void record_version(uint64_t version, TimePoint since);
  /// When the next higher known version was set; nullopt when there is none.
  std::optional<TimePoint> outdated_since(uint64_t version) const;
  /// How long a version has been outdated; nullopt when there is no higher one.
  std::optional<Duration> outdated_for(uint64_t version, TimePoint now) const;
  uint64_t newest() const { return since_.empty() ? 0 : since_.rbegin()->first; }
  /// The versions, lowest first, each with the time from which engines should have it.
  const std::map<uint64_t, TimePoint>& versions() const { return since_; }

 private:
  std::map<uint64_t, TimePoint> since_;  ///< time by version
};

/// Version histories by model.
using TargetWeights = std::map<std::string, VersionHistory>;

}  // namespace stoat::fleet
