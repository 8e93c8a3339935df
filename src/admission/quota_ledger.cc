#include "src/admission/quota_ledger.h"

#include <cmath>
#include <set>

namespace stoat::admission {

namespace {

/// Metering of a tenant begins when less than kMeteredBelow of its burst is left, and ends when kMeteredUntil
/// of it is available again. Routers need no levels of tenants with plenty left.
constexpr double kMeteredBelow = 0.5;
constexpr double kMeteredUntil = 0.9;
/// A tenant that spent less than this fraction of a window's amount is far below its quota. Silent routers
/// can hardly exhaust the quota before they report again or stop serving.
constexpr double kFarBelowQuota = 0.5;
/// Time from the last report of a router until its silence is noticed.
constexpr Duration kSilenceDetectionTime = 600ms;
/// Time from a change of level at a member until all routers apply it. Members apply a configuration within
/// 50 ms of one another; routers receive levels every 100 ms and rely on them for 350 ms.
constexpr Duration kLevelPropagationTime = 500ms;
/// Levels are rounded down to multiples of this fraction of one second's rate.
constexpr double kLevelStepS = 1.0 / 64;

}  // namespace

QuotaTolerance read_quota_tolerance(SettingsReader& reader) {
  QuotaTolerance tolerance;
  tolerance.window = std::chrono::seconds(reader.integer("quota_window_s", 8, 1, 3600));
  tolerance.overage = reader.number("quota_overage", tolerance.overage, 0, 1);
  tolerance.slack = reader.number("quota_slack", tolerance.slack, 0, 1e12);
  const Duration lower_after =
      std::chrono::milliseconds(reader.integer("quota_lower_after_ms", 0, 0, 3600000));
  tolerance.lower_after = std::max(Duration(0), lower_after - kLevelPropagationTime);
  return tolerance;
}

void QuotaLedger::Account::refill(TimePoint now) {
  const double elapsed_s = to_seconds(std::max(Duration(0), now - refilled_at));
  bucket = std::min(allowance.burst, bucket + allowance.per_second * elapsed_s);
  refilled_at = now;
}

void QuotaLedger::Account::spend(double amount, TimePoint now) {
  refill(now);
  bucket = std::min(allowance.burst, bucket - amount);
  spent.add(amount, now);
  for (PreviousQuota& previous : previous_quotas) {
    previous.spent.add(amount, now);
  }
}

double QuotaLedger::Account::level(TimePoint now) const {
  double left = std::min(bucket, allowance.per_window - spent.sum(now));
  for (const PreviousQuota& previous : previous_quotas) {
    left = std::min(left, previous.allowance.per_window - previous.spent.sum(now));
  }
  return left;
}

void QuotaLedger::Account::replace(const QuotaAllowance& next) {
  allowance = next;
  bucket = std::min(bucket, allowance.burst);
  pending.reset();
  std::erase_if(previous_quotas, [&](const PreviousQuota& previous) {
    return previous.allowance.per_window <= next.per_window;
  });
}

void QuotaLedger::Account::apply_pending(Duration window, TimePoint now) {
  std::erase_if(previous_quotas, [&](const PreviousQuota& previous) { return now >= previous.until; });
  if (!pending || now < pending->effective_at) {
    return;
  }
  // The lower quota applies only to spending from now on, so its window begins empty. Otherwise a tenant
  // would be refused for seconds right after the change because of what it had spent under the previous
  // quota.
  const QuotaAllowance next = pending->allowance;
  previous_quotas.push_back({allowance, spent, now + window});
  spent = SpendingWindow<kWindowSteps>(window);
  replace(next);
}

QuotaLedger::Account& QuotaLedger::open_account(const fleet::Tenant& tenant, TimePoint now) {
  Account& account = accounts_.try_emplace(tenant.name, tolerance_.window).first->second;
  account.allowance = QuotaAllowance(tenant.quota, tolerance_);
  // Assumes that the whole amount allowed in a window was spent before this member's start, and the burst
  // right before it. Only what has accrued since the start is available.
  const double unknown_fraction = 1 - to_seconds(age(now)) / to_seconds(tolerance_.window);
  if (unknown_fraction > 0) {
    account.spent.add_evenly(unknown_fraction * (account.allowance.per_window - account.allowance.burst),
                             now);
    account.spent.add(account.allowance.burst, counting_since_);
  }
  account.bucket = std::min(account.allowance.burst, account.allowance.per_second * to_seconds(age(now)));
  account.refilled_at = now;
  return account;
}

void QuotaLedger::configure(const std::vector<fleet::Tenant>& tenants, TimePoint now) {
  std::set<std::string> limited;
  for (const fleet::Tenant& tenant : tenants) {
    if (!tenant.quota.limited()) {
      continue;
    }
    limited.insert(tenant.name);
    const auto known = accounts_.find(tenant.name);
    if (known == accounts_.end()) {
      open_account(tenant, now);
      continue;
    }
    Account& account = known->second;
    account.refill(now);
    const QuotaAllowance next(tenant.quota, tolerance_);
    if (next.per_window >= account.allowance.per_window) {
      account.replace(next);
      continue;
    }
    const TimePoint effective_at =
        account.pending ? account.pending->effective_at : now + tolerance_.lower_after;
    account.pending = PendingQuota{next, effective_at};
  }
  std::erase_if(accounts_, [&](const auto& entry) {
    const bool gone = limited.count(entry.first) == 0;
    if (gone) {
      levels_.erase(entry.first);
    }
    return gone;
  });
  update(unheard_share_, now);
}

void QuotaLedger::spend(const std::string& tenant, double amount, TimePoint now) {
  const auto found = accounts_.find(tenant);
  if (found != accounts_.end()) {
    found->second.spend(amount, now);
  }
}

void QuotaLedger::record_router_spending(const std::vector<fleet::TenantSpending>& spending, TimePoint now) {
  for (const fleet::TenantSpending& entry : spending) {
    const auto found = accounts_.find(entry.tenant);
    if (found == accounts_.end()) {
      continue;  // the quota was removed
    }
    found->second.own_sum += entry.amount;
    found->second.own_changed = true;
    found->second.spend(static_cast<double>(entry.amount), now);
  }
}

void QuotaLedger::record_peer_sums(const std::string& peer, uint64_t start_id, SumsScope scope,
                                   const std::vector<fleet::TenantSpending>& sums, TimePoint now) {
  Peer& entry = peers_[peer];
  const bool same_run = entry.start_id == start_id;
  if (scope == SumsScope::kChanged && !same_run) {
    return;  // all sums are requested from the peer and will include these
  }
  // A peer's sums are new spending if an earlier start of the peer was known, or if this is the peer's first
  // message. Otherwise they may be older than this member's own count. If the first message did not count as
  // new spending, members that started together would never count the spending of each other's routers.
  const bool is_new_spending = entry.start_id != 0 || scope == SumsScope::kFirst;
  if (!same_run) {
    entry.sums.clear();
    entry.start_id = start_id;
  }
  for (const fleet::TenantSpending& sum : sums) {
    int64_t& known = entry.sums[sum.tenant];
    if (is_new_spending) {
      spend(sum.tenant, static_cast<double>(sum.amount - known), now);
    }
    known = sum.amount;
  }
}

void QuotaLedger::adopt_window_spending(const std::vector<fleet::WindowSpending>& windows, Duration age,
                                        TimePoint now) {
  if (age <= this->age(now) || this->age(now) > tolerance_.window) {
    return;
  }
  for (const fleet::WindowSpending& entry : windows) {
    const auto found = accounts_.find(entry.tenant);
    if (found == accounts_.end()) {
      continue;  // this member has not received the configuration with this quota yet
    }
    Account& account = found->second;
    account.spent.restore(entry.spent, now);
    account.bucket = static_cast<double>(entry.bucket);
    account.refilled_at = now;
  }
  counting_since_ = now - age;
}

void QuotaLedger::update(double unheard_share, TimePoint now) {
  const double elapsed_s = updated_at_ == TimePoint(0) ? 0 : to_seconds(now - updated_at_);
  // Includes the time between the last report of a router and the moment its silence was noticed.
  const double newly_unheard = std::max(0.0, unheard_share - unheard_share_);
  const double unheard_s = unheard_share * elapsed_s + newly_unheard * to_seconds(kSilenceDetectionTime);
  unheard_share_ = unheard_share;
  updated_at_ = now;
  metered_ = 0;
  for (auto& [tenant, account] : accounts_) {
    account.refill(now);
    account.apply_pending(tolerance_.window, now);
    if (account.spent.sum(now) > kFarBelowQuota * account.allowance.per_window) {
      account.spend(unheard_s * account.allowance.per_second, now);
      account.bucket = std::min(account.bucket, (1 - unheard_share) * account.allowance.burst);
    }
    const double level = account.level(now);
    const double threshold = (account.metered ? kMeteredUntil : kMeteredBelow) * account.allowance.burst;
    const bool was_metered = account.metered;
    account.metered = level < threshold;
    if (account.metered != was_metered) {
      changes_.push_back({tenant, static_cast<int64_t>(level), account.metered});
    }
    metered_ += account.metered ? 1 : 0;
    if (!account.metered && levels_.find(tenant) == nullptr) {
      continue;  // routers do not meter tenants whose level they never received
    }
    const double step = std::max(1.0, account.allowance.per_second * kLevelStepS);
    const auto rounded_level = static_cast<int64_t>(std::floor(level / step) * step);
    levels_.set(tenant, {tenant, account.metered ? rounded_level : 0, account.metered});
  }
}

std::vector<fleet::TenantSpending> QuotaLedger::take_changed_sums() {
  std::vector<fleet::TenantSpending> changed;
  for (auto& [tenant, account] : accounts_) {
    if (account.own_changed) {
      account.own_changed = false;
      changed.push_back({tenant, account.own_sum});
    }
  }
  return changed;
}

std::vector<fleet::TenantSpending> QuotaLedger::sums() const {
  std::vector<fleet::TenantSpending> all;
  for (const auto& [tenant, account] : accounts_) {
    all.push_back({tenant, account.own_sum});
  }
  return all;
}

std::vector<fleet::WindowSpending> QuotaLedger::windows(TimePoint now) const {
  std::vector<fleet::WindowSpending> all;
  for (const auto& [tenant, account] : accounts_) {
    Account refilled = account;
    refilled.refill(now);
    all.push_back({tenant, account.spent.amounts(now), static_cast<int64_t>(refilled.bucket)});
  }
  return all;
}

}  // namespace stoat::admission
