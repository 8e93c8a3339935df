/// ActiveRequest: requests during which backends crash.
#include <algorithm>
#include <tuple>
#include <utility>

#include "src/common/hash.h"
#include "src/dispatch/active_request.h"

namespace stoat::dispatch {

namespace {

/// A suspect is sent to one backend at a time in the whole fleet, at this rate in trials per second. It is
/// low enough for every router to learn of a crash before the next trial.
constexpr double kTrialsPerSecond = 0.5;
constexpr const char* kSuspectReason = "back ends crashed under the request";
/// A part of a prompt causes a crash when the answer to it begins. An answer that has been under way for this
/// long did not cause the crash.
constexpr Duration kMaxCrashDelay = 1s;

}  // namespace

ActiveRequest::WorstFeature ActiveRequest::worst_feature() const {
  const TimePoint now = context_.loop.now();
  const auto rank = [](const admission::StandingReason& reason) {
    return std::make_tuple(reason.standing, reason.crashes, reason.left);
  };
  WorstFeature worst{fingerprint_, context_.crashes.standing(fingerprint_, now)};
  for (const uint64_t part : part_features_) {
    const admission::StandingReason reason = context_.crashes.standing(part, now);
    if (rank(reason) > rank(worst.reason)) {
      worst = {part, reason};
    }
  }
  return worst;
}

bool ActiveRequest::blocked_by_crashes() {
  const WorstFeature worst = worst_feature();
  if (worst.reason.standing == admission::RequestStanding::kClear) {
    return false;
  }
  const bool trial_allowed =
      worst.reason.standing == admission::RequestStanding::kSuspect && executed_ == Executed::kNo;
  if (trial_allowed) {
    return wait_for_trial(worst.feature);
  }
  refuse_for_crashes(worst);
  return true;
}

bool ActiveRequest::wait_for_trial(uint64_t feature) {
  const TimePoint now = context_.loop.now();
  const std::string key = admission::trial_key(feature);
  if (context_.limits.per_second(key) <= 0) {
    context_.limits.apply_shared_limit({key, kTrialsPerSecond}, now);
  }
  if (context_.limits.may_send(key, now)) {
    return false;
  }
  if (context_.limits.note_unmet_request(key, now)) {
    context_.request_permits();
  }
  wait_for_permit({key}, kSuspectReason);
  return true;
}

void ActiveRequest::refuse_for_crashes(const WorstFeature& worst) {
  context_.metrics.count("stoat_router_quarantine_refusals_total", {{"route", plan_.route->name}});
  event_log_.add(events::RequestQuarantined{to_hex(worst.feature), worst.reason.crashes,
                                            to_milliseconds(worst.reason.left)});
  if (executed_ == Executed::kNo) {
    reply_with_error(kUnavailable, kSuspectReason, to_seconds(worst.reason.left));
  } else {
    fail_request(kSuspectReason);
  }
}

bool ActiveRequest::suspected() const { return worst_feature().reason.crashes >= admission::kSuspectCrashes; }

void ActiveRequest::spend_trial() {
  const WorstFeature worst = worst_feature();
  const std::string key = admission::trial_key(worst.feature);
  const bool used = worst.reason.crashes >= admission::kSuspectCrashes &&
                    context_.limits.consume_permit(key, context_.loop.now());
  trial_permit_ = used ? key : "";
}

void ActiveRequest::return_trial_permit() {
  const std::string key = std::exchange(trial_permit_, {});
  if (!key.empty()) {
    context_.limits.return_permit(key, sent_at_, context_.loop.now());
  }
}

void ActiveRequest::note_broken_exchange(const BackendPtr& backend) {
  if (counts_as_brittle(*backend)) {
    return;  // it falls over under load, which is no request's fault
  }
  const TimePoint now = context_.loop.now();
  std::erase_if(backend->broken_exchanges, [now](const BrokenExchange& exchange) {
    return now - exchange.at >= admission::kUnconfirmedCrashTimeout;
  });
  const bool answer_under_way =
      exchange_first_event_at_ > TimePoint(0) && now - exchange_first_event_at_ >= kMaxCrashDelay;
  backend->broken_exchanges.push_back(
      {fingerprint_, now, answer_under_way ? std::vector<uint64_t>{} : part_features_});
  if (context_.crashes.note_broken_exchange(fingerprint_, backend->record.id, now)) {
    context_.log_standing_change(fingerprint_, "break");
  }
  if (backend->ended_unexpectedly) {
    context_.note_crash(*backend, "gone");
  } else {
    context_.pool.check(backend);
  }
}

void ActiveRequest::clear_crash_suspicion() {
  std::vector<uint64_t> features = part_features_;
  features.push_back(fingerprint_);
  for (const uint64_t feature : features) {
    if (context_.crashes.clear_crashes(feature, context_.loop.now())) {
      context_.limits.forget(admission::trial_key(feature));
      context_.log_standing_change(feature, "good end");
    }
  }
}

}  // namespace stoat::dispatch
