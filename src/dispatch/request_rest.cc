/// RequestRun: back ends that want rest.
#include "src/dispatch/rate_limit_header.h"
#include "src/dispatch/request_run.h"
#include "src/events/fleet_events.h"

namespace stoat::dispatch {

void RequestRun::note_rest(const http1::Headers& headers) {
  if (kind_ != AnswerKind::kNotRun || head_.status != kUnavailable) {
    return;
  }
  const std::string& backend = backend_->record.id;
  const TimePoint now = context_.loop.now();
  const NumberReading reading = read_rest(headers, context_.names.rest);
  if (!reading.finding.empty()) {
    context_.metrics.count("stoat_router_rests_unreadable_total");
    if (context_.stories.take_lines(1, "rest unreadable", now)) {
      context_.stories.log().event(events::BackendRestUnreadable{backend, reading.finding});
    }
  }
  if (reading.kind != NumberReading::Kind::kNamed) {
    return;
  }
  const Duration rest = from_seconds(reading.value);
  context_.metrics.count("stoat_router_rests_total");
  if (context_.stories.take_lines(1, "backend rests", now)) {
    context_.stories.log().event(events::BackendRests{backend, to_milliseconds(rest)});
  }
}

}  // namespace stoat::dispatch
