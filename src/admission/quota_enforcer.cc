#include "src/admission/quota_enforcer.h"

#include <algorithm>
#include <utility>

namespace stoat::admission {

namespace {

/// While anything runs loads change and are told each 100 ms. After so long without news control is silent.
constexpr Duration kNewsTrust = 350ms;
/// Below this part of the burst requests pass with a chance in proportion to what is left. All routers decide
/// on news that are a few tenths of a second old: without it they would all admit, and then all refuse.
constexpr double kRationedPart = 0.25;
/// A silent control leaves a router at most so many seconds of its part of the rate: about as long as keys
/// are honoured without control.
constexpr double kMostAloneS = 5;
/// The least time after which a refused caller may come again.
constexpr Duration kLeastRetry = 50ms;

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
    return;  // the configuration with its quota, or without it, is still on its way
  }
  Account& account = found->second;
  account.metered = level.metered;
  account.told = static_cast<double>(level.level);
}

void QuotaEnforcer::on_member_change() {
  for (auto& [tenant, account] : accounts_) {
    account.metered = false;
  }
  for (const NumberedSpending& batch : std::exchange(unconfirmed_, {})) {
    for (const fleet::TenantSpending& entry : batch.spending) {
      untold_[entry.tenant] += entry.amount;
    }
  }
}

QuotaDecision QuotaEnforcer::decide(const Account& account, int64_t cost, TimePoint now) {
  const double left = account.told - account.recent.sum(now);
  if (random_.chance(std::clamp(left / (kRationedPart * account.allowance.burst), 0.0, 1.0))) {
    return {};
  }
  const double missing = static_cast<double>(cost) - std::min(0.0, left);
  return {false, std::max(kLeastRetry, from_seconds(missing / account.allowance.per_second))};
}

QuotaDecision QuotaEnforcer::decide_alone(Account& account, int64_t cost, TimePoint now) {
  const double rate = kDisconnectedRateFraction * account.allowance.per_second / router_count_;
  const double most = kMostAloneS * rate;
  if (account.own_part_at < heard_at_) {
    account.own_part = 0;
    account.own_part_at = heard_at_;
  }
  account.own_part = std::min(most, account.own_part + rate * to_seconds(now - account.own_part_at));
  account.own_part_at = now;
  const auto wanted = static_cast<double>(std::max<int64_t>(1, cost));
  const double taken = std::min(wanted, account.own_part);
  account.own_part -= taken;  // also when the request is refused: on average as much is used as taken
  if (random_.chance(taken / wanted)) {
    return {};
  }
  return {false, std::max(kLeastRetry, from_seconds((wanted - taken) / account.allowance.per_second))};
}

QuotaDecision QuotaEnforcer::admit(const std::string& tenant, int64_t cost, TimePoint now) {
  const auto found = accounts_.find(tenant);
  if (found == accounts_.end()) {
    return {};
  }
  Account& account = found->second;
  QuotaDecision decision;
  if (account.metered) {
    const bool silent = now - heard_at_ > kNewsTrust;
    decision = silent ? decide_alone(account, cost, now) : decide(account, cost, now);
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
  untold_[tenant] += cost;
}

NumberedSpending QuotaEnforcer::take_unreported() {
  NumberedSpending batch;
  for (const auto& [tenant, amount] : std::exchange(untold_, {})) {
    if (amount != 0) {
      batch.spending.push_back({tenant, amount});
    }
  }
  if (!batch.spending.empty()) {
    batch.number = ++last_number_;
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
