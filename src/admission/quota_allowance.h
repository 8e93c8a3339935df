/// How much a quota allows: in any window, and how fast.
#pragma once

#include <algorithm>

#include "src/common/settings.h"
#include "src/common/time.h"
#include "src/fleet/fleet_configuration.h"

namespace stoat::admission {

/// How closely quotas have to be kept over a fleet, where no process knows at once what all have spent.
struct QuotaTolerance {
  Duration window = 8s;  ///< a quota holds over any span of this length
  double overage = 0;    ///< the part of the quota that may be spent beyond it in a window
  double slack = 0;      ///< and so much besides, in the quota's unit
  /// From the acknowledgement of a configuration until a lower quota in it binds. Until then the former one
  /// holds.
  Duration lower_after = 0s;
};

/// Reads quota_window_s, quota_overage, quota_slack and quota_lower_after_ms.
QuotaTolerance read_quota_tolerance(SettingsReader& reader);

/// The part of the tolerance that is spent. The rest is for what is spent before all processes know of it.
inline constexpr double kToleranceUsed = 0.4;

/// The part of its share of the rate that a router spends while no control member is heard. Routers that
/// control still hears may spend the whole rate until control has noticed.
inline constexpr double kDisconnectedRateFraction = 0.4;

/// The least burst of a quota, in seconds of its rate: without it a quota that allows no burst would refuse
/// two requests that come together.
inline constexpr double kLeastBurstS = 0.5;

/// See the head of this file. Amounts are in the quota's unit.
struct QuotaAllowance {
  double in_window = 0;   ///< the most in any window
  double burst = 0;       ///< the most at once
  double per_second = 0;  ///< the rate that uses all of the window's amount

  QuotaAllowance() = default;
  QuotaAllowance(const fleet::TenantQuota& quota, const QuotaTolerance& tolerance) {
    const double window_s = to_seconds(tolerance.window);
    in_window = (quota.per_second * window_s + quota.burst) * (1 + kToleranceUsed * tolerance.overage) +
                kToleranceUsed * tolerance.slack;
    burst = std::max(quota.burst, kLeastBurstS * quota.per_second);
    per_second = in_window / window_s;
  }
};

}  // namespace stoat::admission
