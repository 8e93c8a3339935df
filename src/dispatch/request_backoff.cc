/// ActiveRequest: backends that asked for a backoff with Retry-After, or announced their shutdown.
#include <algorithm>

#include "src/dispatch/active_request.h"
#include "src/dispatch/rate_limit_header.h"
#include "src/events/fleet_events.h"

namespace stoat::dispatch {

namespace {

/// The backoff is extended by a random fraction of up to this much, so that routers that were given the same
/// delay do not return all at once.
constexpr double kBackoffJitter = 0.1;

}  // namespace

void ActiveRequest::apply_backoff(const http1::Headers& headers) {
  if (kind_ != ResponseKind::kNotRun || head_.status != kUnavailable) {
    return;
  }
  const std::string& backend = backend_->record.id;
  const TimePoint now = context_.loop.now();
  const NumberReading reading = read_backoff(headers, context_.names.retry_after);
  if (!reading.finding.empty()) {
    context_.metrics.count("stoat_router_rests_unreadable_total");
    if (context_.request_log_sampler.reserve_lines(1, "rest unreadable", now)) {
      context_.request_log_sampler.log().event(events::BackendRetryAfterUnreadable{backend, reading.finding});
    }
  }
  if (reading.kind != NumberReading::Kind::kPresent) {
    return;
  }
  const Duration delay = from_seconds(reading.value);
  backend_->backoff.begin(now + delay +
                          from_seconds(reading.value * kBackoffJitter * context_.random.uniform_real()));
  context_.metrics.count("stoat_router_rests_total");
  if (context_.request_log_sampler.reserve_lines(1, "backend rests", now)) {
    context_.request_log_sampler.log().event(events::BackendBackoffStarted{backend, to_milliseconds(delay)});
  }
}

void ActiveRequest::note_leaving(const http1::Headers& headers) {
  const std::string* leaving = headers.find(context_.names.leaving);
  const bool authoritative = head_.status != kMisdirected && kind_ != ResponseKind::kInvalid;
  if (leaving == nullptr || *leaving != "1" || !authoritative ||
      backend_->record.state != fleet::BackendState::kReady) {
    return;
  }
  const std::string& backend = backend_->record.id;
  context_.pool.retire({{backend, fleet::BackendState::kDraining}});
  if (context_.request_log_sampler.reserve_lines(1, "backend leaving", context_.loop.now())) {
    context_.request_log_sampler.log().event(events::BackendLeaving{backend});
  }
}

void ActiveRequest::wait_for_backoff(const std::vector<BackendPtr>& backing_off) {
  const TimePoint now = context_.loop.now();
  TimePoint first = backing_off.front()->backoff.until();
  for (const BackendPtr& backend : backing_off) {
    first = std::min(first, backend->backoff.until());
  }
  if (now < wait_deadline_ && first <= wait_deadline_) {
    schedule_poll();
    return;
  }
  context_.metrics.count("stoat_router_rest_refusals_total", {{"route", plan_.route->name}});
  reply_with_error(kUnavailable, "all back ends rest",
                   to_seconds(compute_retry_after(std::max(Duration(0), first - now))));
}

}  // namespace stoat::dispatch
