/// A router's decision whether a tenant's quota lets a request pass. Control tells how much of each metered
/// quota is left over all routers; the router subtracts what it has spent itself since. Tenants far below
/// their limit are not metered, and pass. Free of I/O.
///
/// While control is silent a metered tenant may spend this router's part of the rate. Requests larger than
/// what has gathered pass with a chance in proportion, so that all routers together spend the rate, however
/// large single requests are.
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

/// What a quota says of a request.
struct QuotaDecision {
  bool admitted = true;
  Duration retry_after{0};  ///< of a refused one: until the quota has room for it
};

/// Spending that is told to control, with the number under which its receipt is confirmed.
struct NumberedSpending {
  uint64_t number = 0;
  std::vector<fleet::TenantSpending> spending;
};

/// See the head of this file.
class QuotaEnforcer {
 public:
  QuotaEnforcer(const QuotaTolerance& tolerance, uint64_t seed) : tolerance_(tolerance), random_(seed) {}

  /// Puts quotas in force.
  void configure(const std::vector<fleet::Tenant>& tenants);
  /// Control tells a level.
  void on_level(const fleet::QuotaLevel& level);
  /// Control has told something, so that levels which it did not tell anew still hold.
  void on_news(TimePoint now) { heard_at_ = now; }
  /// Another member is about to tell whom it meters. What was spent and not confirmed will be told to it.
  void on_member_change();
  void set_router_count(uint32_t count) { router_count_ = std::max(1U, count); }

  /// Decides about a request; one that is admitted is charged.
  QuotaDecision admit(const std::string& tenant, int64_t cost, TimePoint now);
  /// Charges a request that is sent again after it may have run.
  void charge(const std::string& tenant, int64_t cost, TimePoint now);
  /// A request that was charged has surely not run.
  void give_back(const std::string& tenant, int64_t cost, TimePoint now) { charge(tenant, -cost, now); }

  /// True when there is spending to tell.
  bool has_unreported() const { return !untold_.empty(); }
  /// Takes what is to be told now. Kept until its number is confirmed.
  NumberedSpending take_unreported();
  /// The member of the feed has this spending and all before it.
  void confirm(uint64_t number);

 private:
  /// From a charge until a level that contains it has come back: a router tells within 100 ms, members tell
  /// one another within 50 ms and their routers within another 100 ms.
  static constexpr Duration kEcho = 400ms;
  struct Account {
    QuotaAllowance allowance;
    bool metered = false;
    double told = 0;                  ///< the level
    SpendingWindow<4> recent{kEcho};  ///< own spending that the level may not contain yet
    double own_part = 0;              ///< gathered while control is silent
    TimePoint own_part_at{0};         ///< until when it has gathered
  };
  QuotaDecision decide(const Account& account, int64_t cost, TimePoint now);
  QuotaDecision decide_alone(Account& account, int64_t cost, TimePoint now);

  QuotaTolerance tolerance_;
  Random random_;
  uint32_t router_count_ = 1;
  TimePoint heard_at_{0};                     ///< when control last told something
  std::map<std::string, Account> accounts_;   ///< by tenant
  std::map<std::string, int64_t> untold_;     ///< by tenant
  std::deque<NumberedSpending> unconfirmed_;  ///< oldest first
  uint64_t last_number_ = 0;
};

}  // namespace stoat::admission
