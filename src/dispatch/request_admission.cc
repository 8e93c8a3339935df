/// ActiveRequest: load admission. Decides whether a request is sent, waits for a slot, or is refused.
#include <algorithm>
#include <limits>

#include "src/dispatch/active_request.h"

namespace stoat::dispatch {

namespace {

/// Assumed wait for a Retry-After when a request could not be placed although engines seem to have room.
constexpr Duration kUnknownWaitRetryAfter = 500ms;
constexpr double kMillisecondsPerSecond = 1000;

}  // namespace

uint32_t ActiveRequest::urgency() const {
  const uint32_t tenant_priority = plan_.tenant == nullptr ? 0 : plan_.tenant->priority;
  return std::min(kMaxUrgency, tenant_priority * kRoutePriorities + plan_.route->priority);
}

admission::RequestTimes ActiveRequest::times() const { return {plan_.arrived, deadline_}; }

admission::ServiceOutlook ActiveRequest::outlook(const std::vector<BackendPtr>& candidates) const {
  const auto free = [](const BackendPtr& backend) { return backend->has_free_slot(); };
  if (std::any_of(candidates.begin(), candidates.end(), free)) {
    return {};
  }
  const placement::ServiceSpeed& speed = context_.speeds[plan_.service];
  // Assumes that the shared parts of the prompt are loaded from elsewhere, the best case, so that a request
  // that can meet its deadline that way is not refused.
  const uint32_t own_tokens =
      chain_.prompt_tokens - std::min(chain_.prompt_tokens, placement::shared_tokens(chain_));
  const double others = mean_others_outstanding();
  double wait_ms = std::numeric_limits<double>::max();
  double answer_ms = 0;
  double taken = 0;
  double slots = 0;
  for (const BackendPtr& backend : candidates) {
    const placement::EngineQueue queue = queue_of(*backend, others);
    const auto forecast = placement::expect_first_event(speed, backend->speed, queue, own_tokens);
    if (forecast.wait_ms() < wait_ms) {
      wait_ms = forecast.wait_ms();
      answer_ms = forecast.prefill_ms + forecast.base_ms;
    }
    taken += placement::estimate_outstanding(queue, speed.run_ms());
    slots += queue.slots;
  }
  return {from_fractional_ms(wait_ms), from_fractional_ms(answer_ms),
          from_fractional_ms(speed.long_answer_ms()), taken / slots};
}

bool ActiveRequest::has_room() const {
  const std::vector<BackendPtr> found = candidates();
  return !found.empty() && admission::decide(times(), outlook(found), context_.admission_thresholds,
                                             context_.loop.now()) == admission::AdmissionVerdict::kSend;
}

void ActiveRequest::log_waiting() {
  events::RequestWaitingForBackend waits;
  for (const BackendPtr& backend : ready_in_subset()) {
    ++waits.known;
    waits.tried += tried_.count(backend->record.id) > 0 ? 1 : 0;
    waits.loading += backend->record.loading ? 1 : 0;
    waits.limited += context_.limits.may_send(backend->record.id, context_.loop.now()) ? 0 : 1;
  }
  event_log_.add(waits);
}

void ActiveRequest::admit(const std::vector<BackendPtr>& candidates) {
  // A retry of a request that an engine may have begun, such as a stream to be continued, is not queued.
  if (executed_ != Executed::kNo) {
    dispatch(candidates);
    return;
  }
  const TimePoint now = context_.loop.now();
  const bool wait_expired = now >= wait_deadline_;
  const admission::ServiceOutlook known = outlook(candidates);
  if (known.answer > Duration(0) && queue_number_ == 0) {
    context_.speeds[plan_.service].record_expected_answer(to_fractional_ms(known.answer));
  }
  const admission::AdmissionVerdict verdict =
      admission::decide(times(), known, context_.admission_thresholds, now);
  if (verdict == admission::AdmissionVerdict::kRefuse) {
    refuse_for_load(known);
    return;
  }
  admission::RequestQueue& queue = context_.queues[plan_.service];
  const bool is_next = wait_expired || (queue_number_ == 0 && queue.none_as_urgent(urgency()));
  if (verdict == admission::AdmissionVerdict::kSend && is_next) {
    leave_queue();
    dispatch(candidates);
    return;
  }
  wait_for_slot(known);
  queue.send_ready();
}

void ActiveRequest::wait_for_slot(const admission::ServiceOutlook& known) {
  const TimePoint now = context_.loop.now();
  waiting_ = true;
  arm_timer(std::min(now + kSlotPollInterval, wait_deadline_));
  if (queue_number_ != 0) {
    return;
  }
  admission::RequestQueue& queue = context_.queues[plan_.service];
  event_log_.add(events::RequestQueued{to_milliseconds(known.wait), known.taken_share,
                                       static_cast<uint32_t>(queue.size())});
  queued_at_ = now;
  const placement::ServiceSpeed& speed = context_.speeds[plan_.service];
  admission::QueuedRequest request;
  request.tenant = plan_.tenant == nullptr ? "" : plan_.tenant->name;
  request.urgency = urgency();
  request.deadline = deadline_;
  request.slot_ms = speed.run_ms() + speed.ms_per_token() * chain_.prompt_tokens;
  queue_number_ = queue.push(request, {[this] { return has_room(); },
                                       [this] {
                                         const auto keep = shared_from_this();
                                         leave_queue();
                                         dispatch(candidates());
                                       }});
}

void ActiveRequest::leave_queue() {
  waiting_ = false;
  if (queue_number_ == 0) {
    return;
  }
  context_.queues[plan_.service].cancel(queue_number_);
  queue_number_ = 0;
  context_.metrics.observe("stoat_router_slot_wait_seconds", to_seconds(context_.loop.now() - queued_at_),
                           {{"route", plan_.route->name}});
}

void ActiveRequest::refuse_for_load(const admission::ServiceOutlook& known) {
  leave_queue();
  context_.metrics.count("stoat_router_load_refusals_total", {{"route", plan_.route->name}});
  reply_with_error(kUnavailable, "no engine can answer in time", to_seconds(compute_retry_after(known.wait)));
}

Duration ActiveRequest::compute_retry_after(Duration wait) {
  const placement::ServiceSpeed& speed = context_.speeds[plan_.service];
  double per_second = 0;
  for (const BackendPtr& backend : ready_in_subset()) {
    const bool usable = !backend->record.loading && !backend->record.lost;
    const double run_ms = std::max(1.0, speed.run_ms() * backend->speed.slowness());
    const double runs_per_second = backend->record.slots * kMillisecondsPerSecond / run_ms;
    const double limit = context_.limits.per_second(backend->record.id);
    const double taken_per_second = limit > 0 ? std::min(limit, runs_per_second) : runs_per_second;
    per_second += usable ? taken_per_second : 0;
  }
  // Extrapolate from the subset to the whole service.
  const double subset_count = static_cast<double>(context_.pool.count(plan_.service)) / kSubsetSize;
  per_second *= std::max(1.0, subset_count);
  admission::RefusedRequest request;
  request.tenant = plan_.tenant == nullptr ? "" : plan_.tenant->name;
  request.time_left = deadline_ - context_.loop.now();
  request.time_to_room = wait > Duration(0) ? wait : kUnknownWaitRetryAfter;
  auto& schedule =
      context_.retry_schedules.try_emplace(plan_.service, context_.max_retry_after).first->second;
  return schedule.schedule_retry(request, per_second / std::max(1U, context_.router_count), context_.random,
                                 context_.loop.now());
}

}  // namespace stoat::dispatch
