/// ActiveRequest: rate limits that backends state in their responses, for all routers together.
#include <algorithm>

#include "src/dispatch/active_request.h"
#include "src/dispatch/rate_limit_header.h"
#include "src/events/fleet_events.h"

namespace stoat::dispatch {

namespace {

/// Number of rate-limited backends for which a request asks for permits when no other backend is available.
constexpr size_t kMaxPermitRequests = 8;

}  // namespace

void ActiveRequest::request_candidate_permits(const Candidates& found) {
  if (found.limited.empty()) {
    return;
  }
  // The first backend of the subset is the most likely one to hold the shared prefix of the prompt. It is
  // sent some requests even while others have room, since its responses show when its limit ends.
  const size_t count =
      found.best_available().empty() ? std::min(kMaxPermitRequests, found.limited.size()) : 1;
  bool ask = false;
  for (size_t position = 0; position < count; ++position) {
    ask = context_.limits.note_unmet_request(found.limited[position]->record.id, context_.loop.now()) || ask;
  }
  if (ask) {
    context_.request_permits();
  }
}

std::optional<TimePoint> ActiveRequest::earliest_permit_time(const std::vector<std::string>& limited) const {
  std::optional<TimePoint> first;
  for (size_t position = 0; position < std::min(kMaxPermitRequests, limited.size()); ++position) {
    const auto earliest_time = context_.limits.earliest_send_time(limited[position], context_.loop.now());
    if (!earliest_time) {
      return std::nullopt;
    }
    first = std::min(first.value_or(*earliest_time), *earliest_time);
  }
  return first;
}

void ActiveRequest::wait_for_permit(const std::vector<std::string>& limited, const char* reason) {
  const TimePoint now = context_.loop.now();
  const std::optional<TimePoint> earliest_time = earliest_permit_time(limited);
  if (now < wait_deadline_ && earliest_time.value_or(now) <= wait_deadline_) {
    schedule_poll();
    return;
  }
  context_.metrics.count("stoat_router_limit_refusals_total", {{"route", plan_.route->name}});
  reply_with_error(kUnavailable, reason, to_seconds(compute_retry_after(earliest_time.value_or(now) - now)));
}

void ActiveRequest::spend_permit(const Backend& backend) {
  const std::string& id = backend.record.id;
  if (context_.limits.per_second(id) <= 0) {
    return;
  }
  context_.metrics.count("stoat_router_limited_sends_total");
  if (!context_.limits.consume_permit(id, context_.loop.now())) {
    // Must not happen: the backend was chosen among those with a permit in the same iteration of the event
    // loop.
    context_.metrics.count("stoat_router_sends_without_permit_total");
    context_.request_log_sampler.log().error("request sent without a permit", {{"backend", id}});
  }
}

void ActiveRequest::note_rate_limit(const http1::Headers& headers) {
  // A response from another incarnation at the same address, or an invalid one, says nothing about this
  // backend.
  if (head_.status == kMisdirected || kind_ == ResponseKind::kInvalid) {
    return;
  }
  const std::string& backend = backend_->record.id;
  const TimePoint now = context_.loop.now();
  const NumberReading reading = read_rate_limit(headers, context_.names.rate_limit);
  if (!reading.finding.empty()) {
    context_.metrics.count("stoat_router_limits_unreadable_total");
    if (context_.request_log_sampler.reserve_lines(1, "limit unreadable", now)) {
      context_.request_log_sampler.log().event(events::BackendLimitUnreadable{backend, reading.finding});
    }
  }
  std::optional<admission::LimitChange> change;
  if (reading.kind == NumberReading::Kind::kPresent) {
    change = context_.limits.record_reported_limit(backend, reading.value, now);
  } else if (reading.kind == NumberReading::Kind::kNone && kind_ != ResponseKind::kNotRun) {
    change = context_.limits.record_response_without_limit(backend, sent_at_);
  }
  if (change && context_.request_log_sampler.reserve_lines(1, "limit changed", now)) {
    context_.request_log_sampler.log().event(
        events::BackendLimitChanged{backend, change->per_second, change->before, "answer"});
  }
}

}  // namespace stoat::dispatch
