/// ActiveRequest: limits that back ends name for all routers together.
#include <algorithm>

#include "src/dispatch/active_request.h"
#include "src/dispatch/rate_limit_header.h"
#include "src/events/fleet_events.h"

namespace stoat::dispatch {

namespace {

/// A request for which nothing but limited back ends is there asks for permits of so many of them.
constexpr size_t kMostWanted = 8;

}  // namespace

void ActiveRequest::want_permits(const Candidates& found) {
  if (found.limited.empty()) {
    return;
  }
  // The first of its cell is where the shared beginning of its prompt is most likely to be kept. That it gets
  // some requests also while others have room shows when its limit ends.
  const size_t count = found.to_send().empty() ? std::min(kMostWanted, found.limited.size()) : 1;
  bool ask = false;
  for (size_t position = 0; position < count; ++position) {
    ask = context_.limits.want(found.limited[position]->record.id, context_.loop.now()) || ask;
  }
  if (ask) {
    context_.request_permits();
  }
}

std::optional<TimePoint> ActiveRequest::first_chance(const std::vector<std::string>& limited) const {
  std::optional<TimePoint> first;
  for (size_t position = 0; position < std::min(kMostWanted, limited.size()); ++position) {
    const auto chance = context_.limits.earliest_send_time(limited[position], context_.loop.now());
    if (!chance) {
      return std::nullopt;
    }
    first = std::min(first.value_or(*chance), *chance);
  }
  return first;
}

void ActiveRequest::wait_for_permit(const std::vector<std::string>& limited, const char* reason) {
  const TimePoint now = context_.loop.now();
  const std::optional<TimePoint> chance = first_chance(limited);
  if (now < wait_until_ && chance.value_or(now) <= wait_until_) {
    wait_a_step();
    return;
  }
  context_.metrics.count("stoat_router_limit_refusals_total", {{"route", plan_.route->name}});
  reply_own(kUnavailable, reason, to_seconds(return_after(chance.value_or(now) - now)));
}

void ActiveRequest::spend_permit(const Backend& backend) {
  const std::string& id = backend.record.id;
  if (context_.limits.per_second(id) <= 0) {
    return;
  }
  context_.metrics.count("stoat_router_limited_sends_total");
  if (!context_.limits.spend(id, context_.loop.now())) {
    // Back ends are chosen among those that may be sent to, in the same turn of the loop.
    context_.metrics.count("stoat_router_sends_without_permit_total");
    context_.stories.log().error("request sent without a permit", {{"backend", id}});
  }
}

void ActiveRequest::note_rate_limit(const http1::Headers& headers) {
  // What another incarnation at the address, or a broken answer, says is not the back end's word.
  if (head_.status == kMisdirected || kind_ == AnswerKind::kFailure) {
    return;
  }
  const std::string& backend = backend_->record.id;
  const TimePoint now = context_.loop.now();
  const NumberReading reading = read_rate_limit(headers, context_.names.rate_limit);
  if (!reading.finding.empty()) {
    context_.metrics.count("stoat_router_limits_unreadable_total");
    if (context_.stories.take_lines(1, "limit unreadable", now)) {
      context_.stories.log().event(events::BackendLimitUnreadable{backend, reading.finding});
    }
  }
  std::optional<admission::LimitChange> change;
  if (reading.kind == NumberReading::Kind::kNamed) {
    change = context_.limits.record_reported_limit(backend, reading.value, now);
  } else if (reading.kind == NumberReading::Kind::kNone && kind_ != AnswerKind::kNotRun) {
    change = context_.limits.record_response_without_limit(backend, sent_at_);
  }
  if (change && context_.stories.take_lines(1, "limit changed", now)) {
    context_.stories.log().event(
        events::BackendLimitChanged{backend, change->per_second, change->before, "answer"});
  }
}

}  // namespace stoat::dispatch
