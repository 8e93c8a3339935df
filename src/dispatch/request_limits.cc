/// RequestRun: limits that back ends name for all routers together.
#include "src/dispatch/rate_limit_header.h"
#include "src/dispatch/request_run.h"
#include "src/events/fleet_events.h"

namespace stoat::dispatch {

void RequestRun::note_rate_limit(const http1::Headers& headers) {
  // What another incarnation at the address, or a broken answer, says is not the back end's word.
  if (head_.status == kMisdirected || kind_ == AnswerKind::kFailure) {
    return;
  }
  const std::string& backend = backend_->record.id;
  const TimePoint now = context_.loop.now();
  const RateLimitReading reading = read_rate_limit(headers, context_.names.rate_limit);
  if (!reading.finding.empty()) {
    context_.metrics.count("stoat_router_limits_unreadable_total");
    if (context_.stories.take_lines(1, "limit unreadable", now)) {
      context_.stories.log().event(events::BackendLimitUnreadable{backend, reading.finding});
    }
  }
  std::optional<admission::LimitChange> change;
  if (reading.kind == RateLimitReading::Kind::kNamed) {
    change = context_.limits.note_named(backend, reading.per_second, now);
  } else if (reading.kind == RateLimitReading::Kind::kNone && kind_ != AnswerKind::kNotRun) {
    change = context_.limits.note_unnamed(backend, sent_at_);
  }
  if (change) {
    context_.stories.log().event(
        events::BackendLimitChanged{backend, change->per_second, change->before, "answer"});
  }
}

}  // namespace stoat::dispatch
