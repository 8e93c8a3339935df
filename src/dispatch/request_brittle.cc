/// ActiveRequest: backends that fall over when they have to reject more than a few requests in a second. They
/// are sent only requests for which the leader of the control plane has leased one of their slots.
#include <algorithm>
#include <utility>

#include "src/dispatch/active_request.h"
#include "src/dispatch/rate_limit_header.h"
#include "src/events/fleet_events.h"

namespace stoat::dispatch {

namespace {

/// How long this router sends nothing to a brittle backend that has rejected a request. After that it sends
/// one request, and others once that was accepted.
constexpr Duration kBackoffAfterRejection = 1s;
/// A backend of a service with brittle ones counts as brittle until it has answered, for this long at most.
/// It may be one that fell over and is back.
constexpr Duration kPresumedBrittle = 5s;
/// Number of backends at any of which a request asks for a slot.
constexpr size_t kMaxRequestedBackends = 16;

}  // namespace

void ActiveRequest::note_brittle(const http1::Headers& headers) {
  const bool authoritative = head_.status != kMisdirected && kind_ != ResponseKind::kInvalid;
  if (!authoritative) {
    return;
  }
  const std::string& backend = backend_->record.id;
  const TimePoint now = context_.loop.now();
  const NumberReading reading = read_brittle(headers, context_.names.brittle);
  if (!reading.finding.empty()) {
    context_.metrics.count("stoat_router_brittle_unreadable_total");
  }
  // A brittle backend that can't be understood is still brittle.
  const bool brittle = reading.kind != NumberReading::Kind::kNone;
  const bool was_known = context_.brittle.contains(backend);
  const bool changed = brittle ? context_.brittle.record_announcement(backend, reading.value, now)
                               : context_.brittle.record_response_without(backend, sent_at_);
  if (changed && context_.request_log_sampler.reserve_lines(1, "brittle backend", now)) {
    context_.request_log_sampler.log().event(
        events::BackendBrittleChanged{backend, brittle, reading.value, reading.finding, "answer"});
  }
  backend_->answered = true;
  if (brittle && kind_ == ResponseKind::kNotRun) {
    note_brittle_rejection(was_known);
    context_.slots.note_rejection(backend);
    backend_->backoff.begin(now + kBackoffAfterRejection);
  }
}

void ActiveRequest::note_brittle_rejection(bool was_known) {
  const TimePoint now = context_.loop.now();
  context_.metrics.count("stoat_router_brittle_refusals_total",
                         {{"service", plan_.service}, {"known", was_known ? "yes" : "no"}});
  if (context_.request_log_sampler.reserve_lines(1, "brittle rejection", now)) {
    context_.request_log_sampler.log().event(events::BrittleBackendRejected{
        backend_->record.id, was_known, to_milliseconds(now - backend_->listed_at), backend_->outstanding,
        backend_->others_outstanding, to_milliseconds(context_.pool.total_load_age(now)),
        backend_->record.slots});
  }
}

bool ActiveRequest::counts_as_brittle(const Backend& backend) const {
  if (context_.brittle.contains(backend.record.id)) {
    return true;
  }
  const bool unheard = !backend.answered && context_.loop.now() - backend.listed_at < kPresumedBrittle;
  return unheard && context_.serves_brittle(plan_.service);
}

bool ActiveRequest::may_send_without_lease(const Backend& backend) const {
  // The routers together then send no more than one request each. Half of the slots is left for those of
  // which this router has not heard yet.
  const uint32_t known = backend.outstanding + backend.others_outstanding;
  return !context_.slots.grants_expected(context_.loop.now()) && known <= backend.record.slots / 2 &&
         context_.pool.own_outstanding(plan_.service) == 0;
}

bool ActiveRequest::needs_slot(const Backend& backend) const {
  return !context_.brittle.empty() && counts_as_brittle(backend) &&
         context_.slots.outcome(lease_request_).backend != backend.record.id &&
         !may_send_without_lease(backend);
}

bool ActiveRequest::send_with_slot(const Candidates& found) {
  const std::string leased = context_.slots.outcome(lease_request_).backend;
  if (leased.empty()) {
    return false;
  }
  const std::vector<BackendPtr>& usable = found.best_available();
  const auto target = std::find_if(usable.begin(), usable.end(),
                                   [&](const BackendPtr& backend) { return backend->record.id == leased; });
  if (target == usable.end()) {
    end_lease_request();
    return false;
  }
  leave_queue();
  dispatch({*target});
  return true;
}

bool ActiveRequest::prefers_slot(const Candidates& found) const {
  return !found.brittle.empty() && !lease_denied_ && (found.usable.empty() || found.brittle_first);
}

void ActiveRequest::wait_for_slot_lease(const Candidates& found) {
  const TimePoint now = context_.loop.now();
  if (lease_request_ == 0) {
    request_lease(found.brittle);
  }
  const admission::LeaseOutcome outcome = context_.slots.outcome(lease_request_);
  if (!outcome.wait && now < lease_wait_until_) {
    waiting_ = true;
    arm_timer(std::min(lease_wait_until_, now + kSlotPollInterval));
    return;
  }
  end_lease_request();
  lease_denied_ = true;
  if (!found.best_available().empty()) {
    admit(found.best_available());
    return;
  }
  if (executed_ != Executed::kNo) {
    fail_request("no back end");
    return;
  }
  context_.metrics.count("stoat_router_load_refusals_total", {{"route", plan_.route->name}});
  reply_with_error(kUnavailable, "brittle back ends are full",
                   to_seconds(compute_retry_after(outcome.wait.value_or(outlook(found.brittle).wait))));
}

void ActiveRequest::request_lease(const std::vector<BackendPtr>& brittle) {
  const TimePoint now = context_.loop.now();
  lease_wait_until_ =
      std::min(deadline_, std::max(wait_deadline_, now + context_.admission_thresholds.max_router_wait));
  std::vector<BackendPtr> preferred = brittle;
  std::stable_partition(preferred.begin(), preferred.end(),
                        [](const BackendPtr& backend) { return backend->has_free_slot(); });
  preferred.resize(std::min(preferred.size(), kMaxRequestedBackends));
  admission::LeaseRequest needed;
  needed.urgency = urgency();
  needed.wait_until = lease_wait_until_;
  for (const BackendPtr& backend : preferred) {
    needed.backends.push_back(backend->record.id);
  }
  const std::weak_ptr<ActiveRequest> weak = weak_from_this();
  const auto on_outcome = [weak] {
    if (const auto request = weak.lock(); request != nullptr && request->waiting_) {
      request->try_dispatch();
    }
  };
  lease_request_ = context_.slots.add_request(std::move(needed), on_outcome);
  context_.report_slots();
}

void ActiveRequest::end_lease_request() {
  if (lease_request_ != 0) {
    context_.slots.remove_request(std::exchange(lease_request_, 0));
    context_.report_slots();
  }
}

}  // namespace stoat::dispatch
