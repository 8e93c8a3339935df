#include "src/admission/backend_limits.h"

#include <algorithm>
#include <utility>

#include "src/admission/permit_issuer.h"

namespace stoat::admission {

namespace {

/// A question without an answer is given up after so long: members answer within some milliseconds.
constexpr Duration kAnswerTime = 300ms;
/// A member that does not lead any more knows nothing of permits; its successor is known soon.
constexpr Duration kLeaderChange = 100ms;
/// A router that got no permit asks again no sooner than after so long.
constexpr Duration kLeastWait = 20ms;
/// A limit in an answer to this router counts for so long against what control tells, which is older.
constexpr Duration kAnswerHolds = 1s;

}  // namespace

std::optional<LimitChange> BackendLimits::record_reported_limit(const std::string& backend, double per_second,
                                                                TimePoint now) {
  Limited& limited = limited_[backend];
  limited.heard = now;
  const bool first_here = !std::exchange(limited.heard_here, true);
  const double before = std::exchange(limited.per_second, per_second);
  if (first_here || before != per_second) {
    untold_[backend] = per_second;
    limited.ask_again = TimePoint(0);  // what was answered held for another limit
  }
  return before == per_second ? std::nullopt : std::optional(LimitChange{backend, per_second, before});
}

std::optional<LimitChange> BackendLimits::record_response_without_limit(const std::string& backend,
                                                                        TimePoint sent_at) {
  const auto known = limited_.find(backend);
  if (known == limited_.end() || sent_at <= known->second.heard) {
    return std::nullopt;
  }
  const double before = known->second.per_second;
  limited_.erase(known);
  untold_[backend] = 0;
  return LimitChange{backend, 0, before};
}

std::optional<LimitChange> BackendLimits::apply_shared_limit(const fleet::BackendLimit& told, TimePoint now) {
  const auto known = limited_.find(told.backend);
  const double before = known == limited_.end() ? 0 : known->second.per_second;
  const bool heard_lately =
      known != limited_.end() && known->second.heard_here && now - known->second.heard < kAnswerHolds;
  if (heard_lately || before == told.per_second) {
    return std::nullopt;
  }
  if (told.per_second <= 0) {
    limited_.erase(known);
    return LimitChange{told.backend, 0, before};
  }
  Limited& limited = limited_[told.backend];
  limited.per_second = told.per_second;
  limited.heard = now;
  limited.heard_here = false;
  limited.ask_again = TimePoint(0);
  return LimitChange{told.backend, told.per_second, before};
}

double BackendLimits::per_second(const std::string& backend) const {
  const auto known = limited_.find(backend);
  return known == limited_.end() ? 0 : known->second.per_second;
}

bool BackendLimits::may_send(const std::string& backend, TimePoint now) const {
  const auto known = limited_.find(backend);
  if (known == limited_.end()) {
    return true;
  }
  const Limited& limited = known->second;
  return limited.permits > 0 && now >= limited.usable_from && now < limited.usable_until;
}

bool BackendLimits::spend(const std::string& backend, TimePoint now) {
  if (!may_send(backend, now)) {
    return false;
  }
  const auto known = limited_.find(backend);
  if (known != limited_.end()) {
    --known->second.permits;
    ++known->second.sent;
  }
  return true;
}

void BackendLimits::give_back(const std::string& backend, TimePoint sent_at, TimePoint now) {
  const auto known = limited_.find(backend);
  if (known == limited_.end()) {
    return;
  }
  Limited& limited = known->second;
  const bool same_grant = sent_at >= limited.usable_from;
  if (same_grant && now < limited.usable_until) {
    ++limited.permits;
    limited.sent -= limited.sent > 0 ? 1 : 0;
  }
}

bool BackendLimits::question_due(const Limited& limited, TimePoint now) const {
  const bool holds_permits = limited.permits > 0 && now < limited.usable_until;
  const bool open = limited.question != 0 && now - limited.asked < kAnswerTime;
  return limited.wanted > 0 && !holds_permits && !open && now >= limited.ask_again;
}

bool BackendLimits::want(const std::string& backend, TimePoint now) {
  const auto known = limited_.find(backend);
  if (known == limited_.end()) {
    return false;
  }
  ++known->second.wanted;
  return question_due(known->second, now);
}

std::optional<TimePoint> BackendLimits::earliest_send_time(const std::string& backend, TimePoint now) const {
  const auto known = limited_.find(backend);
  if (known == limited_.end()) {
    return now;
  }
  const Limited& limited = known->second;
  if (limited.permits > 0 && now < limited.usable_until) {
    return std::max(now, limited.usable_from);
  }
  return limited.denied && now < limited.ask_again ? std::optional(limited.ask_again) : std::nullopt;
}

uint32_t BackendLimits::usable_permits(const Limited& limited, TimePoint now) {
  const Duration gathered = std::max(now - limited.asked, kPermitLife);
  const double usable = limited.wanted * to_seconds(kPermitLife) / to_seconds(gathered);
  return std::max<uint32_t>(1, static_cast<uint32_t>(usable));
}

fleet::PermitRequest BackendLimits::take_permit_request(TimePoint now) {
  fleet::PermitRequest question;
  question.number = last_number_ + 1;
  for (auto& [backend, limited] : limited_) {
    if (!question_due(limited, now)) {
      continue;
    }
    question.wishes.push_back({backend, limited.per_second, usable_permits(limited, now)});
    limited.wanted = 0;
    limited.question = question.number;
    limited.asked = now;
  }
  last_number_ += question.wishes.empty() ? 0 : 1;
  return question;
}

void BackendLimits::take_terms(Limited& limited, const fleet::GrantedPermits& terms, TimePoint now) {
  const Duration wait = Duration(1000 * std::max<int64_t>(0, terms.wait_ms));
  limited.denied = terms.count == 0;
  if (limited.denied) {
    limited.ask_again = now + std::max(wait, kLeastWait);
    return;
  }
  limited.permits = terms.count;
  // Both ends lie within those that the leader counts with: it answered after the question and before now.
  limited.usable_from = now + wait;
  limited.usable_until = limited.asked + wait + kPermitLife;
}

void BackendLimits::on_answer(const fleet::PermitResponse& answer, TimePoint now) {
  for (const fleet::GrantedPermits& terms : answer.terms) {
    const auto known = limited_.find(terms.backend);
    if (known != limited_.end() && known->second.question == answer.number) {
      known->second.question = 0;
      take_terms(known->second, terms, now);
    }
  }
  for (auto& [backend, limited] : limited_) {
    if (limited.question == answer.number) {  // the member does not lead
      limited.question = 0;
      limited.ask_again = now + kLeaderChange;
    }
  }
}

std::vector<fleet::BackendLimit> BackendLimits::take_unreported(bool anew) {
  std::map<std::string, double> told = std::exchange(untold_, {});
  for (const auto& [backend, limited] : limited_) {
    if (anew && limited.heard_here) {
      told.emplace(backend, limited.per_second);
    }
  }
  return fleet::to_list(told);
}

std::vector<LimitUsage> BackendLimits::take_usage() {
  std::vector<LimitUsage> list;
  for (auto& [backend, limited] : limited_) {
    const uint64_t sent = std::exchange(limited.sent, 0);
    if (sent > 0) {
      list.push_back({backend, limited.per_second, sent});
    }
  }
  return list;
}

}  // namespace stoat::admission
