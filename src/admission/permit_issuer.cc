#include "src/admission/permit_issuer.h"

#include <algorithm>

namespace stoat::admission {

void PermitIssuer::start_leading(TimePoint now) {
  backends_.clear();
  grants_from_ = now + kPermitTakeoverDelay;
}

PermitGrant PermitIssuer::issue(const std::string& backend, double per_second, uint32_t count,
                                TimePoint now) {
  if (count == 0 || per_second <= 0) {
    return {};
  }
  if (now < grants_from_) {
    return {0, grants_from_ - now};
  }
  BackendPermits& permits = backends_[backend];
  const TimePoint start = std::max(now, permits.next_start);
  if (start - now > kPermitHorizon) {
    return {0, deny(permits, per_second, now)};
  }
  const auto batch = std::max<uint32_t>(1, static_cast<uint32_t>(per_second * to_seconds(kPermitBatchSpan)));
  const uint32_t granted = std::min(count, batch);
  permits.next_start = start + from_seconds(granted / per_second);
  return {granted, start - now};
}

Duration PermitIssuer::deny(BackendPermits& permits, double per_second, TimePoint now) {
  const TimePoint retry_at = std::max(permits.next_retry, permits.next_start);
  const Duration wait = retry_at - now - kPermitHorizon;
  if (wait >= kMaxPermitWait) {
    return kMaxPermitWait;
  }
  permits.next_retry = retry_at + from_seconds(1 / per_second);
  return wait;
}

void PermitIssuer::expire(TimePoint now) {
  std::erase_if(backends_, [now](const auto& entry) {
    return entry.second.next_start <= now && entry.second.next_retry <= now;
  });
}

}  // namespace stoat::admission
