/// What the tenants with quotas have left over all routers, as a control member knows it. The member adds up
/// what its own routers have spent, exchanges these sums with the other members, and tells its routers the
/// levels of the tenants that use much of their quota. Free of I/O.
///
/// A level is the least of two: what is left in the present window, and a token bucket that refills at the
/// rate which uses the window's amount evenly, so that a tenant far above its quota isn't refused for seconds
/// after spending a window's amount at once. It may be below 0: a request larger than what is left can pass.
///
/// A member tells its sums since its start, so that a receiver that missed some is right again with the next.
/// What was spent before a member's start is known from members that have counted for longer. Without such a
/// member it is taken for all that was allowed.
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

/// How much of a member's sums a message of it has.
enum class SumsScope : uint8_t {
  kChanged,  ///< those that have changed since the message before
  kFirst,    ///< the first message since the member's start: all, and all of it was spent since then
  kAll,      ///< all, of a member that has counted for some time
};

/// See the head of this file.
class QuotaLedger {
 public:
  /// `start_id`: differs at each start of the member.
  QuotaLedger(const QuotaTolerance& tolerance, uint64_t start_id, TimePoint now)
      : tolerance_(tolerance), start_id_(start_id), began_(now) {}

  /// Puts quotas in force. A lower one binds after QuotaTolerance::lower_after; what was spent before then
  /// counts only against the former one, for as long as a window reaches back to it.
  void configure(const std::vector<fleet::Tenant>& tenants, TimePoint now);
  /// A router of this member has spent.
  void on_router(const std::vector<fleet::TenantSpending>& spending, TimePoint now);
  /// Another member tells what its routers have spent since its start.
  void on_peer(const std::string& peer, uint64_t start_id, SumsScope scope,
               const std::vector<fleet::TenantSpending>& sums, TimePoint now);
  /// Another member tells what it knows to be spent. It counts when that one has counted for longer.
  void adopt(const std::vector<fleet::WindowSpending>& windows, Duration age, TimePoint now);
  /// Works out who is metered, and what is to be told. To be called a few times a second. `unheard_share`:
  /// the part of the routers whose spending can't come to this member now.
  void update(double unheard_share, TimePoint now);

  /// The sums of this member's routers that have changed since the last call.
  std::vector<fleet::TenantSpending> take_changed_sums();
  /// All sums of this member's routers.
  std::vector<fleet::TenantSpending> sums() const;
  /// What is known to be spent in the present window, of all tenants.
  std::vector<fleet::WindowSpending> windows(TimePoint now) const;
  Duration age(TimePoint now) const { return now - began_; }
  uint64_t start_id() const { return start_id_; }
  /// What routers are told, in the order of the changes.
  const fleet::RevisionTable<std::string, fleet::QuotaLevel>& told() const { return told_; }
  /// Tenants that are metered now.
  size_t metered() const { return metered_; }
  /// Tenants that began or ceased to be metered since the last call, with their levels.
  std::vector<fleet::QuotaLevel> take_changes() { return std::exchange(changes_, {}); }
  double unheard_share() const { return unheard_share_; }

 private:
  static constexpr size_t kWindowSteps = 80;
  /// A quota that a lower one has replaced: windows that reach back behind the change still have to keep to
  /// it.
  struct FormerQuota {
    QuotaAllowance allowance;
    SpendingWindow<kWindowSteps> spent;
    TimePoint until{0};
  };
  /// A lower quota that does not bind yet.
  struct ComingQuota {
    QuotaAllowance allowance;
    TimePoint binds_at{0};
  };
  struct Account {
    explicit Account(Duration window) : spent(window) {}
    QuotaAllowance allowance;
    SpendingWindow<kWindowSteps> spent;
    std::vector<FormerQuota> formers;
    std::optional<ComingQuota> coming;
    double bucket = 0;
    TimePoint refilled_at{0};
    int64_t own_sum = 0;
    bool own_changed = false;
    bool metered = false;

    void refill(TimePoint now);
    void spend(double amount, TimePoint now);
    double level(TimePoint now) const;
    /// Puts a quota in force at once.
    void replace(const QuotaAllowance& next);
    /// Puts a lower quota in force when its time has come, and forgets a former one that no window reaches.
    void take_coming(Duration window, TimePoint now);
  };
  struct Peer {
    uint64_t start_id = 0;                ///< 0: it has not told the whole yet
    std::map<std::string, int64_t> sums;  ///< as last told, by tenant
  };
  Account& open_account(const fleet::Tenant& tenant, TimePoint now);
  void spend(const std::string& tenant, double amount, TimePoint now);

  QuotaTolerance tolerance_;
  uint64_t start_id_;
  TimePoint began_;
  TimePoint updated_at_{0};
  double unheard_share_ = 0;                 ///< at the last update
  std::map<std::string, Account> accounts_;  ///< by tenant
  std::map<std::string, Peer> peers_;        ///< by internal address
  fleet::RevisionTable<std::string, fleet::QuotaLevel> told_;
  size_t metered_ = 0;
  std::vector<fleet::QuotaLevel> changes_;
};

}  // namespace stoat::admission
