/// ActiveRequest: back ends that want rest, or are leaving.
#include <algorithm>

#include "src/dispatch/active_request.h"
#include "src/dispatch/rate_limit_header.h"
#include "src/events/fleet_events.h"

namespace stoat::dispatch {

namespace {

/// Routers that were given the same rest come back spread over this part of it.
constexpr double kRestSpread = 0.1;

}  // namespace

void ActiveRequest::note_rest(const http1::Headers& headers) {
  if (kind_ != AnswerKind::kNotRun || head_.status != kUnavailable) {
    return;
  }
  const std::string& backend = backend_->record.id;
  const TimePoint now = context_.loop.now();
  const NumberReading reading = read_rest(headers, context_.names.rest);
  if (!reading.finding.empty()) {
    context_.metrics.count("stoat_router_rests_unreadable_total");
    if (context_.stories.take_lines(1, "rest unreadable", now)) {
      context_.stories.log().event(events::BackendRetryAfterUnreadable{backend, reading.finding});
    }
  }
  if (reading.kind != NumberReading::Kind::kNamed) {
    return;
  }
  const Duration rest = from_seconds(reading.value);
  backend_->rest.begin(now + rest + from_seconds(reading.value * kRestSpread * context_.random.unit()));
  context_.metrics.count("stoat_router_rests_total");
  if (context_.stories.take_lines(1, "backend rests", now)) {
    context_.stories.log().event(events::BackendBackoffStarted{backend, to_milliseconds(rest)});
  }
}

void ActiveRequest::note_leaving(const http1::Headers& headers) {
  const std::string* leaving = headers.find(context_.names.leaving);
  const bool own_word = head_.status != kMisdirected && kind_ != AnswerKind::kFailure;
  if (leaving == nullptr || *leaving != "1" || !own_word ||
      backend_->record.state != fleet::BackendState::kReady) {
    return;
  }
  const std::string& backend = backend_->record.id;
  context_.pool.retire({{backend, fleet::BackendState::kDraining}});
  if (context_.stories.take_lines(1, "backend leaving", context_.loop.now())) {
    context_.stories.log().event(events::BackendLeaving{backend});
  }
}

void ActiveRequest::wait_for_rest(const std::vector<BackendPtr>& resting) {
  const TimePoint now = context_.loop.now();
  TimePoint first = resting.front()->rest.until();
  for (const BackendPtr& backend : resting) {
    first = std::min(first, backend->rest.until());
  }
  if (now < wait_until_ && first <= wait_until_) {
    wait_a_step();
    return;
  }
  context_.metrics.count("stoat_router_rest_refusals_total", {{"route", plan_.route->name}});
  reply_own(kUnavailable, "all back ends rest", to_seconds(return_after(std::max(Duration(0), first - now))));
}

}  // namespace stoat::dispatch
