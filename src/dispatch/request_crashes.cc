/// ActiveRequest: requests during which backends crash.
#include <algorithm>
#include <utility>

#include "src/common/hash.h"
#include "src/dispatch/active_request.h"

namespace stoat::dispatch {

namespace {

/// A suspect is sent to one backend at a time in the whole fleet, at this rate in trials per second. It is
/// low enough for every router to learn of a crash before the next trial.
constexpr double kTrialsPerSecond = 0.5;
constexpr const char* kSuspectReason = "back ends crashed under the request";

}  // namespace

bool ActiveRequest::blocked_by_crashes() {
  const admission::StandingReason reason = context_.crashes.standing(fingerprint_, context_.loop.now());
  if (reason.standing == admission::RequestStanding::kClear) {
    return false;
  }
  const bool trial_allowed =
      reason.standing == admission::RequestStanding::kSuspect && executed_ == Executed::kNo;
  if (trial_allowed) {
    return wait_for_trial();
  }
  refuse_for_crashes(reason);
  return true;
}

bool ActiveRequest::wait_for_trial() {
  const TimePoint now = context_.loop.now();
  const std::string key = admission::trial_key(fingerprint_);
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

void ActiveRequest::refuse_for_crashes(const admission::StandingReason& reason) {
  context_.metrics.count("stoat_router_quarantine_refusals_total", {{"route", plan_.route->name}});
  event_log_.add(
      events::RequestQuarantined{to_hex(fingerprint_), reason.crashes, to_milliseconds(reason.left)});
  if (executed_ == Executed::kNo) {
    reply_with_error(kUnavailable, kSuspectReason, to_seconds(reason.left));
  } else {
    fail_request(kSuspectReason);
  }
}

bool ActiveRequest::suspected() const {
  return context_.crashes.crashes(fingerprint_, context_.loop.now()) >= admission::kSuspectCrashes;
}

void ActiveRequest::spend_trial() {
  trial_permit_used_ =
      suspected() && context_.limits.consume_permit(admission::trial_key(fingerprint_), context_.loop.now());
}

void ActiveRequest::return_trial_permit() {
  if (std::exchange(trial_permit_used_, false)) {
    context_.limits.return_permit(admission::trial_key(fingerprint_), sent_at_, context_.loop.now());
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
  backend->broken_exchanges.push_back({fingerprint_, now});
  if (context_.crashes.note_broken_exchange(fingerprint_, backend->record.id, now)) {
    context_.log_standing_change(fingerprint_, "break");
  }
  if (backend->ended_unexpectedly) {
    context_.note_crash(*backend, "gone");
  } else {
    context_.pool.check(backend);
  }
}

void note_survival(DispatchContext& context, Backend& backend, TimePoint sent_at) {
  std::vector<BrokenExchange>& broken = backend.broken_exchanges;
  const auto first_earlier =
      std::partition(broken.begin(), broken.end(),
                     [sent_at](const BrokenExchange& exchange) { return exchange.at >= sent_at; });
  for (auto exchange = first_earlier; exchange != broken.end(); ++exchange) {
    context.crashes.note_survival(exchange->request, backend.record.id, context.loop.now());
  }
  broken.erase(first_earlier, broken.end());
}

void ActiveRequest::clear_crash_suspicion() {
  if (context_.crashes.clear_crashes(fingerprint_, context_.loop.now())) {
    context_.limits.forget(admission::trial_key(fingerprint_));
    context_.log_standing_change(fingerprint_, "good end");
  }
}

}  // namespace stoat::dispatch
