/// Decides at a router whether a tenant's quota admits a request. The control plane sends how much of each
/// metered quota is left over all routers; the router subtracts what it has spent itself since then. Tenants
/// far below their limit are not metered and always admitted. Performs no I/O.
///
/// While the control plane is silent, a metered tenant may spend this router's share of the rate. A request
/// larger than what has accrued is admitted with a proportional probability, so that all routers together
/// spend the rate regardless of the size of single requests.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <vector>

#include "src/admission/quota_allowance.h"
#include "src/admission/spending_window.h"
#include "src/common/random.h"
#include "src/fleet/fleet_messages.h"

namespace stoat::admission {

/// The result of checking a request against a quota.
struct QuotaDecision {
  bool admitted = true;
  Duration retry_after{0};  ///< for a refused request: until the quota has room for it
};

/// Spending reported to the control plane, with the number by which its receipt is confirmed.
struct NumberedSpending {
  uint64_t number = 0;
  std::vector<fleet::TenantSpending> spending;
};

/// Admits or refuses requests at one router according to the levels received from the control plane and the
/// router's own spending since then.
class QuotaEnforcer {
 public:
  QuotaEnforcer(const QuotaTolerance& tolerance, uint64_t seed) : tolerance_(tolerance), random_(seed) {}

  /// Applies the quotas of a new configuration.
  void configure(const std::vector<fleet::Tenant>& tenants);
  /// Handles a level received from the control plane.
  void on_level(const fleet::QuotaLevel& level);
  /// Records that an update from the control plane arrived, so that levels not included in it remain valid.
  void note_update(TimePoint now) { last_update_at_ = now; }
  /// Called when another member begins to send its levels. Unconfirmed spending will be reported to that
  /// member again.
  void on_member_change();
  void set_router_count(uint32_t count) { router_count_ = std::max(1U, count); }

  /// Decides whether to admit a request, and charges it if admitted.
  QuotaDecision admit(const std::string& tenant, int64_t cost, TimePoint now);
  /// Charges a request that is sent again after it may have run.
  void charge(const std::string& tenant, int64_t cost, TimePoint now);
  /// Reverses the charge of a request that is known not to have run.
  void refund(const std::string& tenant, int64_t cost, TimePoint now) { charge(tenant, -cost, now); }

  /// Returns whether there is spending to report.
  bool has_unreported() const { return !unreported_.empty(); }
  /// Returns the spending to report now. It is kept until its number is confirmed.
  NumberedSpending take_unreported();
  /// Called when the member that sends the feed has received the spending with this number and all before it.
  void confirm(uint64_t number);

 private:
  /// Time from a charge until a level that includes it arrives: a router reports within 100 ms, members
  /// exchange reports within 50 ms and update their routers within another 100 ms.
  static constexpr Duration kLevelRoundTrip = 400ms;
  struct Account {
    QuotaAllowance allowance;
    bool metered = false;
    double last_level = 0;                      ///< the last level received
    SpendingWindow<4> recent{kLevelRoundTrip};  ///< own spending that the level may not include yet
    double accrued = 0;                         ///< amount accrued while the control plane is silent
    TimePoint accrued_at{0};                    ///< time up to which it has accrued
  };
  QuotaDecision decide_by_level(const Account& account, int64_t cost, TimePoint now);
  QuotaDecision decide_without_control(Account& account, int64_t cost, TimePoint now);

  QuotaTolerance tolerance_;
  Random random_;
  uint32_t router_count_ = 1;
  TimePoint last_update_at_{0};                ///< when the last update from the control plane arrived
  std::map<std::string, Account> accounts_;    ///< by tenant
  std::map<std::string, int64_t> unreported_;  ///< by tenant
  std::deque<NumberedSpending> unconfirmed_;   ///< oldest first
  uint64_t last_batch_number_ = 0;
};

}  // namespace stoat::admission
