/// Ceilings that hold over the whole fleet: the owner of a row leases parts of them to the routers that ask.
#pragma once

#include <map>
#include <string>

#include "src/common/time.h"
#include "src/control/configuration.h"
#include "src/wire/messages.h"

namespace stoat::admission {

/// How long a lease lasts without renewal.
inline constexpr Duration kQuotaLease = 3s;

/// The share of a ceiling that routers may use, all together, while they hold no lease.
inline constexpr double kUnleasedShare = 0.5;

/// The three ceilings of a row, or parts of them.
struct QuotaAmounts {
  double requests_per_second = 0;
  double tokens_per_second = 0;
  double concurrent = 0;
};

/// What one of `router_count` routers may use without a lease.
QuotaAmounts unleased_part(const control::PolicyRow& row, size_t router_count);

/// Leases out one row's ceilings. Invariant: what is leased, plus the unleased parts of the routers that hold
/// no lease, never exceeds the ceiling.
class QuotaOwner {
 public:
  /// `not_before`: until then only unleased parts are given, as leases of a former owner may still run.
  explicit QuotaOwner(TimePoint not_before) : not_before_(not_before) {}

  wire::QuotaGrant grant(const control::PolicyRow& row, const wire::QuotaRequest& request,
                         size_t router_count, TimePoint now);
  /// What is leased at the moment, for checks.
  QuotaAmounts leased(TimePoint now) const;

 private:
  struct Lease {
    QuotaAmounts amounts;
    double demand = 0;
    TimePoint until{0};
  };
  double part_of(double ceiling, double unleased, double demand_share, double others) const;

  TimePoint not_before_;
  std::map<std::string, Lease> leases_;
};

}  // namespace stoat::admission
