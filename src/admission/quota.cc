#include "src/admission/quota.h"

#include <algorithm>
#include <cmath>

namespace stoat::admission {

QuotaAmounts unleased_part(const control::PolicyRow& row, size_t router_count) {
  const double share = kUnleasedShare / static_cast<double>(std::max<size_t>(1, router_count));
  return {row.requests_per_second * share, row.tokens_per_second * share, std::floor(row.concurrent * share)};
}

double QuotaOwner::part_of(double ceiling, double unleased, double demand_share, double others) const {
  const double free = ceiling - others;
  const double target = unleased + (ceiling * (1 - kUnleasedShare)) * demand_share + 0.0;
  return std::max(unleased, std::min(target, free));
}

wire::QuotaGrant QuotaOwner::grant(const control::PolicyRow& row, const wire::QuotaRequest& request,
                                   size_t router_count, TimePoint now) {
  std::erase_if(leases_, [now](const auto& entry) { return entry.second.until <= now; });
  const QuotaAmounts unleased = unleased_part(row, router_count);
  const double demand = request.demand_requests + 1e-3;
  double all_demand = demand;
  QuotaAmounts others;
  size_t other_leases = 0;
  for (const auto& [router, lease] : leases_) {
    if (router == request.router) {
      continue;
    }
    ++other_leases;
    all_demand += lease.demand;
    others.requests_per_second += lease.amounts.requests_per_second;
    others.tokens_per_second += lease.amounts.tokens_per_second;
    others.concurrent += lease.amounts.concurrent;
  }
  const size_t others_without = router_count - std::min(router_count, other_leases + 1);
  const auto without = static_cast<double>(others_without);
  others.requests_per_second += without * unleased.requests_per_second;
  others.tokens_per_second += without * unleased.tokens_per_second;
  others.concurrent += without * unleased.concurrent;

  Lease lease;
  lease.demand = demand;
  lease.until = now + kQuotaLease;
  lease.amounts = unleased;
  if (now >= not_before_) {
    const double share = demand / all_demand;
    lease.amounts.requests_per_second =
        part_of(row.requests_per_second, unleased.requests_per_second, share, others.requests_per_second);
    lease.amounts.tokens_per_second =
        part_of(row.tokens_per_second, unleased.tokens_per_second, share, others.tokens_per_second);
    const double room = row.concurrent - others.concurrent;
    const double target = std::ceil(row.concurrent * std::max(share, 1e-9));
    lease.amounts.concurrent = std::max(unleased.concurrent, std::floor(std::min(room, target)));
  }
  leases_[request.router] = lease;
  wire::QuotaGrant grant;
  grant.kind = row.kind;
  grant.name = row.name;
  grant.requests_per_second = lease.amounts.requests_per_second;
  grant.tokens_per_second = lease.amounts.tokens_per_second;
  grant.concurrent = lease.amounts.concurrent;
  grant.lease_ms = to_milliseconds(kQuotaLease);
  return grant;
}

QuotaAmounts QuotaOwner::leased(TimePoint now) const {
  QuotaAmounts sum;
  for (const auto& [router, lease] : leases_) {
    if (lease.until > now) {
      sum.requests_per_second += lease.amounts.requests_per_second;
      sum.tokens_per_second += lease.amounts.tokens_per_second;
      sum.concurrent += lease.amounts.concurrent;
    }
  }
  return sum;
}

}  // namespace stoat::admission
