#include "src/admission/quota_ledger.h"

#include <cmath>
#include <set>

namespace stoat::admission {

namespace {

/// A tenant is metered once less than this part of its burst is left, and until this part is there again. Far
/// above its level nobody needs to be told of it.
constexpr double kMeteredBelow = 0.5;
constexpr double kMeteredUntil = 0.9;
/// A tenant that spent less than this part of a window's amount is far below its quota: routers that are not
/// heard can hardly bring it there before they are heard again or stop.
constexpr double kFarBelow = 0.5;
/// From the last news of routers until they are noticed to be unheard.
constexpr Duration kNoticeTime = 600ms;
/// From a change of level at a member until all routers decide by it: members apply a configuration within 50
/// ms of one another, and routers hear of levels each 100 ms and trust them for 350 ms.
constexpr Duration kLevelTime = 500ms;
/// Levels are told in steps of this part of a second's rate.
constexpr double kTellStepS = 1.0 / 64;

}  // namespace

QuotaTolerance read_quota_tolerance(SettingsReader& reader) {
  QuotaTolerance tolerance;
  tolerance.window = std::chrono::seconds(reader.integer("quota_window_s", 8, 1, 3600));
  tolerance.overage = reader.number("quota_overage", tolerance.overage, 0, 1);
  tolerance.slack = reader.number("quota_slack", tolerance.slack, 0, 1e12);
  const Duration lower_after =
      std::chrono::milliseconds(reader.integer("quota_lower_after_ms", 0, 0, 3600000));
  tolerance.lower_after = std::max(Duration(0), lower_after - kLevelTime);
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
  for (FormerQuota& former : formers) {
    former.spent.add(amount, now);
  }
}

double QuotaLedger::Account::level(TimePoint now) const {
  double left = std::min(bucket, allowance.in_window - spent.sum(now));
  for (const FormerQuota& former : formers) {
    left = std::min(left, former.allowance.in_window - former.spent.sum(now));
  }
  return left;
}

void QuotaLedger::Account::replace(const QuotaAllowance& next) {
  allowance = next;
  bucket = std::min(bucket, allowance.burst);
  coming.reset();
  std::erase_if(formers,
                [&](const FormerQuota& former) { return former.allowance.in_window <= next.in_window; });
}

void QuotaLedger::Account::take_coming(Duration window, TimePoint now) {
  std::erase_if(formers, [&](const FormerQuota& former) { return now >= former.until; });
  if (!coming || now < coming->binds_at) {
    return;
  }
  // No window that the lower quota bounds reaches back behind this moment: its own window begins empty.
  // Without this a tenant was refused for seconds right after the change, for what it had spent under the
  // former quota.
  const QuotaAllowance next = coming->allowance;
  formers.push_back({allowance, spent, now + window});
  spent = SpendingWindow<kWindowSteps>(window);
  replace(next);
}

QuotaLedger::Account& QuotaLedger::open_account(const fleet::Tenant& tenant, TimePoint now) {
  Account& account = accounts_.try_emplace(tenant.name, tolerance_.window).first->second;
  account.allowance = QuotaAllowance(tenant.quota, tolerance_);
  // Before this member's start all may have been spent, the burst right before it; what has gathered since is
  // there.
  const double unknown = 1 - to_seconds(age(now)) / to_seconds(tolerance_.window);
  if (unknown > 0) {
    account.spent.fill(unknown * (account.allowance.in_window - account.allowance.burst), now);
    account.spent.add(account.allowance.burst, began_);
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
    if (next.in_window >= account.allowance.in_window) {
      account.replace(next);
      continue;
    }
    const TimePoint binds_at = account.coming ? account.coming->binds_at : now + tolerance_.lower_after;
    account.coming = ComingQuota{next, binds_at};
  }
  std::erase_if(accounts_, [&](const auto& entry) {
    const bool gone = limited.count(entry.first) == 0;
    if (gone) {
      told_.erase(entry.first);
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

void QuotaLedger::on_router(const std::vector<fleet::TenantSpending>& spending, TimePoint now) {
  for (const fleet::TenantSpending& entry : spending) {
    const auto found = accounts_.find(entry.tenant);
    if (found == accounts_.end()) {
      continue;  // its quota was taken away
    }
    found->second.own_sum += entry.amount;
    found->second.own_changed = true;
    found->second.spend(static_cast<double>(entry.amount), now);
  }
}

void QuotaLedger::on_peer(const std::string& peer, uint64_t start_id, SumsScope scope,
                          const std::vector<fleet::TenantSpending>& sums, TimePoint now) {
  Peer& entry = peers_[peer];
  const bool same_start = entry.start_id == start_id;
  if (scope == SumsScope::kChanged && !same_start) {
    return;  // the whole is asked for, and tells the same and more
  }
  // All that a member has told since its start is new when an earlier start of it was known, and with its
  // first message. Else it is older than this member's count, as far as this one can tell. Without the first
  // message as a beginning, members that had started together never counted what the others' routers spent.
  const bool counts = entry.start_id != 0 || scope == SumsScope::kFirst;
  if (!same_start) {
    entry.sums.clear();
    entry.start_id = start_id;
  }
  for (const fleet::TenantSpending& sum : sums) {
    int64_t& known = entry.sums[sum.tenant];
    if (counts) {
      spend(sum.tenant, static_cast<double>(sum.amount - known), now);
    }
    known = sum.amount;
  }
}

void QuotaLedger::adopt(const std::vector<fleet::WindowSpending>& windows, Duration age, TimePoint now) {
  if (age <= this->age(now) || this->age(now) > tolerance_.window) {
    return;
  }
  for (const fleet::WindowSpending& entry : windows) {
    const auto found = accounts_.find(entry.tenant);
    if (found == accounts_.end()) {
      continue;  // its configuration has not come to this member yet
    }
    Account& account = found->second;
    account.spent.restore(entry.spent, now);
    account.bucket = static_cast<double>(entry.bucket);
    account.refilled_at = now;
  }
  began_ = now - age;
}

void QuotaLedger::update(double unheard_share, TimePoint now) {
  const double elapsed_s = updated_at_ == TimePoint(0) ? 0 : to_seconds(now - updated_at_);
  // What went unheard before it was noticed counts as well.
  const double newly_unheard = std::max(0.0, unheard_share - unheard_share_);
  const double unheard_s = unheard_share * elapsed_s + newly_unheard * to_seconds(kNoticeTime);
  unheard_share_ = unheard_share;
  updated_at_ = now;
  metered_ = 0;
  for (auto& [tenant, account] : accounts_) {
    account.refill(now);
    account.take_coming(tolerance_.window, now);
    if (account.spent.sum(now) > kFarBelow * account.allowance.in_window) {
      account.spend(unheard_s * account.allowance.per_second, now);
      account.bucket = std::min(account.bucket, (1 - unheard_share) * account.allowance.burst);
    }
    const double level = account.level(now);
    const double enough = (account.metered ? kMeteredUntil : kMeteredBelow) * account.allowance.burst;
    const bool was_metered = account.metered;
    account.metered = level < enough;
    if (account.metered != was_metered) {
      changes_.push_back({tenant, static_cast<int64_t>(level), account.metered});
    }
    metered_ += account.metered ? 1 : 0;
    if (!account.metered && told_.find(tenant) == nullptr) {
      continue;  // routers don't meter what they were never told of
    }
    const double step = std::max(1.0, account.allowance.per_second * kTellStepS);
    const auto told = static_cast<int64_t>(std::floor(level / step) * step);
    told_.set(tenant, {tenant, account.metered ? told : 0, account.metered});
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
