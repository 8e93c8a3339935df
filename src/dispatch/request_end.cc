/// ActiveRequest: ends a request, and records its outcome.
#include <event2/event.h>

#include <cmath>
#include <cstdio>

#include "src/dispatch/active_request.h"

namespace stoat::dispatch {

namespace {

constexpr int kGatewayTimeout = 504;
/// Reason of responses of a router that stops.
constexpr const char* kRouterEnds = "the router stops";
/// Retry-After of requests that other routers can take at once.
constexpr Duration kOtherRouterRetryAfter = 50ms;
/// Retry-After, in seconds, when no backend of the service is known: backends send a heartbeat about every
/// second.
constexpr double kNoBackendRetryAfterS = 1.5;

}  // namespace

std::string retry_after_text(double seconds) {
  char text[16];
  std::snprintf(text, sizeof(text), "%.2f", seconds);
  return text;
}

void ActiveRequest::fail_request(const char* reason) {
  if (finished_) {
    return;
  }
  const bool in_flight = backend_ != nullptr;
  if (in_flight) {
    record_rollout_end(rollout::SendOutcome::kTimedOut);
    finish_exchange(false);
  }
  if (streaming_) {
    abort_stream(reason);
    return;
  }
  if (in_flight) {
    reply_with_error(kGatewayTimeout, reason, 0);
  } else if (executed_ == Executed::kMaybe) {
    reply_with_error(kBadGateway, reason, 0);
  } else {
    const std::vector<BackendPtr> serving = ready_in_subset();
    const double retry_after_s =
        serving.empty() ? kNoBackendRetryAfterS : to_seconds(compute_retry_after(outlook(serving).wait));
    reply_with_error(kUnavailable, reason, retry_after_s);
  }
}

void ActiveRequest::refuse_if_too_late() {
  if (backend_ != nullptr || streaming_ || !may_outlast_router()) {
    return;
  }
  const auto keep = shared_from_this();
  if (executed_ == Executed::kMaybe) {
    fail_request(kRouterEnds);
    return;
  }
  reply_with_error(kUnavailable, kRouterEnds, to_seconds(kOtherRouterRetryAfter));
}

void ActiveRequest::end_with_router() { fail_request(kRouterEnds); }

void ActiveRequest::reply_with_error(int status, const char* reason, double retry_after_s) {
  edge::ResponseHead head;
  head.status = status;
  head.headers.add(context_.names.request_id, plan_.fields.id);
  head.headers.add("Content-Type", "text/plain");
  if (retry_after_s > 0) {
    head.headers.add("Retry-After", retry_after_text(retry_after_s));
  }
  answer_->reply(head, std::string(reason) + "\n");
  finish_request(reason, status);
}

void ActiveRequest::abort_stream(const char* reason) {
  if (backend_ != nullptr) {
    record_rollout_end(rollout::SendOutcome::kTimedOut);
    finish_exchange(false);
  }
  answer_->abort();
  finish_request(reason, 0);
}

void ActiveRequest::cancel(const char* reason) {
  if (backend_ != nullptr) {
    record_rollout_end(rollout::SendOutcome::kAbandoned);
    finish_exchange(false);
  }
  finish_request(reason, 0);
}

bool ActiveRequest::missed_objective(TimePoint now) const {
  const fleet::Route& route = *plan_.route;
  const TimePoint answered = first_event_at_ > TimePoint(0) ? first_event_at_ : now;
  const bool paused = route.gap_target_ms > 0 && longest_pause_ > Duration(1000 * route.gap_target_ms);
  return paused ||
         (route.target_latency_ms > 0 && answered - plan_.arrived > Duration(1000 * route.target_latency_ms));
}

void ActiveRequest::observe(bool success, TimePoint now) const {
  constexpr double kMicrosecondsPerSecond = 1e6;
  const Metrics::Labels labels = {{"route", plan_.route->name}};
  const auto seconds = [&](TimePoint at) {
    return static_cast<double>((at - plan_.arrived).count()) / kMicrosecondsPerSecond;
  };
  if (success) {
    context_.metrics.observe("stoat_router_request_seconds", seconds(now), labels);
  }
  if (first_event_at_ > TimePoint(0)) {
    context_.metrics.observe("stoat_router_first_event_seconds", seconds(first_event_at_), labels);
  }
}

void ActiveRequest::charge_retry() {
  if (executed_ == Executed::kMaybe && plan_.quota_cost > 0) {
    context_.quotas.charge(plan_.tenant->name, plan_.quota_cost, context_.loop.now());
  }
}

void ActiveRequest::refund_quota() {
  if (executed_ == Executed::kNo && !outcome_unknown_ && plan_.quota_cost > 0) {
    context_.quotas.refund(plan_.tenant->name, plan_.quota_cost, context_.loop.now());
  }
}

void ActiveRequest::finish_request(const char* outcome, int status) {
  if (finished_) {
    return;
  }
  finished_ = true;
  answer_->set_flow_handler(nullptr);
  leave_queue();
  end_lease_request();
  untrack_records();
  refund_quota();
  event_del(timer_);
  const TimePoint now = context_.loop.now();
  context_.metrics.count("stoat_router_requests_total", {{"status", std::to_string(status)}});
  const bool success = status >= 200 && status < kFirstErrorStatus;
  const bool is_late = missed_objective(now);
  observe(success, now);
  const int64_t first_ms =
      first_event_at_ > TimePoint(0) ? to_milliseconds(first_event_at_ - plan_.arrived) : -1;
  const int64_t expected_ms =
      expected_ ? to_milliseconds(sent_at_ - plan_.arrived) + std::llround(expected_->forecast.total_ms())
                : -1;
  event_log_.add(events::RequestEnded{outcome, status, static_cast<uint32_t>(tried_.size()), refusals_,
                                      to_milliseconds(now - plan_.arrived), first_ms, expected_ms,
                                      to_milliseconds(longest_pause_), is_late});
  event_log_.finish(context_.request_log_sampler, !success || is_late, outcome, now);
  on_done_(this);
}

}  // namespace stoat::dispatch
