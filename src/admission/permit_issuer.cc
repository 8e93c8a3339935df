#include "src/admission/permit_issuer.h"

#include <algorithm>

namespace stoat::admission {

void PermitIssuer::begin(TimePoint now) {
  accounts_.clear();
  begins_ = now + kPermitTakeover;
}

PermitGrant PermitIssuer::ask(const std::string& backend, double per_second, uint32_t count, TimePoint now) {
  if (count == 0 || per_second <= 0) {
    return {};
  }
  if (now < begins_) {
    return {0, begins_ - now};
  }
  Account& account = accounts_[backend];
  const TimePoint start = std::max(now, account.next_start);
  if (start - now > kPermitHorizon) {
    return {0, deny(account, per_second, now)};
  }
  const auto lump = std::max<uint32_t>(1, static_cast<uint32_t>(per_second * to_seconds(kPermitLump)));
  const uint32_t granted = std::min(count, lump);
  account.next_start = start + from_seconds(granted / per_second);
  return {granted, start - now};
}

Duration PermitIssuer::deny(Account& account, double per_second, TimePoint now) {
  const TimePoint turn = std::max(account.next_turn, account.next_start);
  const Duration wait = turn - now - kPermitHorizon;
  if (wait >= kLongestPermitWait) {
    return kLongestPermitWait;
  }
  account.next_turn = turn + from_seconds(1 / per_second);
  return wait;
}

void PermitIssuer::expire(TimePoint now) {
  std::erase_if(accounts_, [now](const auto& entry) {
    return entry.second.next_start <= now && entry.second.next_turn <= now;
  });
}

}  // namespace stoat::admission
