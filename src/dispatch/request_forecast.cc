/// ActiveRequest: forecasts the first event of an attempt, and updates the latency model with its outcome.
#include <cmath>

#include "src/dispatch/active_request.h"

namespace stoat::dispatch {

namespace {

constexpr double kMillisecondsPerSecond = 1000;

}  // namespace

placement::EngineQueue ActiveRequest::queue_of(const Backend& backend, double mean_others_outstanding) const {
  placement::EngineQueue queue;
  queue.slots = backend.record.slots;
  queue.own_outstanding = backend.outstanding;
  queue.others_outstanding = backend.others_outstanding;
  queue.mean_others_outstanding = mean_others_outstanding;
  queue.waiting_tokens = backend.prefill_tokens + backend.others_prefill_tokens;
  queue.age = context_.pool.total_load_age(context_.loop.now());
  return queue;
}

double ActiveRequest::mean_others_outstanding() const {
  const std::vector<BackendPtr> serving = ready_in_subset();
  double sum = 0;
  for (const BackendPtr& backend : serving) {
    sum += backend->others_outstanding;
  }
  return serving.empty() ? 0 : sum / static_cast<double>(serving.size());
}

void ActiveRequest::expect_first_event(double mean_others_outstanding) {
  placement::EngineQueue queue = queue_of(*backend_, mean_others_outstanding);
  // Both values of the queue already include this request.
  queue.own_outstanding -= queue.own_outstanding > 0 ? 1 : 0;
  queue.waiting_tokens -= std::min<uint64_t>(queue.waiting_tokens, pending_prefill_tokens_);
  ExpectedFirstEvent expected;
  expected.forecast = placement::expect_first_event(context_.speeds[plan_.service], backend_->speed, queue,
                                                    pending_prefill_tokens_);
  expected.waiting_tokens = queue.waiting_tokens;
  expected.own_tokens = pending_prefill_tokens_;
  expected.slot_free = queue.own_outstanding + queue.others_outstanding < queue.slots;
  expected.moves_cache = resumed_from_backup_ || moved_tokens_ > 0;
  expected_ = expected;
}

void ActiveRequest::observe_first_event_latency() {
  if (!expected_) {
    return;
  }
  const double observed_ms = to_fractional_ms(context_.loop.now() - sent_at_);
  const double expected_ms = expected_->forecast.total_ms();
  const char* side = observed_ms > expected_ms ? "later" : "sooner";
  context_.metrics.observe("stoat_router_first_event_error_seconds",
                           std::abs(observed_ms - expected_ms) / kMillisecondsPerSecond,
                           {{"route", plan_.route->name}, {"side", side}});
  const placement::FirstEventSample sample{expected_->waiting_tokens, expected_->own_tokens, observed_ms};
  if (!expected_->slot_free || expected_->moves_cache || !sample.engine_was_idle()) {
    return;
  }
  placement::ServiceSpeed& service = context_.speeds[plan_.service];
  backend_->speed.observe(observed_ms, service.idle_ms(sample.own_tokens));
  service.observe_first_event(sample);
}

void ActiveRequest::observe_run_time() const {
  if (expected_ && expected_->slot_free) {
    context_.speeds[plan_.service].observe_run(to_fractional_ms(context_.loop.now() - sent_at_));
  }
}

}  // namespace stoat::dispatch
