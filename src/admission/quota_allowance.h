/// How much a quota allows in any window, and at what rate.
#pragma once

#include <algorithm>

#include "src/common/settings.h"
#include "src/common/time.h"
#include "src/fleet/fleet_configuration.h"

namespace stoat::admission {

/// How closely quotas must be kept across the fleet, given that no process knows the total spending
/// immediately.
struct QuotaTolerance {
  Duration window = 8s;  ///< a quota applies to any span of this length
  double overage = 0;    ///< fraction of the quota that may be spent in excess of it in a window
  double slack = 0;      ///< additional excess, in the quota's unit
  /// Time from the acknowledgement of a configuration until a lower quota in it takes effect. Until then the
  /// previous quota applies.
  Duration lower_after = 0s;
};

/// Reads quota_window_s, quota_overage, quota_slack and quota_lower_after_ms.
QuotaTolerance read_quota_tolerance(SettingsReader& reader);

/// Fraction of the tolerance that is added to the allowance. The rest covers spending that not all processes
/// know of yet.
inline constexpr double kUsedToleranceFraction = 0.4;

/// Fraction of its share of the rate that a router may spend while it receives nothing from any control-plane
/// member. Routers whose reports still arrive at the control plane may spend the whole rate until the control
/// plane has noticed the others' silence.
inline constexpr double kDisconnectedRateFraction = 0.4;

/// Minimum burst of a quota, in seconds of its rate. Without it, a quota that allows no burst would refuse
/// the second of two requests that arrive together.
inline constexpr double kMinBurstS = 0.5;

/// The limits that follow from a tenant's quota and the tolerance. Amounts are in the quota's unit.
struct QuotaAllowance {
  double per_window = 0;  ///< maximum in any window
  double burst = 0;       ///< maximum at once
  double per_second = 0;  ///< rate that uses exactly the window's amount

  QuotaAllowance() = default;
  QuotaAllowance(const fleet::TenantQuota& quota, const QuotaTolerance& tolerance) {
    const double window_s = to_seconds(tolerance.window);
    per_window =
        (quota.per_second * window_s + quota.burst) * (1 + kUsedToleranceFraction * tolerance.overage) +
        kUsedToleranceFraction * tolerance.slack;
    burst = std::max(quota.burst, kMinBurstS * quota.per_second);
    per_second = per_window / window_s;
  }
};

}  // namespace stoat::admission
