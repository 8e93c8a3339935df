/// ActiveRequest: backends that fall over when they have to turn more than a few requests away in a second.
#include <utility>

#include "src/dispatch/active_request.h"
#include "src/dispatch/rate_limit_header.h"
#include "src/events/fleet_events.h"

namespace stoat::dispatch {

namespace {

/// How long this router sends nothing to a brittle backend that has refused a request. After that it sends
/// one request, and others once that was accepted.
constexpr Duration kBackoffAfterRefusal = 1s;

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
  if (brittle != backend_->brittle && context_.request_log_sampler.reserve_lines(1, "brittle backend", now)) {
    context_.request_log_sampler.log().event(
        events::BackendBrittleChanged{backend, brittle, reading.value, reading.finding});
  }
  const bool was_known = std::exchange(backend_->brittle, brittle);
  if (brittle && kind_ == ResponseKind::kNotRun) {
    note_brittle_rejection(was_known);
    backend_->backoff.begin(now + kBackoffAfterRefusal);
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

void ActiveRequest::wait_for_room(const std::vector<BackendPtr>& full) {
  if (context_.loop.now() < wait_deadline_) {
    schedule_poll();
    return;
  }
  context_.metrics.count("stoat_router_load_refusals_total", {{"route", plan_.route->name}});
  reply_with_error(kUnavailable, "brittle back ends are full",
                   to_seconds(compute_retry_after(outlook(full).wait)));
}

}  // namespace stoat::dispatch
