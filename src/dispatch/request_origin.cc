/// ActiveRequest: the origin of a stream, that is the service and the software version at which it began. A
/// stream goes on only there, within one response and when its caller resumes it at any router.
#include <algorithm>

#include "src/dispatch/active_request.h"

namespace stoat::dispatch {

namespace {

/// The first event waits at most this long for the record of the stream's origin to be stored.
constexpr Duration kMaxRecordWait = 100ms;
/// Once this much is held, the backend is not read until the events are released.
constexpr size_t kMaxHeldBytes = 64U << 10U;
/// When to resume again after too few control members have answered.
constexpr Duration kInconclusiveRetryAfter = 300ms;
/// Added to the lifetime of records: callers resume until their deadline, by their own clocks.
constexpr int64_t kRecordSlackMs = 2000;

}  // namespace

bool ActiveRequest::is_resumable_stream() const {
  return plan_.route->kind == fleet::RouteKind::kStreaming && plan_.route->resumable;
}

uint64_t ActiveRequest::stream_key() const {
  const std::string& first =
      last_event_id_ && !plan_.fields.resumes.empty() ? plan_.fields.resumes : plan_.fields.id;
  return fleet::stream_key(plan_.tenant == nullptr ? "" : plan_.tenant->name, first);
}

void ActiveRequest::find_origin() {
  arm_timer(deadline_);
  const std::weak_ptr<ActiveRequest> weak = weak_from_this();
  context_.streams.find(stream_, plan_.service, [weak](const streams::OriginFinding& finding) {
    if (const auto request = weak.lock()) {
      request->on_origin_found(finding);
    }
  });
}

void ActiveRequest::on_origin_found(const streams::OriginFinding& finding) {
  if (finished_) {
    return;
  }
  const auto& shares = plan_.route->shares;
  const auto is_served = [&](const std::string& service) {
    return std::any_of(shares.begin(), shares.end(),
                       [&](const auto& share) { return share.service == service; });
  };
  // Where a route has several services, the only version of one of them says nothing.
  const bool conclusive = finding.source != streams::OriginSource::kOnlyVersion || shares.size() == 1;
  const bool known = finding.record && conclusive && is_served(finding.record->origin.service);
  event_log_.add(events::StreamOriginSearched{
      known ? to_text(finding.source) : to_text(streams::OriginSource::kUnknown),
      known ? finding.record->origin.software : "", to_milliseconds(context_.loop.now() - plan_.arrived)});
  context_.metrics.count(
      "stoat_router_resumptions_total",
      {{"service", plan_.service},
       {"origin", known ? to_text(finding.source) : to_text(streams::OriginSource::kUnknown)}});
  if (!known) {
    const Duration retry_after = finding.conclusive ? Duration(0) : kInconclusiveRetryAfter;
    refuse_resumption("it is not known where the stream began", retry_after);
    return;
  }
  plan_.service = finding.record->origin.service;
  origin_ = finding.record->origin;
  track_record(*origin_, finding.record->generation);
  begin();
}

void ActiveRequest::refuse_resumption(const char* reason, Duration retry_after) {
  reply_with_error(kUnavailable, reason, to_seconds(retry_after));
}

bool ActiveRequest::origin_is_gone() const {
  // A router that has just started does not know all backends yet.
  const bool starting = context_.loop.now() < context_.startup_ends_at;
  if (!origin_ || executed_ != Executed::kNo || starting) {
    return false;
  }
  const std::vector<BackendPtr> backends = context_.pool.of_service(origin_->service);
  return std::none_of(backends.begin(), backends.end(), [this](const BackendPtr& backend) {
    return backend->record.state == fleet::BackendState::kReady && may_go_on_at(*backend, *origin_);
  });
}

bool ActiveRequest::may_go_on_at(const Backend& backend, const fleet::StreamOrigin& origin) const {
  const fleet::BackendRecord& record = backend.record;
  const bool same = record.service == origin.service && record.software == origin.software;
  // Backends that don't report a version are alike only if none of their service reports one.
  const bool reported = !record.software.empty() || !context_.streams.needs_records(origin.service);
  return same && reported &&
         context_.versions.may_go_on(origin.service, origin.software, context_.loop.now());
}

void ActiveRequest::track_record(const fleet::StreamOrigin& origin, uint32_t generation) {
  const int64_t caller_ms = plan_.fields.deadline_ms.value_or(2 * plan_.route->timeout_ms);
  fleet::StreamRecord record;
  record.stream = stream_;
  record.origin = origin;
  record.generation = generation;
  record.lifetime_ms = std::max(caller_ms, plan_.route->timeout_ms) + kRecordSlackMs;
  tracked_record_ = record;
  ++tracked_uses_;
  const auto policy = plan_.route->shares.size() > 1 ? streams::RecordPolicy::kAlways
                                                     : streams::RecordPolicy::kIfVersionsDiffer;
  const std::weak_ptr<ActiveRequest> weak = weak_from_this();
  context_.streams.track(record, policy, [weak] {
    if (const auto request = weak.lock()) {
      request->release_held_events();
    }
  });
}

void ActiveRequest::record_origin(const Backend& backend) {
  held_events_.clear();
  held_bytes_ = 0;
  if (!is_resumable_stream() || origin_) {
    return;
  }
  const fleet::StreamOrigin origin{plan_.service, backend.record.software};
  if (!tracked_record_) {
    track_record(origin, 0);
  } else if (tracked_record_->origin != origin) {
    track_record(origin, tracked_record_->generation + 1);
  }
}

void ActiveRequest::untrack_records() {
  for (; tracked_uses_ > 0; --tracked_uses_) {
    context_.streams.untrack(stream_);
  }
}

bool ActiveRequest::hold_event(const delivery::StreamEvent& event) {
  if (origin_) {
    return false;
  }
  if (!is_resumable_stream() || (held_events_.empty() && context_.streams.is_stored(stream_))) {
    begin_stream_at_origin();
    return false;
  }
  held_events_.push_back({std::string(event.bytes), event.id});
  held_bytes_ += event.bytes.size();
  update_reading();
  if (held_events_.size() == 1) {
    const std::weak_ptr<ActiveRequest> weak = weak_from_this();
    context_.loop.after(kMaxRecordWait, [weak, sent_at = sent_at_] {
      const auto request = weak.lock();
      if (request != nullptr && request->sent_at_ == sent_at) {
        request->on_record_wait_over();
      }
    });
  }
  return true;
}

void ActiveRequest::begin_stream_at_origin() {
  origin_ = fleet::StreamOrigin{plan_.service, backend_->record.software};
}

void ActiveRequest::release_held_events() {
  if (held_events_.empty() || finished_ || backend_ == nullptr) {
    return;
  }
  begin_stream_at_origin();
  held_bytes_ = 0;
  for (const HeldEvent& event : std::exchange(held_events_, {})) {
    pass_on({event.bytes, event.id});
  }
  update_reading();
}

void ActiveRequest::update_reading() {
  if (connection_ != nullptr) {
    connection_->set_reading(!paused_ && held_bytes_ < kMaxHeldBytes);
  }
}

void ActiveRequest::on_record_wait_over() {
  if (held_events_.empty() || finished_ || backend_ == nullptr) {
    return;
  }
  if (context_.streams.may_be_outdated(stream_)) {
    fail_request("the stream's version could not be recorded");
    return;
  }
  context_.metrics.count("stoat_router_streams_unrecorded_total", {{"service", plan_.service}});
  release_held_events();
}

}  // namespace stoat::dispatch
