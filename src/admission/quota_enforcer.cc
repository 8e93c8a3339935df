#include "src/admission/quota_enforcer.h"

#include <algorithm>
#include <utility>

namespace stoat::admission {

namespace {

/// While requests are served, loads change and are reported every 100 ms. Without updates for this long, the
/// control plane is considered silent.
constexpr Duration kUpdateTimeout = 350ms;
/// Below this fraction of the burst, requests are admitted with a probability proportional to what is left.
/// All routers decide on levels that are a few tenths of a second old; otherwise they would all admit
/// requests and then all refuse them.
constexpr double kRationingThreshold = 0.25;
/// While the control plane is silent, a router accrues at most this many seconds of its share of the rate:
/// about as long as access keys are accepted without the control plane.
constexpr double kMaxAccrualS = 5;
/// Minimum delay after which a refused caller may retry.
constexpr Duration kMinRetryDelay = 50ms;

}  // namespace

void QuotaEnforcer::configure(const std::vector<fleet::Tenant>& tenants) {
  std::map<std::string, Account> accounts;
  for (const fleet::Tenant& tenant : tenants) {
    if (!tenant.quota.limited()) {
      continue;
    }
    const auto known = accounts_.find(tenant.name);
    Account account = known == accounts_.end() ? Account() : known->second;
    account.allowance = QuotaAllowance(tenant.quota, tolerance_);
    accounts.emplace(tenant.name, account);
  }
  accounts_ = std::move(accounts);
}

void QuotaEnforcer::on_level(const fleet::QuotaLevel& level) {
  const auto found = accounts_.find(level.tenant);
  if (found == accounts_.end()) {
    return;  // the configuration that adds or removes this quota has not arrived yet
  }
  Account& account = found->second;
  account.metered = level.metered;
  account.last_level = static_cast<double>(level.level);
}

void QuotaEnforcer::on_member_change() {
  for (auto& [tenant, account] : accounts_) {
    account.metered = false;
  }
  for (const NumberedSpending& batch : std::exchange(unconfirmed_, {})) {
    for (const fleet::TenantSpending& entry : batch.spending) {
      unreported_[entry.tenant] += entry.amount;
    }
  }
}

QuotaDecision QuotaEnforcer::decide_by_level(const Account& account, int64_t cost, TimePoint now) {
  const double left = account.last_level - account.recent.sum(now);
  if (random_.chance(std::clamp(left / (kRationingThreshold * account.allowance.burst), 0.0, 1.0))) {
    return {};
  }
  const double missing = static_cast<double>(cost) - std::min(0.0, left);
  return {false, std::max(kMinRetryDelay, from_seconds(missing / account.allowance.per_second))};
}

QuotaDecision QuotaEnforcer::decide_without_control(Account& account, int64_t cost, TimePoint now) {
  const double rate = kDisconnectedRateFraction * account.allowance.per_second / router_count_;
  const double max_accrued = kMaxAccrualS * rate;
  if (account.accrued_at < last_update_at_) {
    account.accrued = 0;
    account.accrued_at = last_update_at_;
  }
  account.accrued = std::min(max_accrued, account.accrued + rate * to_seconds(now - account.accrued_at));
  account.accrued_at = now;
  const auto needed = static_cast<double>(std::max<int64_t>(1, cost));
  const double taken = std::min(needed, account.accrued);
  // The amount is deducted even if the request is then refused. An admitted request may spend
  // more than was deducted, so on average as much is spent as was deducted.
  account.accrued -= taken;
  if (random_.chance(taken / needed)) {
    return {};
  }
  return {false, std::max(kMinRetryDelay, from_seconds((needed - taken) / account.allowance.per_second))};
}

QuotaDecision QuotaEnforcer::admit(const std::string& tenant, int64_t cost, TimePoint now) {
  const auto found = accounts_.find(tenant);
  if (found == accounts_.end()) {
    return {};
  }
  Account& account = found->second;
  QuotaDecision decision;
  if (account.metered) {
    const bool silent = now - last_update_at_ > kUpdateTimeout;
    decision = silent ? decide_without_control(account, cost, now) : decide_by_level(account, cost, now);
  }
  if (decision.admitted) {
    charge(tenant, cost, now);
  }
  return decision;
}

void QuotaEnforcer::charge(const std::string& tenant, int64_t cost, TimePoint now) {
  const auto found = accounts_.find(tenant);
  if (found == accounts_.end()) {
    return;
  }
  found->second.recent.add(static_cast<double>(cost), now);
  unreported_[tenant] += cost;
}

NumberedSpending QuotaEnforcer::take_unreported() {
  NumberedSpending batch;
  for (const auto& [tenant, amount] : std::exchange(unreported_, {})) {
    if (amount != 0) {
      batch.spending.push_back({tenant, amount});
    }
  }
  if (!batch.spending.empty()) {
    batch.number = ++last_batch_number_;
    unconfirmed_.push_back(batch);
  }
  return batch;
}

void QuotaEnforcer::confirm(uint64_t number) {
  while (!unconfirmed_.empty() && unconfirmed_.front().number <= number) {
    unconfirmed_.pop_front();
  }
}

}  // namespace stoat::admission
