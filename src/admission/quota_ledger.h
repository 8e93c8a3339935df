/// What tenants with quotas have left, over all routers, as known to one control-plane member. The member
/// adds up what its own routers have spent, exchanges these sums with the other members, and sends its
/// routers the levels of the tenants that use much of their quota. Performs no I/O.
///
/// A level is the smaller of two values: what is left in the current window, and a token bucket that refills
/// at the rate that spreads the window's amount evenly. The bucket keeps a tenant far above its quota from
/// being refused for seconds after spending a window's amount at once. A level may be below 0, since a
/// request larger than what is left can be admitted.
///
/// A member sends cumulative sums since its start, so a receiver that missed some messages is correct again
/// after the next one. Spending from before a member's start is learned from members that have counted for
/// longer. Without such a member, everything allowed is assumed to have been spent.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "src/admission/quota_allowance.h"
#include "src/admission/spending_window.h"
#include "src/fleet/fleet_messages.h"
#include "src/fleet/revision_table.h"

namespace stoat::admission {

/// Which of a member's sums a message contains.
enum class SumsScope : uint8_t {
  kChanged,  ///< those that changed since the previous message
  kFirst,    ///< first message after the member's start: all sums, all spent since that start
  kAll,      ///< all sums, from a member that has been counting for some time
};

/// Adds up the spending of all tenants with quotas at one control-plane member, and computes the levels that
/// are sent to its routers.
class QuotaLedger {
 public:
  /// `start_id`: differs at each start of the member.
  QuotaLedger(const QuotaTolerance& tolerance, uint64_t start_id, TimePoint now)
      : tolerance_(tolerance), start_id_(start_id), counting_since_(now) {}

  /// Applies the quotas of a new configuration. A lower quota takes effect after QuotaTolerance::lower_after;
  /// spending from before that counts only against the previous quota, for as long as a window reaches back
  /// to it.
  void configure(const std::vector<fleet::Tenant>& tenants, TimePoint now);
  /// Records spending reported by a router of this member.
  void record_router_spending(const std::vector<fleet::TenantSpending>& spending, TimePoint now);
  /// Records another member's sums of what its routers have spent since its start.
  void record_peer_sums(const std::string& peer, uint64_t start_id, SumsScope scope,
                        const std::vector<fleet::TenantSpending>& sums, TimePoint now);
  /// Takes over what another member knows about spending in the current window, if that member has counted
  /// for longer.
  void adopt_window_spending(const std::vector<fleet::WindowSpending>& windows, Duration age, TimePoint now);
  /// Determines which tenants are metered and which levels to send. Must be called several times a second.
  /// `unheard_share`: fraction of the routers whose spending currently can't reach this member.
  void update(double unheard_share, TimePoint now);

  /// Returns the sums of this member's routers that have changed since the previous call.
  std::vector<fleet::TenantSpending> take_changed_sums();
  /// Returns all sums of this member's routers.
  std::vector<fleet::TenantSpending> sums() const;
  /// Returns the known spending in the current window, for all tenants.
  std::vector<fleet::WindowSpending> windows(TimePoint now) const;
  Duration age(TimePoint now) const { return now - counting_since_; }
  uint64_t start_id() const { return start_id_; }
  /// Returns the levels for the routers, in order of change.
  const fleet::RevisionTable<std::string, fleet::QuotaLevel>& levels() const { return levels_; }
  /// Returns the number of tenants that are currently metered.
  size_t metered() const { return metered_; }
  /// Returns the levels of the tenants for which metering began or ended since the previous call.
  std::vector<fleet::QuotaLevel> take_changes() { return std::exchange(changes_, {}); }
  double unheard_share() const { return unheard_share_; }

 private:
  static constexpr size_t kWindowSteps = 80;
  /// A quota that was replaced by a lower one. Windows that reach back to before the change must still comply
  /// with it.
  struct PreviousQuota {
    QuotaAllowance allowance;
    SpendingWindow<kWindowSteps> spent;
    TimePoint until{0};
  };
  /// A lower quota that has not taken effect yet.
  struct PendingQuota {
    QuotaAllowance allowance;
    TimePoint effective_at{0};
  };
  struct Account {
    explicit Account(Duration window) : spent(window) {}
    QuotaAllowance allowance;
    SpendingWindow<kWindowSteps> spent;
    std::vector<PreviousQuota> previous_quotas;
    std::optional<PendingQuota> pending;
    double bucket = 0;
    TimePoint refilled_at{0};
    int64_t own_sum = 0;
    bool own_changed = false;
    bool metered = false;

    void refill(TimePoint now);
    void spend(double amount, TimePoint now);
    double level(TimePoint now) const;
    /// Applies a quota immediately.
    void replace(const QuotaAllowance& next);
    /// Applies a pending lower quota once its time has come, and drops previous quotas that no window reaches
    /// back to.
    void apply_pending(Duration window, TimePoint now);
  };
  struct Peer {
    uint64_t start_id = 0;                ///< 0 until the peer has sent all of its sums
    std::map<std::string, int64_t> sums;  ///< as last received, by tenant
  };
  Account& open_account(const fleet::Tenant& tenant, TimePoint now);
  void spend(const std::string& tenant, double amount, TimePoint now);

  QuotaTolerance tolerance_;
  uint64_t start_id_;
  TimePoint counting_since_;
  TimePoint updated_at_{0};
  double unheard_share_ = 0;                 ///< value at the last update
  std::map<std::string, Account> accounts_;  ///< by tenant
  std::map<std::string, Peer> peers_;        ///< by internal address
  fleet::RevisionTable<std::string, fleet::QuotaLevel> levels_;
  size_t metered_ = 0;
  std::vector<fleet::QuotaLevel> changes_;
};

}  // namespace stoat::admission
