/// ActiveRequest: exchanges that fail or go silent, and what they say of the backend and of this router's
/// links.
#include <algorithm>

#include "src/dispatch/active_request.h"

namespace stoat::dispatch {

namespace {

/// A backend that executes a request and from which this router has received nothing for this long is probed.
constexpr Duration kSilenceBeforeProbe = 900ms;
/// An exchange that must not be repeated fails once its backend has been silent for this long and does not
/// answer probes. A sound engine may be silent for a second or so and still answer.
constexpr Duration kMaxSilence = 2s;
/// An exchange fails after this silence where the link is known to be cut: another router reaches the
/// backend, or no backend answers.
constexpr Duration kMaxSilenceOnCutLink = 400ms;
/// A router that is cut off for this long, with no other router that relays, refuses requests at once.
constexpr Duration kCutOffBeforeRefusal = 500ms;

}  // namespace

bool ActiveRequest::cut_off_without_relay() const {
  const TimePoint now = context_.loop.now();
  return executed_ == Executed::kNo && context_.pool.links().cut_off_for(kCutOffBeforeRefusal, now) &&
         !context_.pool.relays().usable(now);
}

bool ActiveRequest::on_cut_link() const {
  const LinkMonitor& links = context_.pool.links();
  const std::string& id = backend_->record.id;
  return !connection_->relayed() && links.prefers_relay(id) && !links.open_connections_live(id);
}

void ActiveRequest::check_silence() {
  if (backend_ == nullptr || paused_) {
    return;
  }
  const PathActivity& activity = backend_->activity(connection_->relayed());
  const TimePoint last_contact = std::max(last_activity_, activity.last_received_at);
  const Duration silence = context_.loop.now() - last_contact;
  // A request that must not run twice gains nothing from giving up early.
  const bool repeatable = plan_.route->repeatable();
  const bool lost_link = silence >= kMaxSilenceOnCutLink && repeatable && on_cut_link();
  const bool lost_backend =
      (repeatable || silence >= kMaxSilence) && activity.last_failed_probe_at > last_contact;
  if (lost_link || lost_backend) {
    on_exchange_failure(ExchangeFailure::kSilent);
  } else if (silence >= kSilenceBeforeProbe) {
    context_.pool.probe(backend_);
  }
}

void ActiveRequest::judge_link(ExchangeFailure failure, const BackendPtr& backend,
                               const BackendConnection& connection) {
  const TimePoint now = context_.loop.now();
  const std::string& id = backend->record.id;
  const bool unreachable = failure == ExchangeFailure::kNotConnected || failure == ExchangeFailure::kSilent;
  if (failure == ExchangeFailure::kRelayLost || connection.relay_failed()) {
    return;
  }
  if (connection.relayed()) {
    // The relaying router reaches other backends, so its word is evidence against this one.
    if (unreachable) {
      context_.report_unreachable(id);
      context_.pool.outliers().on_unreachable(id, now);
    } else {
      context_.pool.outliers().on_failure(id, now);
    }
    if (connection.refused()) {
      context_.note_crash(*backend, "refused");
    }
    return;
  }
  const bool known_cut = context_.pool.links().prefers_relay(id);
  if (failure == ExchangeFailure::kNotConnected) {
    context_.pool.outliers().on_unreachable(id, now);
    context_.pool.verifier().on_connect_failure(backend, connection.refused());
    return;
  }
  if (failure != ExchangeFailure::kMalformed && failure != ExchangeFailure::kTooLong) {
    context_.pool.links().on_broken(id, now);
  }
  if (failure == ExchangeFailure::kSilent && !known_cut) {
    context_.pool.outliers().on_unreachable(id, now);
    context_.report_unreachable(id);
  } else if (!known_cut) {
    context_.pool.outliers().on_failure(id, now);
  }
}

void ActiveRequest::on_exchange_failure(ExchangeFailure failure) {
  const auto keep = shared_from_this();
  const TimePoint now = context_.loop.now();
  context_.metrics.count("stoat_router_exchange_failures_total", {{"kind", to_text(failure)}});
  const BackendPtr failed = backend_;
  const std::shared_ptr<BackendConnection> connection = connection_;
  record_rollout_failure(failure);
  finish_exchange(false);
  judge_link(failure, failed, *connection);
  if (failure == ExchangeFailure::kBroken || failure == ExchangeFailure::kMalformed) {
    note_broken_exchange(failed);
  }
  if (failure == ExchangeFailure::kNotConnected) {
    if (connection->relay_failed()) {
      tried_.erase(failed->record.id);  // the backend was not tried
    }
    event_log_.add(events::RequestNotRun{failed->record.id, 0});
    return_trial_permit();
    on_not_run(false);
    return;
  }
  ++runs_;
  executed_ = Executed::kMaybe;
  const auto health = context_.pool.outliers().handle_of(failed->record.id);
  event_log_.add(events::ExchangeFailed{failed->record.id, to_text(failure), streaming_,
                                        !delivery::OutlierDetector::usable(health, now)});
  if (may_retry(false)) {
    context_.metrics.count("stoat_router_repeats_total");
    try_dispatch();
    return;
  }
  if (resume_from_backup(failed, failure)) {
    return;
  }
  if (streaming_) {
    abort_stream("the engine broke off");
    return;
  }
  reply_with_error(kBadGateway, "the back end failed", 0);
}

}  // namespace stoat::dispatch
