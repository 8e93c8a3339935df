#include "src/admission/backend_limits.h"

#include <algorithm>
#include <utility>

#include "src/admission/permit_issuer.h"

namespace stoat::admission {

namespace {

/// A permit request without an answer is given up after this time. Control-plane members normally answer
/// within a few milliseconds.
constexpr Duration kPermitAnswerTimeout = 300ms;
/// Delay before asking again after the asked member was found not to be the leader: it has no permits to
/// grant, and its successor is known soon.
constexpr Duration kNotLeaderRetryDelay = 100ms;
/// Minimum delay before the next permit request after one that granted nothing.
constexpr Duration kMinPermitRetryDelay = 20ms;
/// For this long, a limit learned from a response takes precedence over limits from the control plane, which
/// are older.
constexpr Duration kResponseLimitPrecedence = 1s;

}  // namespace

std::optional<LimitChange> BackendLimits::record_reported_limit(const std::string& backend, double per_second,
                                                                TimePoint now) {
  LimitedBackend& limited = limited_backends_[backend];
  limited.limit_updated_at = now;
  const bool first_from_response = !std::exchange(limited.from_response, true);
  const double before = std::exchange(limited.per_second, per_second);
  if (first_from_response || before != per_second) {
    unreported_[backend] = per_second;
    limited.retry_at = TimePoint(0);  // the previous answer was for another limit
  }
  return before == per_second ? std::nullopt : std::optional(LimitChange{backend, per_second, before});
}

std::optional<LimitChange> BackendLimits::record_response_without_limit(const std::string& backend,
                                                                        TimePoint sent_at) {
  const auto known = limited_backends_.find(backend);
  if (known == limited_backends_.end() || sent_at <= known->second.limit_updated_at) {
    return std::nullopt;
  }
  const double before = known->second.per_second;
  limited_backends_.erase(known);
  unreported_[backend] = 0;
  return LimitChange{backend, 0, before};
}

std::optional<LimitChange> BackendLimits::apply_shared_limit(const fleet::BackendLimit& reported,
                                                             TimePoint now) {
  const auto known = limited_backends_.find(reported.backend);
  const double before = known == limited_backends_.end() ? 0 : known->second.per_second;
  const bool recently_from_response = known != limited_backends_.end() && known->second.from_response &&
                                      now - known->second.limit_updated_at < kResponseLimitPrecedence;
  if (recently_from_response || before == reported.per_second) {
    return std::nullopt;
  }
  if (reported.per_second <= 0) {
    limited_backends_.erase(known);
    return LimitChange{reported.backend, 0, before};
  }
  LimitedBackend& limited = limited_backends_[reported.backend];
  limited.per_second = reported.per_second;
  limited.limit_updated_at = now;
  limited.from_response = false;
  limited.retry_at = TimePoint(0);
  return LimitChange{reported.backend, reported.per_second, before};
}

double BackendLimits::per_second(const std::string& backend) const {
  const auto known = limited_backends_.find(backend);
  return known == limited_backends_.end() ? 0 : known->second.per_second;
}

bool BackendLimits::may_send(const std::string& backend, TimePoint now) const {
  const auto known = limited_backends_.find(backend);
  if (known == limited_backends_.end()) {
    return true;
  }
  const LimitedBackend& limited = known->second;
  return limited.permits > 0 && now >= limited.usable_from && now < limited.usable_until;
}

bool BackendLimits::consume_permit(const std::string& backend, TimePoint now) {
  if (!may_send(backend, now)) {
    return false;
  }
  const auto known = limited_backends_.find(backend);
  if (known != limited_backends_.end()) {
    --known->second.permits;
    ++known->second.sent;
  }
  return true;
}

void BackendLimits::return_permit(const std::string& backend, TimePoint sent_at, TimePoint now) {
  const auto known = limited_backends_.find(backend);
  if (known == limited_backends_.end()) {
    return;
  }
  LimitedBackend& limited = known->second;
  const bool same_grant = sent_at >= limited.usable_from;
  if (same_grant && now < limited.usable_until) {
    ++limited.permits;
    limited.sent -= limited.sent > 0 ? 1 : 0;
  }
}

bool BackendLimits::permit_request_due(const LimitedBackend& limited, TimePoint now) const {
  const bool holds_permits = limited.permits > 0 && now < limited.usable_until;
  const bool pending = limited.pending_request != 0 && now - limited.requested_at < kPermitAnswerTimeout;
  return limited.unmet_requests > 0 && !holds_permits && !pending && now >= limited.retry_at;
}

bool BackendLimits::note_unmet_request(const std::string& backend, TimePoint now) {
  const auto known = limited_backends_.find(backend);
  if (known == limited_backends_.end()) {
    return false;
  }
  ++known->second.unmet_requests;
  return permit_request_due(known->second, now);
}

std::optional<TimePoint> BackendLimits::earliest_send_time(const std::string& backend, TimePoint now) const {
  const auto known = limited_backends_.find(backend);
  if (known == limited_backends_.end()) {
    return now;
  }
  const LimitedBackend& limited = known->second;
  if (limited.permits > 0 && now < limited.usable_until) {
    return std::max(now, limited.usable_from);
  }
  return limited.denied && now < limited.retry_at ? std::optional(limited.retry_at) : std::nullopt;
}

uint32_t BackendLimits::usable_permits(const LimitedBackend& limited, TimePoint now) {
  const Duration demand_period = std::max(now - limited.requested_at, kPermitLifetime);
  const double usable = limited.unmet_requests * to_seconds(kPermitLifetime) / to_seconds(demand_period);
  return std::max<uint32_t>(1, static_cast<uint32_t>(usable));
}

fleet::PermitRequest BackendLimits::take_permit_request(TimePoint now) {
  fleet::PermitRequest permit_request;
  permit_request.number = last_request_number_ + 1;
  for (auto& [backend, limited] : limited_backends_) {
    if (!permit_request_due(limited, now)) {
      continue;
    }
    permit_request.items.push_back({backend, limited.per_second, usable_permits(limited, now)});
    limited.unmet_requests = 0;
    limited.pending_request = permit_request.number;
    limited.requested_at = now;
  }
  last_request_number_ += permit_request.items.empty() ? 0 : 1;
  return permit_request;
}

void BackendLimits::apply_grant(LimitedBackend& limited, const fleet::GrantedPermits& grant, TimePoint now) {
  const Duration wait = Duration(1000 * std::max<int64_t>(0, grant.wait_ms));
  limited.denied = grant.count == 0;
  if (limited.denied) {
    limited.retry_at = now + std::max(wait, kMinPermitRetryDelay);
    return;
  }
  limited.permits = grant.count;
  // Both ends lie within the interval that the leader reserved: it answered after the request was sent and
  // before now.
  limited.usable_from = now + wait;
  limited.usable_until = limited.requested_at + wait + kPermitLifetime;
}

void BackendLimits::on_permit_answer(const fleet::PermitResponse& answer, TimePoint now) {
  for (const fleet::GrantedPermits& grant : answer.grants) {
    const auto known = limited_backends_.find(grant.backend);
    if (known != limited_backends_.end() && known->second.pending_request == answer.number) {
      known->second.pending_request = 0;
      apply_grant(known->second, grant, now);
    }
  }
  for (auto& [backend, limited] : limited_backends_) {
    if (limited.pending_request == answer.number) {  // the member is not the leader
      limited.pending_request = 0;
      limited.retry_at = now + kNotLeaderRetryDelay;
    }
  }
}

std::vector<fleet::BackendLimit> BackendLimits::take_unreported(bool include_all) {
  std::map<std::string, double> reported = std::exchange(unreported_, {});
  for (const auto& [backend, limited] : limited_backends_) {
    if (include_all && limited.from_response) {
      reported.emplace(backend, limited.per_second);
    }
  }
  return fleet::to_list<fleet::BackendLimit>(reported);
}

std::vector<LimitUsage> BackendLimits::take_usage() {
  std::vector<LimitUsage> list;
  for (auto& [backend, limited] : limited_backends_) {
    const uint64_t sent = std::exchange(limited.sent, 0);
    if (sent > 0) {
      list.push_back({backend, limited.per_second, sent});
    }
  }
  return list;
}

}  // namespace stoat::admission
